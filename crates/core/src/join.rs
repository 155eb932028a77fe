//! Snapshots for a balancer that joins, and the handover of one that leaves.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_plan::NO_TARGET;
use sequoiatrail_types::{FlowHash, NodeId, ServiceId, TargetId};
use sequoiatrail_wire::limits;
use sequoiatrail_wire::message::{FlowMessage, FlowSet, Flows};

use crate::core::Core;
use crate::flow_set::{Encoding, NO_ROUND, SetKey, SettledFlows, pack};
use crate::flow_table::{REPORT_BELOW_PACKETS, deciseconds, flag};
use crate::handover::{FlowsByReceiver, report_messages};
use crate::owners::rendezvous_node;
use crate::service_view::ServiceView;
use crate::transition::{OpenBucket, PlannedTarget};
use crate::view::View;

/// Maximum age of the last packet of a rarely seen flow.
const RARELY_SEEN_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of rarely seen flows that a leaving balancer reports per
/// service.
const MAX_RARELY_SEEN: usize = 2_000;

/// A flow whose last packet is more recent is likely to send again soon.
const RECENT_WINDOW: Duration = Duration::from_secs(2);
/// Flows per batch of handover reports.
const HANDOVER_BATCH_FLOWS: usize = 512;

/// A flow that a leaving balancer reports to the flow's next owner; ordered by
/// urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HandoverFlow {
    last_seen: u32,
    service: ServiceId,
    target: TargetId,
    flow: FlowHash,
}

impl Core {
    /// What `node` needs before it can own flows: the baselines of the open
    /// buckets, and filters of the off-plan flows.
    ///
    /// The messages are sent over a reliable connection outside the control
    /// byte budget, to [`Core::import_snapshot`] of the joining balancer.
    pub fn snapshot_for(&self, node: NodeId) -> Vec<FlowMessage> {
        let view = self.view.load();
        if node == self.node || !view.ready {
            return Vec::new();
        }
        let mut messages = Vec::new();
        for (_, service) in view.sorted_services() {
            let key = key(service);
            messages.extend(baseline_sets(key, service).map(FlowMessage::Settled));
            messages.extend(
                self.off_plan_sets(&view, key, service)
                    .map(FlowMessage::Offer),
            );
        }
        messages
    }

    /// Applies a snapshot. Returns false without applying anything if it was
    /// made under other plans than those known here; the caller must then
    /// request a new one, and this balancer is not ready.
    pub fn import_snapshot(&self, now: Duration, messages: Vec<FlowMessage>) -> bool {
        let _control = self.control();
        let view = self.view.load_full();
        let mut sets_by_service: BTreeMap<ServiceId, Vec<FlowSet>> = BTreeMap::new();
        for message in messages {
            if let FlowMessage::Settled(set) | FlowMessage::Offer(set) = message {
                sets_by_service.entry(set.service).or_default().push(set);
            }
        }
        let matches = |(id, service): (&ServiceId, &Arc<ServiceView>)| {
            let sets = sets_by_service.get(id);
            sets.is_some_and(|sets| sets.iter().all(|set| set.plan == service.plan.version))
        };
        if !view.services.iter().all(matches) {
            return false;
        }
        self.update_view(|view| {
            for (id, sets) in sets_by_service {
                if let Some(service) = view.services.get_mut(&id) {
                    apply_snapshot(now, Arc::make_mut(service), sets);
                }
            }
        });
        true
    }

    /// Prepares to leave: queues reports of the flows that their current or
    /// next owner may not know. Returns the number of queued messages.
    /// [`Core::tick`] sends them as bandwidth allows, and
    /// [`Core::queued_messages`] returns how many are left.
    pub fn leave(&self) -> usize {
        let mut control = self.control();
        let now = control.last_tick;
        let view = self.view.load_full();
        // From here on the next owner decides, also for packets still relayed
        // to this balancer.
        self.update_view(|view| view.retire(now, self.node));
        let others = view.owners.ready().iter().copied();
        let others: Vec<_> = others.filter(|n| *n != self.node).collect();
        let mut pending = self.flows_to_hand_over(&view, now);
        pending.sort_unstable();
        for flows in pending.chunks(HANDOVER_BATCH_FLOWS) {
            for (to, message) in reports_to_successors(&view, &others, flows) {
                control.outbox.push(to, message);
            }
        }
        for (to, message) in self.handover_reports() {
            control.outbox.push(to, message);
        }
        control.outbox.pending()
    }

    /// The flows that their next owners may not know. Those expected to stay
    /// idle longest come first: a flow that sends soon announces itself by its
    /// packets.
    fn flows_to_hand_over(&self, view: &View, now: Duration) -> Vec<HandoverFlow> {
        let recent = deciseconds(now.saturating_sub(RECENT_WINDOW));
        let mut pending = Vec::new();
        for (id, service) in view.sorted_services() {
            self.each_open_flow(view, *id, |flow, entry| {
                let known = entry.packets() >= REPORT_BELOW_PACKETS && !entry.has(flag::LISTED);
                let owned = self.is_owner(view, flow);
                // A flow on the plan becomes an off-plan flow with the next
                // plan change.
                let report = match entry.target == service.planned_target(flow) {
                    true => owned && !known && entry.last_seen < recent,
                    false => owned || !known,
                };
                if report {
                    pending.push(HandoverFlow {
                        last_seen: entry.last_seen,
                        service: *id,
                        target: entry.target,
                        flow,
                    });
                }
            });
            let rarely_seen = self.rarely_seen_flows(now, *id).into_iter();
            pending.extend(rarely_seen.map(|(flow, target)| HandoverFlow {
                last_seen: u32::MAX,
                service: *id,
                target,
                flow,
            }));
        }
        pending
    }

