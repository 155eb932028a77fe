//! Applying tables and plans, and proposing new plans.

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_core::Event as CoreEvent;
use sequoiatrail_events::Event;
use sequoiatrail_plan::Plan;
use sequoiatrail_table::Table;
use sequoiatrail_types::NodeId;

use super::Control;
use crate::control_messages::Write;

impl Control {
    pub(super) fn apply_peer_plan(&mut self, plan: Arc<Plan>) {
        match plan.check() {
            Ok(()) => self.apply_plan(plan, "peer"),
            Err(e) => self.cx.log.emit(Event::ObjectRefused {
                object: format!("plan of service {}", plan.service),
                error: e.to_string(),
            }),
        }
    }

    pub(super) fn apply_table(&mut self, table: Arc<Table>, source: &'static str) {
        if table.version <= self.cx.core.table().version {
            return;
        }
        self.cx.log.emit(Event::TableInForce {
            version: table.version.0,
            services: table.services.len(),
            targets: table.targets.len(),
            source,
        });
        self.plans.retain(|id, _| table.service(*id).is_some());
        self.prepared.retain(|id, _| table.service(*id).is_some());
        self.publish_plans();
        let version = table.version;
        self.targets.set_table(self.cx.clock.now(), &table);
        self.update_core(CoreEvent::Table(table));
        if let Some(net) = &self.cx.net {
            net.set_table(version);
        }
        self.next_plan = Duration::ZERO;
    }

    pub(super) fn apply_plan(&mut self, plan: Arc<Plan>, source: &'static str) {
        let old = self.plans.get(&plan.service);
        if old.is_some_and(|old| old.version >= plan.version) {
            return;
        }
        let moved = plan.buckets.iter().filter(|b| b.since == plan.version);
        self.cx.log.emit(Event::PlanPrepared {
            service: plan.service.0,
            version: plan.version.0,
            table: plan.table.0,
            moved: moved.count(),
            source,
        });
        self.plans.insert(plan.service, Arc::clone(&plan));
        self.publish_plans();
        self.update_core(CoreEvent::Plan(plan));
    }

    fn publish_plans(&self) {
        self.cx.shared.details().plans.clone_from(&self.plans);
    }

    pub(super) fn propose_plans(&mut self, now: Duration) {
        let table = self.cx.core.table();
        let live: Vec<NodeId> = self.live().iter().map(|p| p.node).collect();
        let factors = self.targets.factors(now, &table);
        let proposals = self
            .planner
            .propose(now, &table, &self.plans, &live, &factors);
        for proposal in proposals {
            // If the queue is full because the platform is slow, the planner proposes again later.
            let _ = self.cx.writes.try_send(Write::Plan(proposal));
        }
    }
}
