//! Flows that this balancer knows: visiting them, and learning of more.

use std::time::Duration;

use sequoiatrail_types::{FlowHash, ServiceId, TargetId};
use sequoiatrail_wire::message::{FlowSet, Flows};

use crate::core::Core;
use crate::flow_table::{FlowEntry, flag};
use crate::view::View;

impl Core {
    /// Records the flows of a report that are not known here.
    pub(crate) fn learn(&self, now: Duration, set: &FlowSet) {
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

    /// Records a flow that another balancer knows, unless it is known here.
    pub(crate) fn learn_flow(
        &self,
        now: Duration,
        view: &View,
        service: ServiceId,
        flow: FlowHash,
        target: TargetId,
    ) {
        let mut shard = self.flows.shard(flow);
        let known = shard.get(&flow).is_some_and(|e| e.is_of(service));
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

    /// Calls `f` for each open flow of a service that is not on its plan's target.
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
            if entry.target != service.planned(flow) {
                f(flow, entry);
            }
        });
    }

    /// Calls `f` with each flow of a service that has not ended.
    pub(crate) fn each_open_flow(
        &self,
        view: &View,
        id: ServiceId,
        mut f: impl FnMut(FlowHash, &mut FlowEntry),
    ) {
        for index in 0..self.flows.shards() {
            let mut shard = self.flows.shard_at(index);
            for (flow, entry) in shard.iter_mut() {
                let open = entry.is_of(id)
                    && !entry.has(flag::CLOSED)
                    && view.target(id, entry.target).is_some();
                if open {
                    f(*flow, entry);
                }
            }
        }
    }
}
