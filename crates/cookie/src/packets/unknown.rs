//! Packets whose cookie belongs to no target known here, or to one that is gone.

use std::time::Duration;

use hashbrown::HashMap;

use crate::{Cookie, FlowId};

/// Maximum number of tracked flows; further ones have age zero, so their packets are
/// dropped.
const MAX_FLOWS: usize = 16_384;

/// When each flow was first seen with an unknown cookie. A later flow to the same target
/// waits anew: the target may have started again in between.
#[derive(Debug, Default)]
pub(crate) struct UnknownCookies {
    first_seen: HashMap<(FlowId, Cookie), Duration>,
}

impl UnknownCookies {
    /// Time since the flow was first seen with the unknown cookie.
    pub fn age(&mut self, now: Duration, flow: FlowId, cookie: Cookie) -> Duration {
        let key = (flow, cookie);
        if self.first_seen.len() >= MAX_FLOWS && !self.first_seen.contains_key(&key) {
            return Duration::ZERO;
        }
        let first = *self.first_seen.entry(key).or_insert(now);
        now.saturating_sub(first)
    }

    /// Removes flows first seen longer than `age` ago.
    pub fn sweep(&mut self, now: Duration, age: Duration) {
        self.first_seen
            .retain(|_, first| now.saturating_sub(*first) < age);
    }
}
