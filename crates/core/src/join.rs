//! What a balancer that joins gets to know, and what one that leaves tells.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_plan::NO_TARGET;
use sequoiatrail_types::{FlowHash, NodeId, ServiceId, TargetId};
use sequoiatrail_wire::limits;
use sequoiatrail_wire::message::{FlowMessage, FlowSet, Flows};

use crate::core::Core;
use crate::flow_set::{Form, NO_ROUND, SetKey, SettledFlows, pack};
use crate::flow_table::{REPORTED_BELOW, deciseconds, flag};
use crate::handover::{Told, reports};
use crate::owners::best;
use crate::service_view::ServiceView;
use crate::transition::{Choice, OpenBucket};
use crate::view::View;

/// Time for which a flow is young.
const YOUNG_FOR: Duration = Duration::from_secs(30);
/// Most young flows that a leaving balancer tells.
const MOST_YOUNG: usize = 2_000;

/// Time after its last packet for which a flow is likely to send again soon.
const RECENT: Duration = Duration::from_secs(2);
/// Flows of a leaving balancer that are told in one go.
const FLOWS_AT_ONCE: usize = 512;

/// A flow that a leaving balancer tells its heir, in the order of telling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueFlow {
    last_seen: u32,
    service: ServiceId,
    target: TargetId,
    flow: FlowHash,
}

impl Core {
    /// What `node`, which joins, needs to know before it can own flows: the
    /// baselines of the open buckets, and the flows off the plan as filters.
    ///
    /// The messages go over a reliable connection, outside the paced bytes, to
    /// [`Core::import_snapshot`] of the other balancer.
    pub fn snapshot_for(&self, node: NodeId) -> Vec<FlowMessage> {
        let view = self.view.load();
        if node == self.node || !view.ready {
            return Vec::new();
        }
        let mut messages = Vec::new();
        for (_, service) in view.services_in_order() {
            let key = key(service);
            messages.extend(baselines(key, service).map(FlowMessage::Settled));
            messages.extend(
                self.off_plan_sets(&view, key, service)
                    .map(FlowMessage::Offer),
            );
        }
        messages
    }

    /// Takes a snapshot over. Returns false, and takes nothing over, if it was
    /// made under other plans than the ones known here: then it has to be
    /// asked for again, and this balancer is not ready.
    pub fn import_snapshot(&self, now: Duration, messages: Vec<FlowMessage>) -> bool {
        let _control = self.control();
        let view = self.view.load_full();
        let mut told: BTreeMap<ServiceId, Vec<FlowSet>> = BTreeMap::new();
        for message in messages {
            if let FlowMessage::Settled(set) | FlowMessage::Offer(set) = message {
                told.entry(set.service).or_default().push(set);
            }
        }
        let matches = |(id, service): (&ServiceId, &Arc<ServiceView>)| {
            let sets = told.get(id);
            sets.is_some_and(|sets| sets.iter().all(|set| set.plan == service.plan.version))
        };
        if !view.services.iter().all(matches) {
            return false;
        }
        self.change(|view| {
            for (id, sets) in told {
                if let Some(service) = view.services.get_mut(&id) {
                    take_over(now, Arc::make_mut(service), sets);
                }
            }
        });
        true
    }

    /// Queues what the other balancers need from this one, which is about to
    /// leave: flows that their owner or the next one may not know. Returns the
    /// number of messages; [`Core::tick`] gives them out as bytes allow, and
    /// [`Core::queued_messages`] tells how many are left.
    pub fn leave(&self) -> usize {
        let mut control = self.control();
        let now = control.ticked_at;
        let view = self.view.load_full();
        // From here on the next owner decides, also for those who still ask here.
        self.change(|view| view.retire(now, self.node));
        let others = view.owners.ready().iter().copied();
        let others: Vec<_> = others.filter(|n| *n != self.node).collect();
        let mut due = self.due_at_leave(&view, now);
        due.sort_unstable();
        for flows in due.chunks(FLOWS_AT_ONCE) {
            for (to, message) in told_to_heirs(&view, &others, flows) {
                control.outbox.push(to, message);
            }
        }
        for (to, message) in self.hand_over() {
            control.outbox.push(to, message);
        }
        control.outbox.waiting()
    }

