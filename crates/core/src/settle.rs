//! Reconciliation rounds, which settle the open buckets of a service. Owners
//! offer the off-plan flows they know, the other balancers report the flows
//! that the owners lack, and the owners send the remaining flows to all balancers.
//!
//! Every step is idempotent: a set is identified by its plan, its digest of the
//! owners and its part, and flows of a report are only added.

use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;
use sequoiatrail_types::{NodeId, ServiceId};
use sequoiatrail_wire::message::{FlowMessage, FlowSet, Missing, SetKind};

use crate::core::{Control, Core};
use crate::flow_set::{Encoding, NO_ROUND, SenderFlows, SetKey, SettledFlows, pack};
use crate::flow_table::{FlowEntry, KNOWN_EVERYWHERE_PACKETS, REPORT_BELOW_PACKETS, flag};
use crate::round::{Round, Stage, set_message};
use crate::service_view::ServiceView;
use crate::transition::FlowKnowledge;
use crate::view::View;

/// Minimum number of listed flows for which a round to shrink the filters pays
/// off.
const MIN_LISTED_FLOWS: usize = 500;

impl Core {
    /// Advances the rounds of all services as far as possible.
    pub(crate) fn advance_rounds(&self, now: Duration, control: &mut Control) {
        let view = self.view.load_full();
        let live = view.owners.live();
        control.rounds.retain(|id, round| {
            let base = base_key(&view, *id);
            let block_epoch = view.services.get(id).map(|s| s.block_epoch);
            let same = base.is_some_and(|base| round.key.same_plan_and_owners(&base));
            same && block_epoch == Some(round.block_epoch)
        });
        let rounds = &control.rounds;
        control.outbox.drop_stale(live, |key| {
            let round = rounds.get(&key.service);
            round.is_some_and(|round| round.key == key)
        });
        for (id, service) in view.sorted_services() {
            if !view.can_settle(service) {
                control.rounds.remove(id);
                continue;
            }
            // Buckets may have opened again since the last round settled them.
            let last = control.rounds.get(id).map(|round| round.stage);
            let in_progress = last.is_some_and(|stage| stage != Stage::Settled);
            if !service.open.is_empty() && !in_progress {
                self.start_round(now, &view, *id, 0, control);
            }
            self.refresh_filters(now, &view, *id, control);
            if let Some(mut round) = control.rounds.remove(id) {
                self.advance_round(now, &view, &mut round, control);
                control.rounds.insert(*id, round);
            }
        }
    }

    /// Starts a round for a settled service if half of the flows that this
    /// balancer listed last have ended, to shrink the filters of all balancers.
    fn refresh_filters(&self, now: Duration, view: &View, id: ServiceId, control: &mut Control) {
        let due = control.rounds.get(&id).is_some_and(|round| {
            let interval_passed = now.saturating_sub(round.started) >= self.cfg.refresh_interval;
            interval_passed
                && round.stage == Stage::Settled
                && round.listed_flows >= MIN_LISTED_FLOWS
        });
        if !due {
            return;
        }
        let mut open = 0;
        self.each_off_plan(view, id, |_, entry| {
            open += usize::from(entry.has(flag::LISTED));
        });
        let Some(round) = control.rounds.get_mut(&id) else {
            return;
        };
        round.started = now;
        if open <= round.listed_flows / 2 {
            self.start_round(now, view, id, 0, control);
        }
    }

    /// Starts a round by sending an offer to all balancers. Its number is at
    /// least `round` and higher than those this balancer used under the same
    /// plan and owners.
    fn start_round(
        &self,
        now: Duration,
        view: &View,
        id: ServiceId,
        round: u16,
        control: &mut Control,
    ) {
        let Some(base) = base_key(view, id) else {
            return;
        };
        let last = control.last_rounds.get(&id);
        let next = last
            .filter(|last| last.same_plan_and_owners(&base))
            .map_or(1, |last| last.round.saturating_add(1));
        let key = SetKey {
            round: next.max(round),
            ..base
        };
        control.last_rounds.insert(id, key);
        let others = view.owners.ready().iter().copied();
        let owners = others.filter(|node| *node != self.node).collect();
        let block_epoch = view.services.get(&id).map_or(0, |s| s.block_epoch);
        let mut round = Round::new(key, block_epoch, owners, now);
        if view.ready {
            let mut flows = Vec::new();
            self.each_off_plan(view, id, |flow, entry| {
                if self.is_owner(view, flow) && is_offered(entry) {
                    entry.set(flag::LISTED, true);
                    flows.push((entry.target, flow));
                }
            });
            round.listed_flows += flows.len();
            let sets = pack(key, flows, Encoding::Compact);
            self.send_to_all(view, control, &mut round, SetKind::Offer, sets);
        }
        control.rounds.insert(id, round);
    }

