//! What the core knows of one flow, for an operator to read.

use sequoiatrail_types::{FlowHash, FlowKey, PlanVersion, ServiceId, TargetId};

use crate::Core;

/// What the core knows of one flow; asking changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowInfo {
    /// Its service.
    pub service: ServiceId,
    /// Its hash.
    pub flow: FlowHash,
    /// Its bucket.
    pub bucket: usize,
    /// Newest plan of the service.
    pub plan: PlanVersion,
    /// The plan's target.
    pub planned_target: TargetId,
    /// Its target, if the flow is known here.
    pub known_target: Option<TargetId>,
    /// Whether its bucket is in transition.
    pub in_transition: bool,
}

impl Core {
    /// What is known of a flow; `None` without a service of that address, port
    /// and protocol, or before its first plan.
    pub fn explain(&self, key: &FlowKey) -> Option<FlowInfo> {
        let view = self.view.load();
        let id = view.service(key.dst, key.protocol)?;
        let service = view.services.get(&id)?;
        let flow = view.hasher.hash(id, key);
        let shard = self.flows.shard(flow);
        let known = shard.get(&flow).filter(|entry| entry.is_of(id));
        Some(FlowInfo {
            service: id,
            flow,
            bucket: service.index(flow),
            plan: service.plan.version,
            planned_target: service.planned(flow),
            known_target: known.map(|entry| entry.target),
            in_transition: service.open_bucket(flow).is_some(),
        })
    }
}
