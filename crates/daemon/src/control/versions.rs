//! Tables and plans: taken over, and planned.

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_core::Event as CoreEvent;
use sequoiatrail_events::Event;
use sequoiatrail_plan::Plan;
use sequoiatrail_table::Table;
use sequoiatrail_types::NodeId;

use super::Control;
use crate::platform_link::Write;

impl Control {
    pub(super) fn take_peer_plan(&mut self, plan: Arc<Plan>) {
        match plan.check() {
            Ok(()) => self.take_plan(plan, "peer"),
            Err(e) => self.links.log.emit(Event::ObjectRefused {
                object: format!("plan of service {}", plan.service),
                error: e.to_string(),
            }),
        }
    }

    pub(super) fn take_table(&mut self, table: Arc<Table>, source: &'static str) {
        if table.version <= self.links.core.table().version {
            return;
        }
        self.links.log.emit(Event::TableInForce {
            version: table.version.0,
            services: table.services.len(),
            targets: table.targets.len(),
            source,
        });
        self.plans.retain(|id, _| table.service(*id).is_some());
        self.prepared.retain(|id, _| table.service(*id).is_some());
        self.publish_plans();
        let version = table.version;
        self.targets.set_table(self.links.clock.now(), &table);
        self.tell_core(CoreEvent::Table(table));
        if let Some(net) = &self.links.net {
            net.set_table(version);
        }
        self.next_plan = Duration::ZERO;
    }

    pub(super) fn take_plan(&mut self, plan: Arc<Plan>, source: &'static str) {
        let old = self.plans.get(&plan.service);
        if old.is_some_and(|old| old.version >= plan.version) {
            return;
        }
        let moved = plan.buckets.iter().filter(|b| b.since == plan.version);
        self.links.log.emit(Event::PlanPrepared {
            service: plan.service.0,
            version: plan.version.0,
            table: plan.table.0,
            moved: moved.count(),
            source,
        });
        self.plans.insert(plan.service, Arc::clone(&plan));
        self.publish_plans();
        self.tell_core(CoreEvent::Plan(plan));
    }

    fn publish_plans(&self) {
        self.links.board.facts().plans.clone_from(&self.plans);
    }

    pub(super) fn plan(&mut self, now: Duration) {
        let table = self.links.core.table();
        let live: Vec<NodeId> = self.live().iter().map(|p| p.node).collect();
        let factors = self.targets.factors(now, &table);
        let proposals = self
            .planner
            .propose(now, &table, &self.plans, &live, &factors);
        for proposal in proposals {
            // A full queue means a slow platform; the planner proposes again later.
            let _ = self.links.writes.try_send(Write::Plan(proposal));
        }
    }
}
