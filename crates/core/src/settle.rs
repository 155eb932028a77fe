//! Closing the open buckets of a service: owners offer what they know, the
//! others report what the owners lack, the owners tell everybody the rest.
//!
//! Every step can be repeated: a set is known by its plan, its view of the
//! owners and its part, and the flows of a report are only added.

use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;
use sequoiatrail_types::{NodeId, ServiceId};
use sequoiatrail_wire::message::{FlowMessage, FlowSet, Missing, SetKind};

use crate::core::{Control, Core};
use crate::flow_set::{Form, NO_ROUND, SenderFlows, SetKey, SettledFlows, pack};
use crate::flow_table::{FlowEntry, REPORTED_BELOW, SEEN_ENOUGH, flag};
use crate::round::{Round, Stage, wrap};
use crate::service_view::ServiceView;
use crate::transition::Complete;
use crate::view::View;

/// Fewest flows in a balancer's sets that are worth a round to make them fewer.
const LEAST_TOLD: usize = 500;

impl Core {
    /// Goes on with closing; every step that is possible now is taken.
    pub(crate) fn advance_rounds(&self, now: Duration, control: &mut Control) {
        let view = self.view.load_full();
        let live = view.owners.live();
        control.rounds.retain(|id, round| {
            let state = current_state(&view, *id);
            let blocks = view.services.get(id).map(|s| s.blocks);
            let same = state.is_some_and(|state| round.key.same_state(&state));
            same && blocks == Some(round.blocks)
        });
        let rounds = &control.rounds;
        control.outbox.drop_stale(live, |key| {
            let round = rounds.get(&key.service);
            round.is_some_and(|round| round.key == key)
        });
        for (id, service) in view.services_in_order() {
            if !view.closable(service) {
                control.rounds.remove(id);
                continue;
            }
            // Buckets may have opened again since the last round settled them.
            let last = control.rounds.get(id).map(|round| round.stage);
            let under_way = last.is_some_and(|stage| stage != Stage::Settled);
            if !service.open.is_empty() && !under_way {
                self.start_round(now, &view, *id, 0, control);
            }
            self.refresh(now, &view, *id, control);
            if let Some(mut round) = control.rounds.remove(id) {
                self.advance_round(now, &view, &mut round, control);
                control.rounds.insert(*id, round);
            }
        }
    }