    /// Recently active flows with the fewest packets seen here, newest first;
    /// possibly no other balancer knows them. May include off-plan flows.
    fn rarely_seen_flows(&self, now: Duration, id: ServiceId) -> Vec<(FlowHash, TargetId)> {
        let since = deciseconds(now.saturating_sub(RARELY_SEEN_WINDOW));
        let mut rarely_seen = Vec::new();
        for index in 0..self.flows.shards() {
            let shard = self.flows.shard_at(index);
            let entries = shard.iter().filter(|(_, entry)| {
                let few = entry.packets() < REPORT_BELOW_PACKETS && entry.last_seen >= since;
                few && entry.belongs_to(id) && !entry.has(flag::CLOSED)
            });
            rarely_seen.extend(
                entries.map(|(flow, e)| (e.packets(), Reverse(e.last_seen), *flow, e.target)),
            );
        }
        rarely_seen.sort_unstable();
        rarely_seen.truncate(MAX_RARELY_SEEN);
        rarely_seen
            .into_iter()
            .map(|(.., flow, t)| (flow, t))
            .collect()
    }

    /// All off-plan flows with an entry here, and the filters held here.
    fn off_plan_sets<'a>(
        &self,
        view: &View,
        key: SetKey,
        service: &'a ServiceView,
    ) -> impl Iterator<Item = FlowSet> + 'a {
        let mut flows = Vec::new();
        self.each_off_plan(view, key.service, |flow, entry| {
            let listed = service.off_plan.find(flow);
            if listed.map(|l| l.target) != Some(entry.target) {
                flows.push((entry.target, flow));
            }
        });
        let held = service.off_plan.parts.iter();
        let held = held.cloned().map(move |set| FlowSet {
            plan: key.plan,
            view: NO_ROUND,
            ..set
        });
        pack(key, flows, Encoding::Compact).into_iter().chain(held)
    }
}

/// Reports flows to those of `others` that will own them.
fn reports_to_successors(
    view: &View,
    others: &[NodeId],
    flows: &[HandoverFlow],
) -> Vec<(NodeId, FlowMessage)> {
    let mut by_service: BTreeMap<ServiceId, FlowsByReceiver> = BTreeMap::new();
    for f in flows {
        if let Some(successor) = rendezvous_node(others, f.flow, None) {
            let by_receiver = by_service.entry(f.service).or_default();
            by_receiver
                .entry(successor)
                .or_default()
                .push((f.target, f.flow));
        }
    }
    let services = by_service.into_iter();
    services
        .flat_map(|(id, by_receiver)| report_messages(view, id, by_receiver))
        .collect()
}

fn key(service: &ServiceView) -> SetKey {
    SetKey {
        service: service.plan.service,
        plan: service.plan.version,
        view: NO_ROUND,
        round: 0,
    }
}

/// The open buckets grouped by baseline; at least one set, which may be empty.
fn baseline_sets(key: SetKey, service: &ServiceView) -> impl Iterator<Item = FlowSet> {
    let mut by_target: BTreeMap<TargetId, Vec<u16>> = BTreeMap::new();
    for (index, open) in &service.open {
        let buckets = by_target.entry(open.baseline).or_default();
        buckets.push(*index as u16);
    }
    if by_target.is_empty() {
        by_target.insert(NO_TARGET, Vec::new());
    }
    by_target.into_iter().flat_map(move |(target, buckets)| {
        let mut parts: Vec<_> = buckets
            .chunks(limits::BUCKETS)
            .map(<[u16]>::to_vec)
            .collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        parts.into_iter().map(move |buckets| FlowSet {
            service: key.service,
            plan: key.plan,
            view: key.view,
            round: key.round,
            target,
            part: 0,
            parts: 1,
            flows: Flows::Buckets(buckets),
        })
    })
}

/// Opens the buckets that are open at the sender and stores its filters.
fn apply_snapshot(now: Duration, service: &mut ServiceView, sets: Vec<FlowSet>) {
    let mut off_plan = SettledFlows::default();
    for set in sets {
        let Flows::Buckets(buckets) = &set.flows else {
            off_plan.handed_over.add(&set);
            off_plan.parts.push(set);
            continue;
        };
        for index in buckets.iter().map(|b| usize::from(*b)) {
            let Some(bucket) = service.plan.buckets.get(index) else {
                continue;
            };
            let mut open = OpenBucket::new(set.target);
            open.push(PlannedTarget {
                plan: service.plan.version,
                target: bucket.target,
                received_at: now,
            });
            service.open.insert(index, open);
        }
    }
    service.off_plan = Arc::new(off_plan);
}
