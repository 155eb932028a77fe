//! Plan and bucket state of a service at this balancer.

use std::sync::Arc;
use std::time::Duration;

use crate::map::HashMap;
use sequoiatrail_plan::{NO_TARGET, Plan};
use sequoiatrail_types::{FlowHash, NodeId, PlanVersion, TargetId};

use crate::flow_set::SettledFlows;
use crate::owners::rendezvous_node;
use crate::transition::{FlowKnowledge, OpenBucket, PastKnowledge, PlannedTarget};

/// Plan and bucket state of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceView {
    /// Newest plan.
    pub plan: Arc<Plan>,
    /// Plan version at which all buckets were last settled here. A newer plan
    /// opens every bucket that changed since then, even if plan versions were
    /// skipped.
    pub settled: PlanVersion,
    /// Newest plan version that every ready balancer has prepared; never
    /// decreases.
    pub prepared: PlanVersion,
    /// Whether another balancer has prepared a newer plan than the one known
    /// here.
    pub behind: bool,
    /// Incremented whenever blocked targets open or keep open buckets. New
    /// flows then go to other targets, so a reconciliation round that started
    /// earlier may miss flows.
    pub block_epoch: u32,
    /// Open buckets by index.
    pub open: HashMap<usize, OpenBucket>,
    /// Set once all balancers have reported their off-plan flows to this one,
    /// until it settles. From then on other balancers may already have settled
    /// the open buckets, so this state must not be discarded.
    pub knowledge: Option<Arc<FlowKnowledge>>,
    /// Off-plan flows as of the last time the buckets were settled.
    pub off_plan: Arc<SettledFlows>,
}

impl ServiceView {
    /// View with the first plan of a service: all buckets are settled.
    pub fn first(plan: Arc<Plan>) -> Self {
        Self {
            settled: plan.version,
            prepared: PlanVersion(0),
            behind: false,
            block_epoch: 0,
            open: HashMap::default(),
            knowledge: None,
            off_plan: Arc::default(),
            plan,
        }
    }

    /// The view under a newer plan, with the changed buckets open.
    pub fn with_plan(&self, now: Duration, plan: Arc<Plan>) -> Self {
        let mut next = self.clone();
        next.archive_knowledge();
        for (index, bucket) in plan.buckets.iter().enumerate() {
            if bucket.since <= self.settled && !self.open.contains_key(&index) {
                continue;
            }
            let old = self.plan.buckets.get(index).map_or(NO_TARGET, |b| b.target);
            let open = next
                .open
                .entry(index)
                .or_insert_with(|| OpenBucket::new(old));
            if bucket.since > self.plan.version {
                open.push(PlannedTarget {
                    plan: plan.version,
                    target: bucket.target,
                    received_at: now,
                });
            }
        }
        next.plan = plan;
        next
    }

    /// Index of a flow's bucket.
    pub fn bucket_index(&self, flow: FlowHash) -> usize {
        flow.bucket(self.plan.buckets.len())
    }

    /// The flow's bucket, if it is open.
    pub fn open_bucket(&self, flow: FlowHash) -> Option<&OpenBucket> {
        if self.open.is_empty() {
            return None;
        }
        self.open.get(&self.bucket_index(flow))
    }

    /// Target that the plan assigns to a flow.
    pub fn planned_target(&self, flow: FlowHash) -> TargetId {
        self.plan.bucket(flow).target
    }

    /// Indexes of the settled buckets whose planned target is `blocked`.
    pub fn settled_buckets_on(&self, blocked: &impl Fn(TargetId) -> bool) -> Vec<usize> {
        let buckets = self.plan.buckets.iter().enumerate();
        buckets
            .filter(|(index, b)| blocked(b.target) && !self.open.contains_key(index))
            .map(|(index, _)| index)
            .collect()
    }

    /// Whether `me` would have an entry for the flow if it were off the plan, so
    /// that the plan's target is right for a flow without an entry.
    pub fn knows_all_off_plan(&self, flow: FlowHash, me: NodeId) -> bool {
        let knowledge = self.knowledge.as_ref();
        knowledge.is_some_and(|c| rendezvous_node(&c.owners, flow, None) == Some(me))
    }

    /// Target of an existing flow in an open bucket that `me` decides on
    /// without having an entry for it.
    pub fn old_flow_target(&self, open: &OpenBucket, flow: FlowHash, me: NodeId) -> TargetId {
        let knowledge = self.knowledge.as_ref();
        knowledge
            .and_then(|c| c.target_of(flow, me, self.planned_target(flow)))
            .unwrap_or_else(|| open.old_flow_target(flow, me))
    }

    /// Moves the knowledge gathered under the current plan into each open
    /// bucket, so that it remains available under the next plan.
    pub fn archive_knowledge(&mut self) {
        let Some(knowledge) = self.knowledge.take() else {
            return;
        };
        for (index, open) in &mut self.open {
            open.past_knowledge.push(PastKnowledge {
                knowledge: knowledge.clone(),
                target: self.plan.buckets[*index].target,
            });
        }
    }

    /// Settles all open buckets.
    pub fn settle(&mut self, off_plan: SettledFlows) {
        self.open.clear();
        self.knowledge = None;
        self.settled = self.plan.version;
        self.off_plan = Arc::new(off_plan);
    }

    /// Whether the planned target of any open bucket is `blocked`.
    pub fn has_open_bucket_on(&self, blocked: &impl Fn(TargetId) -> bool) -> bool {
        let mut open = self.open.keys();
        open.any(|index| blocked(self.plan.buckets[*index].target))
    }

    /// Opens settled buckets; their planned targets become the baselines.
    pub fn open_buckets(&mut self, indexes: &[usize]) {
        for index in indexes {
            let baseline = self.plan.buckets[*index].target;
            self.open.insert(*index, OpenBucket::new(baseline));
        }
    }
}
