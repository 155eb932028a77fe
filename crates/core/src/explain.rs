//! State of a single flow, for diagnostics.

use sequoiatrail_types::{FlowHash, FlowKey, PlanVersion, ServiceId, TargetId};

use crate::Core;

/// State of one flow. Reading it has no side effects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowInfo {
    /// Service of the flow.
    pub service: ServiceId,
    /// Hash of the flow.
    pub flow: FlowHash,
    /// Index of the flow's bucket.
    pub bucket: usize,
    /// Newest plan version of the service.
    pub plan: PlanVersion,
    /// Target that the plan assigns to the bucket.
    pub planned_target: TargetId,
    /// Target of the flow's entry, if this balancer has one.
    pub known_target: Option<TargetId>,
    /// Whether the bucket is in transition.
    pub in_transition: bool,
}

impl Core {
    /// Returns the state of a flow, or `None` if no service has this address,
    /// port and protocol or its first plan has not arrived.
    pub fn explain(&self, key: &FlowKey) -> Option<FlowInfo> {
        let view = self.view.load();
        let id = view.service(key.dst, key.protocol)?;
        let service = view.services.get(&id)?;
        let flow = view.hasher.hash(id, key);
        let shard = self.flows.shard(flow);
        let known = shard.get(&flow).filter(|entry| entry.belongs_to(id));
        Some(FlowInfo {
            service: id,
            flow,
            bucket: service.bucket_index(flow),
            plan: service.plan.version,
            planned_target: service.planned_target(flow),
            known_target: known.map(|entry| entry.target),
            in_transition: service.open_bucket(flow).is_some(),
        })
    }
}
