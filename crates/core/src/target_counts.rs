//! Flow counts of a target, used to enforce its connection limit over all
//! balancers.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Counters and timestamps of one target.
#[derive(Debug, Default)]
pub(crate) struct TargetCounts {
    /// Open flows that this balancer owns.
    pub owned: AtomicU32,
    /// New flows that this balancer placed since it last sent its counts.
    pub placed: AtomicU32,
    /// The part of `placed` that is owned by other balancers.
    pub placed_for_others: AtomicU32,
    /// Sum of the open flows last reported by the other balancers.
    pub peer_flows: AtomicU32,
    /// Time of the last completed handshake, in tenths of a second; 0 means
    /// never.
    pub last_handshake: AtomicU32,
    /// New flows that were answered promptly since the evidence was last taken.
    pub answered: AtomicU32,
    /// First packets that were retransmitted since the evidence was last taken.
    pub retransmitted: AtomicU32,
    /// Time of the last reset of a stalled flow, in tenths of a second; 0 means
    /// never.
    pub last_reset: AtomicU32,
}

impl TargetCounts {
    /// Estimated open flows over all balancers. A flow placed since the last
    /// exchange may also be counted by its owner, so the estimate errs on the
    /// high side.
    pub fn estimated_open_flows(&self) -> u32 {
        let here = self.owned.load(Relaxed) + self.placed_for_others.load(Relaxed);
        here.saturating_add(self.peer_flows.load(Relaxed))
    }

    /// Counts a newly placed flow.
    pub fn count_placed(&self, owned: bool) {
        self.placed.fetch_add(1, Relaxed);
        if !owned {
            self.placed_for_others.fetch_add(1, Relaxed);
        }
    }

    /// Resets the counters of new flows and returns the number placed.
    pub fn take_placed(&self) -> u32 {
        self.placed_for_others.store(0, Relaxed);
        self.placed.swap(0, Relaxed)
    }

    /// Counts the end of an owned flow.
    pub fn count_ended(&self) {
        let _ = self
            .owned
            .fetch_update(Relaxed, Relaxed, |n| n.checked_sub(1));
    }
}