    fn advance_round(&self, now: Duration, view: &View, round: &mut Round, control: &mut Control) {
        if view.ready {
            for owner in round.unreported() {
                self.report(view, round, owner, control);
            }
        }
        match round.stage {
            Stage::Offered if !view.ready => round.stage = Stage::Sent,
            Stage::Offered if round.has_all(SetKind::Report) => {
                round.stage = Stage::Reported;
                let id = round.key.service;
                let knowledge = Arc::new(FlowKnowledge {
                    owners: view.owners.ready().into(),
                    by_owner: HashMap::new(),
                });
                self.update_service(id, |service| {
                    service.knowledge = Some(knowledge).filter(|_| !service.open.is_empty());
                });
            }
            // One tick later no decision in progress still uses the previous
            // view.
            Stage::Reported => {
                let mut flows = Vec::new();
                self.each_off_plan(view, round.key.service, |flow, entry| {
                    let new = is_offered(entry) && !entry.has(flag::LISTED);
                    if new && self.is_owner(view, flow) {
                        entry.set(flag::LISTED, true);
                        flows.push((entry.target, flow));
                    }
                });
                round.listed_flows += flows.len();
                let sets = pack(round.key, flows, Encoding::Compact);
                self.send_to_all(view, control, round, SetKind::Settled, sets);
                round.stage = Stage::Sent;
            }
            Stage::Sent => {
                self.store_complete_sets(view, round);
                if round.has_all(SetKind::Offer) && round.has_all(SetKind::Settled) {
                    if view.ready {
                        let sets = pack(round.key, Vec::new(), Encoding::Exact);
                        self.send_to_all(view, control, round, SetKind::Gathered, sets);
                    }
                    round.stage = Stage::Gathered;
                }
            }
            // A balancer that has settled asks other balancers only about first
            // packets and listed flows. Before any balancer settles, all of
            // them have to hold the sets of every owner, in case one dies.
            Stage::Gathered if round.has_all(SetKind::Gathered) => {
                let off_plan = collect_off_plan(view, round);
                self.update_service(round.key.service, |service| service.settle(off_plan));
                round.stage = Stage::Settled;
            }
            Stage::Offered | Stage::Gathered | Stage::Settled => {}
        }
        if round.stage != Stage::Settled {
            for (to, request) in round.due_requests(now) {
                control.outbox.push_once(to, request);
            }
        }
    }

    /// Stores the sets of each owner once they are complete, in case the round
    /// is aborted before all have arrived.
    fn store_complete_sets(&self, view: &View, round: &Round) {
        let id = round.key.service;
        let knowledge = view.services.get(&id).and_then(|s| s.knowledge.as_ref());
        let Some(knowledge) = knowledge else {
            return;
        };
        let whole = |node: &&NodeId| {
            round.has_set(SetKind::Offer, **node) && round.has_set(SetKind::Settled, **node)
        };
        let new: Vec<_> = round
            .owners
            .iter()
            .filter(whole)
            .filter(|node| !knowledge.by_owner.contains_key(*node))
            .collect();
        if new.is_empty() || knowledge.owners.as_ref() != view.owners.ready() {
            return;
        }
        let mut knowledge = FlowKnowledge::clone(knowledge);
        for node in new {
            let flows = SenderFlows::new(sets_from(round, *node));
            knowledge.by_owner.insert(*node, Arc::new(flows));
        }
        let knowledge = Arc::new(knowledge);
        self.update_service(id, |service| service.knowledge = Some(knowledge));
    }

    /// Reports to an owner the flows that are missing in its offer.
    fn report(&self, view: &View, round: &mut Round, owner: NodeId, control: &mut Control) {
        let offered = SenderFlows::new(round.sets(SetKind::Offer, owner));
        let mut flows = Vec::new();
        self.each_off_plan(view, round.key.service, |flow, entry| {
            let due = !entry.has(flag::OWNER_KNOWS)
                && entry.packets() < REPORT_BELOW_PACKETS
                && view.owners.owner(flow) == Some(owner)
                && offered.find(flow) != Some(entry.target);
            if due {
                flows.push((entry.target, flow));
            }
        });
        let sets = pack(round.key, flows, Encoding::Exact);
        for set in &sets {
            control.outbox.push(owner, FlowMessage::Report(set.clone()));
        }
        round.store_sent(SetKind::Report, Some(owner), sets);
    }

