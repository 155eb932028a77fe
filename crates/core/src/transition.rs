//! Buckets in transition: targets of new flows and of existing flows without an
//! entry.

use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;
use sequoiatrail_types::{FlowHash, NodeId, PlanVersion, TargetId};

use crate::flow_set::SenderFlows;
use crate::owners::rendezvous_node;

/// A target that a plan assigned to a bucket since the bucket opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedTarget {
    /// Version of the plan.
    pub plan: PlanVersion,
    /// Target assigned to the bucket.
    pub target: TargetId,
    /// When this balancer received the plan.
    pub received_at: Duration,
}

/// A bucket in transition, because its target has changed or is blocked.
///
/// Every flow placed in it since it opened on a target other than the baseline
/// is recorded at the flow's owner. A flow unknown to its owner is therefore
/// older than the transition, or was placed on the baseline.
#[derive(Clone, Debug)]
pub(crate) struct OpenBucket {
    /// Target of the bucket when it was last settled.
    pub baseline: TargetId,
    /// Targets assigned by newer plans, in plan order.
    pub planned_targets: Vec<PlannedTarget>,
    /// Knowledge from earlier plans under which all balancers reported to this
    /// one, oldest first.
    pub past_knowledge: Vec<PastKnowledge>,
}

/// What a balancer knows of existing flows after all others have reported to it
/// and before it settles.
///
/// Another balancer may already have settled and place unknown flows without
/// asking their owner, but only after this one has received the sets of all
/// owners. As long as a set is missing, no balancer has settled.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowKnowledge {
    /// Owners at that time, sorted.
    pub owners: Arc<[NodeId]>,
    /// Off-plan flows of the owners whose sets are complete.
    pub by_owner: HashMap<NodeId, Arc<SenderFlows>>,
}

impl FlowKnowledge {
    /// Target of an existing flow without an entry at `me`, where `planned` is
    /// the plan's target. `None` if the flow was owned by another balancer
    /// whose sets are not complete.
    pub fn target_of(&self, flow: FlowHash, me: NodeId, planned: TargetId) -> Option<TargetId> {
        let owner = rendezvous_node(&self.owners, flow, None)?;
        if owner == me {
            return Some(planned);
        }
        let listed = self.by_owner.get(&owner)?;
        Some(listed.find(flow).unwrap_or(planned))
    }
}

/// Knowledge under a plan that has been replaced.
#[derive(Clone, Debug)]
pub(crate) struct PastKnowledge {
    /// The knowledge.
    pub knowledge: Arc<FlowKnowledge>,
    /// Target of the bucket under that plan.
    pub target: TargetId,
}

impl OpenBucket {
    /// Opens a bucket.
    pub fn new(baseline: TargetId) -> Self {
        Self {
            baseline,
            planned_targets: Vec::new(),
            past_knowledge: Vec::new(),
        }
    }

    /// Target of an existing flow that `me` decides on without having an entry
    /// for it.
    pub fn old_flow_target(&self, flow: FlowHash, me: NodeId) -> TargetId {
        self.past_knowledge
            .iter()
            .rev()
            .find_map(|c| c.knowledge.target_of(flow, me, c.target))
            .unwrap_or(self.baseline)
    }

    /// Adds the target of a newer plan.
    pub fn push(&mut self, newest: PlannedTarget) {
        self.planned_targets.push(newest);
    }

    /// Target of a new flow: that of the newest plan that all ready balancers
    /// have prepared or that is at least `deadline` old, otherwise the
    /// baseline.
    pub fn new_flow_target(
        &self,
        prepared: PlanVersion,
        now: Duration,
        deadline: Duration,
    ) -> TargetId {
        self.planned_targets
            .iter()
            .rev()
            .find(|c| c.plan <= prepared || now.saturating_sub(c.received_at) >= deadline)
            .map_or(self.baseline, |c| c.target)
    }

    /// Targets from the newest plan's to the baseline.
    pub fn targets_newest_first(&self) -> impl Iterator<Item = TargetId> {
        self.planned_targets
            .iter()
            .rev()
            .map(|c| c.target)
            .chain([self.baseline])
    }
}
