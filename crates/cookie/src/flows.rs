//! Flows that pass this balancer, as far as their callers' packets tell.

use std::time::Duration;

use foldhash::fast::RandomState;
use hashbrown::HashMap;

use crate::{FlowId, TargetKey};

/// What is known of a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// Target that its packets go to.
    pub target: TargetKey,
    /// Last packet.
    pub last_seen: Duration,
    /// Whether a packet after the opening one was seen.
    pub open: bool,
    /// Copies of the opening packet seen, without the first.
    pub syn_retransmits: u32,
    /// Highest acknowledgement of the caller.
    pub acked: u32,
    /// Sequence number of the caller's last data.
    pub seq: u32,
    /// When that data was first sent; for an opening flow, the opening packet.
    pub sent_at: Duration,
    /// Whether data was sent and no acknowledgement has risen since.
    pub busy: bool,
    /// Whether that data was sent more than once.
    pub stalled: bool,
}

impl Flow {
    /// A flow whose opening packet goes to `target`.
    pub fn new(target: TargetKey, now: Duration, syn_retransmits: u32) -> Flow {
        Flow {
            target,
            last_seen: now,
            open: false,
            syn_retransmits,
            acked: 0,
            seq: 0,
            sent_at: now,
            busy: false,
            stalled: false,
        }
    }
}

/// The flows observed. Losing one only costs accuracy of the load.
#[derive(Debug, Default)]
pub struct FlowTable {
    flows: HashMap<FlowId, Flow, RandomState>,
}

impl FlowTable {
    /// Number of flows observed.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is observed.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    pub(crate) fn get(&self, id: &FlowId) -> Option<Flow> {
        self.flows.get(id).copied()
    }

    pub(crate) fn insert(&mut self, id: FlowId, flow: Flow) {
        self.flows.insert(id, flow);
    }

    pub(crate) fn remove(&mut self, id: &FlowId) -> Option<Flow> {
        self.flows.remove(id)
    }

    /// Removes and returns the flows for which `predicate` holds.
    pub(crate) fn extract_if(
        &mut self,
        mut predicate: impl FnMut(&FlowId, &Flow) -> bool,
    ) -> Vec<(FlowId, Flow)> {
        let extracted = self.flows.extract_if(|id, flow| predicate(id, flow));
        extracted.collect()
    }
}
