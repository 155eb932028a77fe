//! GossipQueue that are passed on with probes.

use std::collections::BTreeMap;

use sequoiatrail_types::NodeId;

/// Balancers of which there are news, with the times that they are still passed on.
///
/// What is passed on is looked up when a message is sent, so newer news of a
/// balancer replace older ones.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    transmissions_left: BTreeMap<NodeId, u32>,
    urgent: bool,
}

impl GossipQueue {
    /// Adds news of a balancer, passed on `times` times.
    pub(crate) fn add(&mut self, node: NodeId, transmissions: u32) {
        self.transmissions_left.insert(node, transmissions);
    }

    /// Asks for a message now instead of with the next probe.
    pub(crate) fn request_flush(&mut self) {
        self.urgent = true;
    }

    /// Whether a message was asked for; asked once.
    pub(crate) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Up to `max` balancers whose news were passed on least often, counted as passed on.
    pub(crate) fn take(&mut self, max: usize) -> Vec<NodeId> {
        let mut queued: Vec<_> = self
            .transmissions_left
            .iter()
            .map(|(n, transmissions_left)| (*transmissions_left, *n))
            .collect();
        queued.sort_unstable_by(|a, b| b.cmp(a));
        queued.truncate(max);
        for (transmissions_left, node) in &queued {
            if *transmissions_left <= 1 {
                self.transmissions_left.remove(node);
            } else {
                self.transmissions_left
                    .insert(*node, transmissions_left - 1);
            }
        }
        queued.into_iter().map(|(_, node)| node).collect()
    }
}