    /// Handles a received part of a set.
    pub(crate) fn recv_set(
        &self,
        now: Duration,
        control: &mut Control,
        from: NodeId,
        kind: SetKind,
        set: FlowSet,
    ) {
        if kind == SetKind::Report {
            self.learn_report(now, &set);
        }
        if set.view == NO_ROUND {
            return;
        }
        let key = SetKey::of(&set);
        let round = self.round_for(now, control, key);
        if let Some(round) = round.filter(|round| round.key == key) {
            round.receive(now, kind, from, set);
        }
    }

    /// Sends missing parts again.
    pub(crate) fn recv_missing(
        &self,
        now: Duration,
        control: &mut Control,
        from: NodeId,
        missing: &Missing,
    ) {
        let key = SetKey {
            service: missing.service,
            plan: missing.plan,
            view: missing.view,
            round: 0,
        };
        let Some(round) = self.round_for(now, control, key) else {
            return;
        };
        for message in round.resend(from, missing) {
            control.outbox.push_once(from, message);
        }
    }

    /// The current round for a key's plan and owners. A round started by
    /// another balancer is joined even if all buckets are settled here.
    fn round_for<'a>(
        &self,
        now: Duration,
        control: &'a mut Control,
        key: SetKey,
    ) -> Option<&'a mut Round> {
        let view = self.view.load_full();
        let service = view.services.get(&key.service)?;
        let base = base_key(&view, key.service)?;
        if !base.same_plan_and_owners(&key) || !view.can_settle(service) {
            return None;
        }
        let present = control.rounds.get(&key.service);
        let current =
            present.filter(|r| r.key.same_plan_and_owners(&key) && r.key.round >= key.round);
        if current.is_none() {
            self.start_round(now, &view, key.service, key.round, control);
        }
        control.rounds.get_mut(&key.service)
    }

    fn send_to_all(
        &self,
        view: &View,
        control: &mut Control,
        round: &mut Round,
        kind: SetKind,
        sets: Vec<FlowSet>,
    ) {
        for set in &sets {
            for node in view.owners.live() {
                if *node != self.node {
                    control.outbox.push(*node, set_message(kind, set.clone()));
                }
            }
        }
        round.store_sent(kind, None, sets);
    }

    fn update_service(&self, id: ServiceId, f: impl FnOnce(&mut ServiceView)) {
        self.update_view(|view| {
            if let Some(service) = view.services.get_mut(&id) {
                f(Arc::make_mut(service));
            }
        });
    }
}

/// Whether the other balancers may lack an entry for a flow. They receive about
/// as many packets as this one, unless the flow is listed and they ask for it
/// instead.
fn is_offered(entry: &FlowEntry) -> bool {
    entry.packets() < KNOWN_EVERYWHERE_PACKETS || entry.has(flag::LISTED)
}

/// Key of round 0 under the current plan and owners.
fn base_key(view: &View, id: ServiceId) -> Option<SetKey> {
    let service = view.services.get(&id)?;
    Some(SetKey {
        service: id,
        plan: service.plan.version,
        view: view.owners.digest(),
        round: 0,
    })
}

/// All parts received from an owner in its offer and its `Settled` set.
fn sets_from(round: &Round, node: NodeId) -> impl Iterator<Item = &FlowSet> {
    let offer = round.sets(SetKind::Offer, node);
    offer.chain(round.sets(SetKind::Settled, node))
}

/// Combines the off-plan flows sent by all owners.
fn collect_off_plan(view: &View, round: &Round) -> SettledFlows {
    let owners = round.owners.iter();
    let flows = |node: &NodeId| (*node, SenderFlows::new(sets_from(round, *node)));
    let parts = |node: &NodeId| sets_from(round, *node).cloned().collect::<Vec<_>>();
    SettledFlows {
        owners: view.owners.ready().to_vec(),
        by_owner: owners.clone().map(flows).collect(),
        parts: owners.flat_map(parts).collect(),
        handed_over: SenderFlows::default(),
    }
}
