//! The core itself: its state, events and ticks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::map::HashMap;
use arc_swap::ArcSwap;
use sequoiatrail_plan::Plan;
use sequoiatrail_table::Table;
use sequoiatrail_types::{FlowHash, NodeId, PlanVersion, ServiceId, TargetId};
use sequoiatrail_wire::message::{FlowMessage, SetKind};

use crate::flow_set::SetKey;
use crate::flow_table::{FlowTable, deciseconds, flag};
use crate::outbox::Outbox;
use crate::owners::Change;
use crate::round::Round;
use crate::shares::Shares;
use crate::view::View;
use crate::{Action, CoreConfig, Event, FlowStats, Peer};

/// The decision core of one balancer.
#[derive(Debug)]
pub struct Core {
    pub(crate) cfg: CoreConfig,
    pub(crate) node: NodeId,
    pub(crate) view: ArcSwap<View>,
    pub(crate) flows: FlowTable,
    /// Held while the view is replaced, so that no update is lost.
    control: Mutex<Control>,
    /// Corrections of other balancers that wait for the next tick.
    corrections: Mutex<Vec<(NodeId, FlowMessage)>>,
}

/// What only events and ticks use.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// Shard that the next tick looks through.
    next_shard: usize,
    /// Time of the last tick.
    pub ticked_at: Duration,
    /// Counts told by and to the other balancers.
    pub shares: Shares,
    /// Plans that are told as prepared once the urgent messages are out.
    prepared: Vec<Action>,
    /// Rounds of closing.
    pub rounds: HashMap<ServiceId, Round>,
    /// Last round of closing that this balancer began, per service.
    pub last_rounds: HashMap<ServiceId, SetKey>,
    /// Control messages that wait for their bytes.
    pub outbox: Outbox,
}

/// Most corrections that wait for a tick; a lost one is made again with the
/// next packet of its flow.
const MOST_CORRECTIONS: usize = 64;

impl Core {
    /// A core without table, plan or peers.
    pub fn new(cfg: CoreConfig, node: NodeId) -> Self {
        Self {
            flows: FlowTable::new(&cfg),
            cfg,
            node,
            view: ArcSwap::from_pointee(View::new()),
            control: Mutex::default(),
            corrections: Mutex::default(),
        }
    }

    /// This balancer.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Takes an event in.
    pub fn handle(&self, now: Duration, event: Event) -> Vec<Action> {
        let mut control = self.control();
        match event {
            Event::Table(table) => {
                self.take_table(now, &mut control, table);
                Vec::new()
            }
            Event::Plan(plan) => self.take_plan(now, &mut control, plan),
            Event::Peers(peers) => self.take_peers(now, &mut control, peers),
            Event::Message { from, message } => self.take_message(now, &mut control, from, message),
            Event::TargetDown { target, agreed_at } => {
                self.change(|view| view.set_down(now, target, Some(agreed_at)));
                Vec::new()
            }
            Event::TargetUp { target } => {
                self.change(|view| view.set_down(now, target, None));
                Vec::new()
            }
            Event::Shares { from, shares } => {
                control.shares.hear(from, shares);
                self.add_up(&control.shares);
                Vec::new()
            }
        }
    }

    /// Control messages that wait for their bytes.
    pub fn queued_messages(&self) -> usize {
        let control = self.control();
        control.outbox.waiting()
    }

    /// Forgets what has ended, closes open buckets and gives out the messages
    /// that there are bytes for; to be called several times a second.
    pub fn tick(&self, now: Duration) -> Vec<Action> {
        let mut control = self.control();
        let control = &mut *control;
        control.ticked_at = now;
        self.expire(now, control.next_shard);
        control.next_shard = (control.next_shard + 1) % self.flows.shards();
        self.advance_rounds(now, control);
        for (to, message) in self.take_corrections() {
            control.outbox.push_correction(to, message);
        }
        let rate = self.cfg.control_bytes_per_s;
        let mut actions = control.outbox.drain(now, rate);
        if !control.outbox.is_urgent() {
            actions.append(&mut control.prepared);
        }
        actions
    }