    /// What the heirs may not know, those that are likely to be silent for
    /// longest first: a flow that sends soon is told by its packets.
    fn due_at_leave(&self, view: &View, now: Duration) -> Vec<DueFlow> {
        let recent = deciseconds(now.saturating_sub(RECENT));
        let mut due = Vec::new();
        for (id, service) in view.services_in_order() {
            self.each_open_flow(view, *id, |flow, entry| {
                let known = entry.packets() >= REPORTED_BELOW && !entry.has(flag::LISTED);
                let owned = self.is_owner(view, flow);
                // A flow on the plan is off it after the next change.
                let told = match entry.target == service.planned(flow) {
                    true => owned && !known && entry.last_seen < recent,
                    false => owned || !known,
                };
                if told {
                    due.push(DueFlow {
                        last_seen: entry.last_seen,
                        service: *id,
                        target: entry.target,
                        flow,
                    });
                }
            });
            let young = self.young_flows(now, *id).into_iter();
            due.extend(young.map(|(flow, target)| DueFlow {
                last_seen: u32::MAX,
                service: *id,
                target,
                flow,
            }));
        }
        due
    }

    /// The flows of which fewest packets were seen here of late, the newest first:
    /// perhaps no other balancer knows them. Those off the plan may be among them.
    fn young_flows(&self, now: Duration, id: ServiceId) -> Vec<(FlowHash, TargetId)> {
        let since = deciseconds(now.saturating_sub(YOUNG_FOR));
        let mut young = Vec::new();
        for index in 0..self.flows.shards() {
            let shard = self.flows.shard_at(index);
            let entries = shard.iter().filter(|(_, entry)| {
                let few = entry.packets() < REPORTED_BELOW && entry.last_seen >= since;
                few && entry.is_of(id) && !entry.has(flag::CLOSED)
            });
            young.extend(
                entries.map(|(flow, e)| (e.packets(), Reverse(e.last_seen), *flow, e.target)),
            );
        }
        young.sort_unstable();
        young.truncate(MOST_YOUNG);
        young.into_iter().map(|(.., flow, t)| (flow, t)).collect()
    }

    /// All flows off the plan that are known here, and the filters held here.
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
        pack(key, flows, Form::Smallest).into_iter().chain(held)
    }
}

/// Reports of flows to those of `others` that own them from now on.
fn told_to_heirs(view: &View, others: &[NodeId], flows: &[DueFlow]) -> Vec<(NodeId, FlowMessage)> {
    let mut by_service: BTreeMap<ServiceId, Told> = BTreeMap::new();
    for f in flows {
        if let Some(heir) = best(others, f.flow, None) {
            let told = by_service.entry(f.service).or_default();
            told.entry(heir).or_default().push((f.target, f.flow));
        }
    }
    let services = by_service.into_iter();
    services
        .flat_map(|(id, told)| reports(view, id, told))
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

/// The open buckets by baseline; at least one part, perhaps empty.
fn baselines(key: SetKey, service: &ServiceView) -> impl Iterator<Item = FlowSet> {
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

/// Opens the buckets that are open elsewhere and keeps the filters.
fn take_over(now: Duration, service: &mut ServiceView, sets: Vec<FlowSet>) {
    let mut off_plan = SettledFlows::default();
    for set in sets {
        let Flows::Buckets(buckets) = &set.flows else {
            off_plan.handed.add(&set);
            off_plan.parts.push(set);
            continue;
        };
        for index in buckets.iter().map(|b| usize::from(*b)) {
            let Some(bucket) = service.plan.buckets.get(index) else {
                continue;
            };
            let mut open = OpenBucket::new(set.target);
            open.push(Choice {
                plan: service.plan.version,
                target: bucket.target,
                learned: now,
            });
            service.open.insert(index, open);
        }
    }
    service.off_plan = Arc::new(off_plan);
}
