//! Detection of immediate retries by clients.
//!
//! A crashed target resets flows and SYNs directly towards the client, unseen by the
//! balancer, and the client retries on a new flow within a round trip. The target of
//! the previous attempt is then avoided, so that the client's few attempts do not all
//! go to the same dead target.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hashbrown::HashMap;

use crate::{FlowId, TargetKey};

/// Time after a packet within which a new flow of the same client counts as a retry
/// of the same request.
const RETRY_WINDOW: Duration = Duration::from_millis(100);
/// Maximum number of tracked clients; retries of further ones are not detected.
const MAX_CLIENTS: usize = 16_384;

/// The last unanswered packet of a client.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    flow: FlowId,
    target: TargetKey,
    sent_at: Duration,
}

/// The last attempt of each client, keyed by client IP address and route.
#[derive(Debug, Default)]
pub(crate) struct RecentAttempts {
    last: HashMap<(Ipv4Addr, SocketAddrV4), Attempt>,
}

impl RecentAttempts {
    /// Records that a SYN or new data was sent to a target.
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

    /// Records a response on a flow: its last attempt did not fail.
    pub fn record_response(&mut self, flow: &FlowId) {
        let key = key(flow);
        if self.last.get(&key).is_some_and(|last| last.flow == *flow) {
            self.last.remove(&key);
        }
    }

    /// The target that a new flow of the client should avoid.
    pub fn failed_target(&self, now: Duration, flow: &FlowId) -> Option<TargetKey> {
        let last = self.last.get(&key(flow))?;
        (now < last.sent_at + RETRY_WINDOW).then_some(last.target)
    }

    /// Removes expired attempts.
    pub fn sweep(&mut self, now: Duration) {
        self.last
            .retain(|_, last| now < last.sent_at + RETRY_WINDOW);
    }
}

fn key(flow: &FlowId) -> (Ipv4Addr, SocketAddrV4) {
    (*flow.client.ip(), flow.route)
}