    fn take_corrections(&self) -> Vec<(NodeId, FlowMessage)> {
        let mut waiting = self
            .corrections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut waiting)
    }

    /// Counts of the flow table.
    pub fn flow_stats(&self) -> FlowStats {
        self.flows.stats()
    }

    /// Newest plan version of a service.
    pub fn plan_version(&self, service: ServiceId) -> Option<PlanVersion> {
        let view = self.view.load();
        view.services.get(&service).map(|s| s.plan.version)
    }

    /// Open buckets of a service.
    pub fn open_buckets(&self, service: ServiceId) -> usize {
        let view = self.view.load();
        view.services.get(&service).map_or(0, |s| s.open.len())
    }

    /// Table in force.
    pub fn table(&self) -> Arc<Table> {
        self.view.load().table.clone()
    }

    fn take_table(&self, now: Duration, control: &mut Control, table: Arc<Table>) {
        let before = self.view.load_full();
        if table.version <= before.table.version {
            return;
        }
        self.change(|view| view.set_table(now, table));
        self.recount(&control.shares, Change::None);
        for id in before.services.keys() {
            self.push_undecided(now, control, &before, *id);
        }
    }

    fn push_undecided(&self, now: Duration, control: &mut Control, before: &View, id: ServiceId) {
        for (to, message) in self.tell_undecided(now, before, id) {
            control.outbox.push_urgent(to, message);
        }
    }

    /// Takes a plan over. What another balancer could decide otherwise from
    /// now on is told to its owner before the plan counts as prepared here.
    fn take_plan(&self, now: Duration, control: &mut Control, plan: Arc<Plan>) -> Vec<Action> {
        let service = plan.service;
        let prepared = Action::Prepared {
            service,
            plan: plan.version,
        };
        let before = self.view.load_full();
        if !self.change(|view| view.set_plan(now, plan)) {
            return Vec::new();
        }
        self.push_undecided(now, control, &before, service);
        if !control.outbox.is_urgent() {
            return vec![prepared];
        }
        control.prepared.push(prepared);
        Vec::new()
    }

    fn take_peers(&self, now: Duration, control: &mut Control, peers: Vec<Peer>) -> Vec<Action> {
        control
            .shares
            .retain(|node| peers.iter().any(|p| p.node == node));
        let change = self.change(|view| view.set_peers(now, self.node, peers));
        if change != Change::None {
            control.shares.tell_again();
            self.recount(&control.shares, change);
            for (to, message) in self.hand_over() {
                control.outbox.push(to, message);
            }
        }
        Vec::new()
    }

    fn take_message(
        &self,
        now: Duration,
        control: &mut Control,
        from: NodeId,
        message: FlowMessage,
    ) -> Vec<Action> {
        match message {
            FlowMessage::Relay(..) => {}
            FlowMessage::Placed {
                service,
                flow,
                target,
            } => self.take_correction(now, from, service, flow, target),
            FlowMessage::Offer(set) => self.take_set(now, control, from, SetKind::Offer, set),
            FlowMessage::Report(set) => self.take_set(now, control, from, SetKind::Report, set),
            FlowMessage::Settled(set) => self.take_set(now, control, from, SetKind::Settled, set),
            FlowMessage::Gathered(set) => self.take_set(now, control, from, SetKind::Gathered, set),
            FlowMessage::Missing(missing) => self.take_missing(now, control, from, &missing),
        }
        Vec::new()
    }

    /// Another balancer knows the flow: the owner that was asked, or a backup
    /// that has sent data of it on.
    fn take_correction(
        &self,
        now: Duration,
        from: NodeId,
        service: ServiceId,
        flow: FlowHash,
        target: TargetId,
    ) {
        let view = self.view.load();
        if view.target(service, target).is_none() {
            return;
        }
        let mut shard = self.flows.shard(flow);
        let Some(entry) = shard.get_mut(&flow) else {
            drop(shard);
            let owner = view.owners.owner(flow);
            if owner == Some(from) || owner == Some(self.node) {
                self.learn_flow(now, &view, service, flow, target);
            }
            return;
        };
        if entry.is_of(service) && entry.has(flag::OPENING) && entry.target != target {
            self.uncount_entry(&view, entry);
            entry.target = target;
        }
    }

    /// Tells a balancer soon where a flow belongs.
    pub(crate) fn correct(&self, to: NodeId, service: ServiceId, flow: FlowHash, target: TargetId) {
        let mut waiting = self
            .corrections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if waiting.len() < MOST_CORRECTIONS {
            let message = FlowMessage::Placed {
                service,
                flow,
                target,
            };
            waiting.push((to, message));
        }
    }

    fn expire(&self, now: Duration, index: usize) {
        let view = self.view.load();
        let now = deciseconds(now);
        let closed = deciseconds(self.cfg.closed_linger);
        let opening = deciseconds(self.cfg.opening_linger);
        let tcp = deciseconds(self.cfg.tcp_idle);
        let udp = deciseconds(self.cfg.udp_idle);
        let mut shard = self.flows.shard_at(index);
        shard.retain(|_, entry| {
            let udp_target = view.targets.get(&entry.target).is_some_and(|t| t.udp);
            let limit = match () {
                () if entry.has(flag::CLOSED) => closed,
                () if udp_target => udp,
                () => tcp,
            };
            // The flow may go on at other balancers, so only the count ends;
            // the entry is the first to go when memory is short.
            if entry.has(flag::OPENING) && now.saturating_sub(entry.last_seen) >= opening {
                self.uncount_entry(&view, entry);
            }
            let keep = now.saturating_sub(entry.last_seen) < limit;
            if !keep {
                self.uncount(&view, entry);
            }
            keep
        });
    }

    /// Locks what only events and ticks use.
    pub(crate) fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the view; to be called with the control state locked.
    pub(crate) fn change<T>(&self, f: impl FnOnce(&mut View) -> T) -> T {
        let mut view = View::clone(&self.view.load());
        let result = f(&mut view);
        self.view.store(Arc::new(view));
        result
    }
}
