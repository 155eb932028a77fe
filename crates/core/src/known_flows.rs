//! Iterates over the flow table and adds flows reported by other balancers.

use std::time::Duration;

use sequoiatrail_types::{FlowHash, ServiceId, TargetId};
use sequoiatrail_wire::message::{FlowSet, Flows};

use crate::core::Core;
use crate::flow_table::{FlowEntry, flag};
use crate::view::View;

impl Core {
    /// Records the flows of a report that have no entry here.
    pub(crate) fn learn_report(&self, now: Duration, set: &FlowSet) {
        let view = self.view.load();
        let Flows::Hashes(hashes) = &set.flows else {
            return;
        };
        if view.target(set.service, set.target).is_none() {
            return;
        }
        for flow in hashes {
            self.learn_flow(now, &view, set.service, *flow, set.target);
        }
    }

    /// Records a flow known to another balancer, unless it has an entry here.
    pub(crate) fn learn_flow(
        &self,
        now: Duration,
        view: &View,
        service: ServiceId,
        flow: FlowHash,
        target: TargetId,
    ) {
        let mut shard = self.flows.shard(flow);
        let known = shard.get(&flow).is_some_and(|e| e.belongs_to(service));
        if known || !self.make_room(view, &mut shard) {
            return;
        }
        let mut entry = FlowEntry::new(now, service, target);
        entry.set(flag::UNCOUNTED, self.is_owner(view, flow));
        shard.insert(flow, entry);
    }

    /// Whether this balancer owns the flow.
    pub(crate) fn is_owner(&self, view: &View, flow: FlowHash) -> bool {
        view.owners.owner(flow).is_none_or(|node| node == self.node)
    }

    /// Calls `f` for each open flow of a service whose target differs from the
    /// plan's.
    pub(crate) fn each_off_plan(
        &self,
        view: &View,
        id: ServiceId,
        mut f: impl FnMut(FlowHash, &mut FlowEntry),
    ) {
        let Some(service) = view.services.get(&id) else {
            return;
        };
        self.each_open_flow(view, id, |flow, entry| {
            if entry.target != service.planned_target(flow) {
                f(flow, entry);
            }
        });
    }

    /// Calls `f` for each open flow of a service.
    pub(crate) fn each_open_flow(
        &self,
        view: &View,
        id: ServiceId,
        mut f: impl FnMut(FlowHash, &mut FlowEntry),
    ) {
        for index in 0..self.flows.shards() {
            let mut shard = self.flows.shard_at(index);
            for (flow, entry) in shard.iter_mut() {
                let open = entry.belongs_to(id)
                    && !entry.has(flag::CLOSED)
                    && view.target(id, entry.target).is_some();
                if open {
                    f(*flow, entry);
                }
            }
        }
    }
}
