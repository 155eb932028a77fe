//! Reports to owners outside reconciliation rounds: half-open flows when a plan
//! changes, and flows whose owner changes.

use std::time::Duration;

use crate::map::HashMap;
use sequoiatrail_types::{FlowHash, NodeId, ServiceId, TargetId};
use sequoiatrail_wire::message::FlowMessage;

use crate::core::Core;
use crate::flow_set::{Encoding, NO_ROUND, SetKey, pack};
use crate::flow_table::{REPORT_BELOW_PACKETS, deciseconds, flag};
use crate::view::View;

/// Maximum number of flows reported to owners when a plan is prepared.
const MAX_UNDECIDED_REPORTS: usize = 256;
/// Age up to which a client may still retransmit a first packet.
const SYN_RETRY_WINDOW: Duration = Duration::from_secs(4);

/// Flows with their targets, by the balancer they are reported to.
pub(crate) type FlowsByReceiver = HashMap<NodeId, Vec<(TargetId, FlowHash)>>;

impl Core {
    /// Reports the flows in buckets opened since the view `before` that their
    /// owner would otherwise decide again: a first packet may be retransmitted
    /// to another balancer, and a UDP flow has no recognisable first packet.
    pub(crate) fn report_undecided(
        &self,
        now: Duration,
        before: &View,
        id: ServiceId,
    ) -> Vec<(NodeId, FlowMessage)> {
        let view = self.view.load();
        let was_open = |flow| {
            let service = before.services.get(&id);
            service.is_some_and(|s| s.open_bucket(flow).is_some())
        };
        let since = deciseconds(now.saturating_sub(SYN_RETRY_WINDOW));
        let mut by_receiver = FlowsByReceiver::default();
        let mut count = 0;
        self.each_in_open_bucket(&view, id, |flow, entry| {
            let udp = view.targets.get(&entry.target).is_some_and(|t| t.udp);
            let opening = entry.has(flag::OPENING) && entry.last_seen >= since;
            let undecided = opening || (udp && entry.packets() < REPORT_BELOW_PACKETS);
            let owner = view.owners.owner(flow).filter(|node| *node != self.node);
            let undecided = undecided && !was_open(flow);
            if let Some(owner) = owner.filter(|_| undecided && count < MAX_UNDECIDED_REPORTS) {
                by_receiver
                    .entry(owner)
                    .or_default()
                    .push((entry.target, flow));
                count += 1;
            }
        });
        report_messages(&view, id, by_receiver)
    }

    /// Reports flows that are not on the baseline, which a new owner would
    /// decide differently, to owners and backups that are new. Each flow is
    /// reported by the first live balancer of its previous owner and backup.
    pub(crate) fn handover_reports(&self) -> Vec<(NodeId, FlowMessage)> {
        let view = self.view.load();
        let mut messages = Vec::new();
        for (id, _) in view.sorted_services() {
            let mut by_receiver = FlowsByReceiver::default();
            self.each_in_open_bucket(&view, *id, |flow, entry| {
                let Some(open) = view.services[id].open_bucket(flow) else {
                    return;
                };
                if entry.target == open.baseline {
                    return;
                }
                let before = view.owners.previous_owner_and_backup(flow);
                let mut previous = before.into_iter().flatten();
                let reporter = previous.find(|node| view.owners.live().contains(node));
                if reporter != Some(self.node) {
                    return;
                }
                for node in view.owners.owner_and_backup(flow).into_iter().flatten() {
                    if !before.contains(&Some(node)) {
                        by_receiver
                            .entry(node)
                            .or_default()
                            .push((entry.target, flow));
                    }
                }
            });
            messages.extend(report_messages(&view, *id, by_receiver));
        }
        messages
    }

    fn each_in_open_bucket(
        &self,
        view: &View,
        id: ServiceId,
        mut f: impl FnMut(FlowHash, &crate::flow_table::FlowEntry),
    ) {
        let Some(service) = view.services.get(&id).filter(|s| !s.open.is_empty()) else {
            return;
        };
        for index in 0..self.flows.shards() {
            let shard = self.flows.shard_at(index);
            for (flow, entry) in shard.iter() {
                let open = entry.belongs_to(id) && service.open_bucket(*flow).is_some();
                if open && !entry.has(flag::CLOSED) {
                    f(*flow, entry);
                }
            }
        }
    }
}

/// Messages that report flows outside a reconciliation round.
pub(crate) fn report_messages(
    view: &View,
    id: ServiceId,
    by_receiver: FlowsByReceiver,
) -> Vec<(NodeId, FlowMessage)> {
    let plan = view.services.get(&id).map(|s| s.plan.version);
    let key = SetKey {
        service: id,
        plan: plan.unwrap_or_default(),
        view: NO_ROUND,
        round: 0,
    };
    let mut by_receiver: Vec<_> = by_receiver.into_iter().collect();
    by_receiver.sort_unstable_by_key(|(node, _)| *node);
    by_receiver
        .into_iter()
        .flat_map(|(node, flows)| {
            let sets = pack(key, flows, Encoding::Exact);
            sets.into_iter()
                .map(move |set| (node, FlowMessage::Report(set)))
        })
        .collect()
}
