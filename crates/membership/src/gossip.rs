//! Member updates that are piggybacked on probes.

use std::collections::BTreeMap;

use sequoiatrail_types::NodeId;

/// Balancers whose updates are to be disseminated, with the transmissions left for each.
///
/// The update itself is looked up when a message is sent, so a newer one
/// replaces an older one that is still queued.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    transmissions_left: BTreeMap<NodeId, u32>,
    urgent: bool,
}

impl GossipQueue {
    /// Queues the update of `node` for the given number of transmissions.
    pub(crate) fn add(&mut self, node: NodeId, transmissions: u32) {
        self.transmissions_left.insert(node, transmissions);
    }

    /// Requests a message at the next tick instead of waiting for the next probe.
    pub(crate) fn request_flush(&mut self) {
        self.urgent = true;
    }

    /// Returns whether a flush was requested and resets the request.
    pub(crate) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Takes up to `max` balancers with the most transmissions left and counts one
    /// transmission for each.
    pub(crate) fn take(&mut self, max: usize) -> Vec<NodeId> {
        let mut by_left: Vec<_> = self
            .transmissions_left
            .iter()
            .map(|(n, left)| (*left, *n))
            .collect();
        by_left.sort_unstable_by(|a, b| b.cmp(a));
        by_left.truncate(max);
        for (left, node) in &by_left {
            if *left <= 1 {
                self.transmissions_left.remove(node);
            } else {
                self.transmissions_left.insert(*node, left - 1);
            }
        }
        by_left.into_iter().map(|(_, node)| node).collect()
    }
}
