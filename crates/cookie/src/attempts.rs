//! Attempts of callers that may have failed at once.
//!
//! A crashed target resets flows and opening packets towards the caller, which
//! the balancer does not see. Load pattern: the caller tries again within a
//! round trip, on a new flow. The target that it was last sent to is then left
//! out, so that its few attempts do not all go to the same dead target.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hashbrown::HashMap;

use crate::{FlowId, TargetKey};

/// Time after a packet within which a new flow of the same caller may be a new
/// attempt at the same request.
const RETRY_WINDOW: Duration = Duration::from_millis(100);
/// Most callers remembered; attempts of further ones are placed like others.
const MAX_CLIENTS: usize = 16_384;

/// The last packet of a caller that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    flow: FlowId,
    target: TargetKey,
    sent_at: Duration,
}

/// The last attempts of callers, by address of the caller and of the route.
#[derive(Debug, Default)]
pub(crate) struct RecentAttempts {
    last: HashMap<(Ipv4Addr, SocketAddrV4), Attempt>,
}

impl RecentAttempts {
    /// Takes in that an opening packet or new data was sent to a target.
    pub fn record_sent(&mut self, now: Duration, flow: FlowId, target: TargetKey) {
        let key = key(&flow);
        if self.last.len() >= MAX_CLIENTS && !self.last.contains_key(&key) {
            return;
        }
        let sent_at = now;
        self.last.insert(
            key,
            Attempt {
                flow,
                target,
                sent_at,
            },
        );
    }

    /// Takes in that a flow goes on.
    pub fn record_response(&mut self, flow: &FlowId) {
        let key = key(flow);
        if self.last.get(&key).is_some_and(|last| last.flow == *flow) {
            self.last.remove(&key);
        }
    }

    /// The target that a new flow of the caller is better not sent to.
    pub fn failed_target(&self, now: Duration, flow: &FlowId) -> Option<TargetKey> {
        let last = self.last.get(&key(flow))?;
        (now < last.sent_at + RETRY_WINDOW).then_some(last.target)
    }

    /// Forgets old attempts.
    pub fn sweep(&mut self, now: Duration) {
        self.last
            .retain(|_, last| now < last.sent_at + RETRY_WINDOW);
    }
}

fn key(flow: &FlowId) -> (Ipv4Addr, SocketAddrV4) {
    (*flow.client.ip(), flow.route)
}
