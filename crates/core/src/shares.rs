//! Flow counts per target exchanged between balancers.

use crate::map::HashMap;
use sequoiatrail_types::{NodeId, TargetId};
use sequoiatrail_wire::message::Share;

/// The counts last received from and last sent to the other balancers.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Last counts received, by balancer and target.
    received: HashMap<NodeId, HashMap<TargetId, Share>>,
    /// Last counts sent, by target. A target without an entry was sent as zero.
    sent: HashMap<TargetId, Share>,
}

impl Shares {
    /// Stores counts received from a balancer. Targets that are left out keep
    /// their counts.
    pub fn receive(&mut self, from: NodeId, shares: Vec<Share>) {
        let received = self.received.entry(from).or_default();
        received.extend(shares.into_iter().map(|s| (s.target, s)));
    }

    /// Removes the balancers for which `live` is false.
    pub fn retain(&mut self, live: impl Fn(NodeId) -> bool) {
        self.received.retain(|node, _| live(*node));
    }

    /// Open flows of each target over all other balancers.
    pub fn sums(&self) -> HashMap<TargetId, u32> {
        let mut sums: HashMap<TargetId, u32> = HashMap::default();
        for share in self.received.values().flat_map(HashMap::values) {
            let sum = sums.entry(share.target).or_default();
            *sum = sum.saturating_add(share.open_flows);
        }
        sums
    }

    /// Keeps the counts that differ from those last sent, and marks them as
    /// sent.
    pub fn filter_changed(&mut self, mut shares: Vec<Share>) -> Vec<Share> {
        shares.retain(|s| {
            let sent = self.sent.insert(s.target, *s);
            sent.unwrap_or(zero(s.target)) != *s
        });
        shares
    }

    /// Forgets what was sent, so that the next exchange also informs a balancer
    /// that joins.
    pub fn forget_sent(&mut self) {
        self.sent.clear();
    }
}

fn zero(target: TargetId) -> Share {
    Share {
        target,
        open_flows: 0,
        new_flows: 0,
    }
}