    /// Starts a round for a settled service if half of the flows that this
    /// balancer told last have ended, so that everybody's filters get smaller.
    fn refresh(&self, now: Duration, view: &View, id: ServiceId, control: &mut Control) {
        let due = control.rounds.get(&id).is_some_and(|round| {
            let rested = now.saturating_sub(round.started) >= self.cfg.refresh_interval;
            rested && round.stage == Stage::Settled && round.told >= LEAST_TOLD
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
        if open <= round.told / 2 {
            self.start_round(now, view, id, 0, control);
        }
    }

    /// Starts a round: offers go to everybody. Its number is above those that
    /// this balancer used under the same plan and owners, and at least `round`.
    fn start_round(
        &self,
        now: Duration,
        view: &View,
        id: ServiceId,
        round: u16,
        control: &mut Control,
    ) {
        let Some(state) = current_state(view, id) else {
            return;
        };
        let last = control.last_rounds.get(&id);
        let next = last
            .filter(|last| last.same_state(&state))
            .map_or(1, |last| last.round.saturating_add(1));
        let key = SetKey {
            round: next.max(round),
            ..state
        };
        control.last_rounds.insert(id, key);
        let others = view.owners.ready().iter().copied();
        let owners = others.filter(|node| *node != self.node).collect();
        let blocks = view.services.get(&id).map_or(0, |s| s.blocks);
        let mut round = Round::new(key, blocks, owners, now);
        if view.ready {
            let mut flows = Vec::new();
            self.each_off_plan(view, id, |flow, entry| {
                if self.is_owner(view, flow) && is_offered(entry) {
                    entry.set(flag::LISTED, true);
                    flows.push((entry.target, flow));
                }
            });
            round.told += flows.len();
            let sets = pack(key, flows, Form::Smallest);
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
                round.stage = Stage::Complete;
                let id = round.key.service;
                let complete = Arc::new(Complete {
                    owners: view.owners.ready().into(),
                    told: HashMap::new(),
                });
                self.change_service(id, |service| {
                    service.complete = Some(complete).filter(|_| !service.open.is_empty());
                });
            }
            // One tick later no decision under way uses the view before.
            Stage::Complete => {
                let mut flows = Vec::new();
                self.each_off_plan(view, round.key.service, |flow, entry| {
                    let new = is_offered(entry) && !entry.has(flag::LISTED);
                    if new && self.is_owner(view, flow) {
                        entry.set(flag::LISTED, true);
                        flows.push((entry.target, flow));
                    }
                });
                round.told += flows.len();
                let sets = pack(round.key, flows, Form::Smallest);
                self.send_to_all(view, control, round, SetKind::Settled, sets);
                round.stage = Stage::Sent;
            }
            Stage::Sent => {
                self.note_told(view, round);
                if round.has_all(SetKind::Offer) && round.has_all(SetKind::Settled) {
                    if view.ready {
                        let sets = pack(round.key, Vec::new(), Form::Hashes);
                        self.send_to_all(view, control, round, SetKind::Gathered, sets);
                    }
                    round.stage = Stage::Gathered;
                }
            }
            // Whoever settles no longer asks owners about new flows, so before
            // anybody does all have to be able to answer for a dead owner.
            Stage::Gathered if round.has_all(SetKind::Gathered) => {
                let off_plan = gather(view, round);
                self.change_service(round.key.service, |service| service.settle(off_plan));
                round.stage = Stage::Settled;
            }
            Stage::Offered | Stage::Gathered | Stage::Settled => {}
        }
        if round.stage != Stage::Settled {
            for (to, request) in round.requests(now) {
                control.outbox.push_once(to, request);
            }
        }
    }

    /// Keeps the sets of each owner that have come in whole at hand, in case the
    /// round ends before all have.
    fn note_told(&self, view: &View, round: &Round) {
        let id = round.key.service;
        let complete = view.services.get(&id).and_then(|s| s.complete.as_ref());
        let Some(complete) = complete else {
            return;
        };
        let whole = |node: &&NodeId| {
            round.has(SetKind::Offer, **node) && round.has(SetKind::Settled, **node)
        };
        let new: Vec<_> = round
            .owners
            .iter()
            .filter(whole)
            .filter(|node| !complete.told.contains_key(*node))
            .collect();
        if new.is_empty() || complete.owners.as_ref() != view.owners.ready() {
            return;
        }
        let mut complete = Complete::clone(complete);
        for node in new {
            let flows = SenderFlows::new(told_by(round, *node));
            complete.told.insert(*node, Arc::new(flows));
        }
        let complete = Arc::new(complete);
        self.change_service(id, |service| service.complete = Some(complete));
    }

    /// Reports to an owner what its offer does not hold.
    fn report(&self, view: &View, round: &mut Round, owner: NodeId, control: &mut Control) {
        let offered = SenderFlows::new(round.sets(SetKind::Offer, owner));
        let mut flows = Vec::new();
        self.each_off_plan(view, round.key.service, |flow, entry| {
            let due = !entry.has(flag::OWNER_KNOWS)
                && entry.packets() < REPORTED_BELOW
                && view.owners.owner(flow) == Some(owner)
                && offered.find(flow) != Some(entry.target);
            if due {
                flows.push((entry.target, flow));
            }
        });
        let sets = pack(round.key, flows, Form::Hashes);
        for set in &sets {
            control.outbox.push(owner, FlowMessage::Report(set.clone()));
        }
        round.remember(SetKind::Report, Some(owner), sets);
    }

    /// Takes a message about sets in.
    pub(crate) fn take_set(
        &self,
        now: Duration,
        control: &mut Control,
        from: NodeId,
        kind: SetKind,
        set: FlowSet,
    ) {
        if kind == SetKind::Report {
            self.learn(now, &set);
        }
        if set.view == NO_ROUND {
            return;
        }
        let key = SetKey::of(&set);
        let round = self.round_of(now, control, key);
        if let Some(round) = round.filter(|round| round.key == key) {
            round.take(now, kind, from, set);
        }
    }

    /// Sends missing parts again.
    pub(crate) fn take_missing(
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
        let Some(round) = self.round_of(now, control, key) else {
            return;
        };
        for message in round.again(from, missing) {
            control.outbox.push_once(from, message);
        }
    }

    /// The round under a key's plan and owners. One that another balancer
    /// started is joined, also if all buckets are settled here.
    fn round_of<'a>(
        &self,
        now: Duration,
        control: &'a mut Control,
        key: SetKey,
    ) -> Option<&'a mut Round> {
        let view = self.view.load_full();
        let service = view.services.get(&key.service)?;
        let state = current_state(&view, key.service)?;
        if !state.same_state(&key) || !view.closable(service) {
            return None;
        }
        let present = control.rounds.get(&key.service);
        let current = present.filter(|r| r.key.same_state(&key) && r.key.round >= key.round);
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
                    control.outbox.push(*node, wrap(kind, set.clone()));
                }
            }
        }
        round.remember(kind, None, sets);
    }

    fn change_service(&self, id: ServiceId, f: impl FnOnce(&mut ServiceView)) {
        self.change(|view| {
            if let Some(service) = view.services.get_mut(&id) {
                f(Arc::make_mut(service));
            }
        });
    }
}

/// Whether the others may lack a flow: they see as many packets as this
/// balancer, unless they ask for them each time.
fn is_offered(entry: &FlowEntry) -> bool {
    entry.packets() < SEEN_ENOUGH || entry.has(flag::LISTED)
}

/// Key of the first round under the present plan and owners.
fn current_state(view: &View, id: ServiceId) -> Option<SetKey> {
    let service = view.services.get(&id)?;
    Some(SetKey {
        service: id,
        plan: service.plan.version,
        view: view.owners.digest(),
        round: 0,
    })
}

/// All parts that an owner has told.
fn told_by(round: &Round, node: NodeId) -> impl Iterator<Item = &FlowSet> {
    let offer = round.sets(SetKind::Offer, node);
    offer.chain(round.sets(SetKind::Settled, node))
}

/// The flows off the plan that all owners have told.
fn gather(view: &View, round: &Round) -> SettledFlows {
    let owners = round.owners.iter();
    let flows = |node: &NodeId| (*node, SenderFlows::new(told_by(round, *node)));
    let parts = |node: &NodeId| told_by(round, *node).cloned().collect::<Vec<_>>();
    SettledFlows {
        owners: view.owners.ready().to_vec(),
        by_owner: owners.clone().map(flows).collect(),
        parts: owners.flat_map(parts).collect(),
        handed: SenderFlows::default(),
    }
}
