//! Limits of rows over all balancers, from each balancer's count of the open
//! flows that it owns.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Counts of one target.
#[derive(Debug, Default)]
pub(crate) struct TargetCounts {
    /// Open flows that this balancer owns.
    pub owned: AtomicU32,
    /// New flows that this balancer placed since its last share.
    pub placed: AtomicU32,
    /// Those of them that other balancers own.
    pub placed_for_others: AtomicU32,
    /// What the other balancers' last shares add up to.
    pub others: AtomicU32,
    /// Time of the last completed handshake, in tenths of a second; 0 is never.
    pub handshake: AtomicU32,
    /// New flows that were answered at once, since they were last taken.
    pub answered: AtomicU32,
    /// First packets that were repeated, since they were last taken.
    pub retransmitted: AtomicU32,
    /// Time of the last reset of a silent flow, in tenths of a second; 0 is never.
    pub reset: AtomicU32,
}

impl TargetCounts {
    /// Open flows over all balancers. A flow that was placed since the last
    /// share may be counted by its owner too, so the estimate errs upwards.
    pub fn estimate(&self) -> u32 {
        let here = self.owned.load(Relaxed) + self.placed_for_others.load(Relaxed);
        here.saturating_add(self.others.load(Relaxed))
    }

    /// A new flow was placed.
    pub fn place(&self, owned: bool) {
        self.placed.fetch_add(1, Relaxed);
        if !owned {
            self.placed_for_others.fetch_add(1, Relaxed);
        }
    }

    /// Starts the count of new flows again and returns what it was.
    pub fn take_placed(&self) -> u32 {
        self.placed_for_others.store(0, Relaxed);
        self.placed.swap(0, Relaxed)
    }

    /// One owned flow has ended.
    pub fn end(&self) {
        let _ = self
            .owned
            .fetch_update(Relaxed, Relaxed, |n| n.checked_sub(1));
    }
}
