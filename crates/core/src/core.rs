//! State, events and ticks of the decision core.

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
use crate::owners::OwnersChange;
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
    /// Locked while the view is replaced, so that concurrent updates are not
    /// lost.
    control: Mutex<Control>,
    /// Corrections for other balancers, queued until the next tick.
    corrections: Mutex<Vec<(NodeId, FlowMessage)>>,
}

/// State used only by events and ticks, not by the packet path.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// Shard that the next tick expires entries in.
    next_shard: usize,
    /// Time of the last tick.
    pub last_tick: Duration,
    /// Flow counts exchanged with the other balancers.
    pub shares: Shares,
    /// `Prepared` actions held back until the urgent messages have been sent.
    prepared: Vec<Action>,
    /// Current reconciliation round of each service.
    pub rounds: HashMap<ServiceId, Round>,
    /// Key of the last round that this balancer started, per service.
    pub last_rounds: HashMap<ServiceId, SetKey>,
    /// Control messages waiting for bandwidth.
    pub outbox: Outbox,
}

/// Maximum number of corrections queued between ticks. A dropped one is
/// produced again by the next packet of its flow.
const MAX_PENDING_CORRECTIONS: usize = 64;

impl Core {
    /// Creates a core without table, plan or peers.
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

    /// Identifier of this balancer.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&self, now: Duration, event: Event) -> Vec<Action> {
        let mut control = self.control();
        match event {
            Event::Table(table) => {
                self.apply_table(now, &mut control, table);
                Vec::new()
            }
            Event::Plan(plan) => self.apply_plan(now, &mut control, plan),
            Event::Peers(peers) => self.apply_peers(now, &mut control, peers),
            Event::Message { from, message } => self.recv_message(now, &mut control, from, message),
            Event::TargetDown { target, agreed_at } => {
                self.update_view(|view| view.set_down(now, target, Some(agreed_at)));
                Vec::new()
            }
            Event::TargetUp { target } => {
                self.update_view(|view| view.set_down(now, target, None));
                Vec::new()
            }
            Event::Shares { from, shares } => {
                control.shares.receive(from, shares);
                self.update_peer_flows(&control.shares);
                Vec::new()
            }
        }
    }

    /// Number of control messages waiting for bandwidth.
    pub fn queued_messages(&self) -> usize {
        let control = self.control();
        control.outbox.pending()
    }

    /// Expires flows, advances reconciliation rounds and returns the control
    /// messages that fit into the bandwidth budget. Call it several times a
    /// second.
    pub fn tick(&self, now: Duration) -> Vec<Action> {
        let mut control = self.control();
        let control = &mut *control;
        control.last_tick = now;
        self.expire(now, control.next_shard);
        control.next_shard = (control.next_shard + 1) % self.flows.shards();
        self.advance_rounds(now, control);
        for (to, message) in self.take_corrections() {
            control.outbox.push_correction(to, message);
        }
        let rate = self.cfg.control_bytes_per_s;
        let mut actions = control.outbox.drain(now, rate);
        if !control.outbox.has_urgent() {
            actions.append(&mut control.prepared);
        }
        actions
    }

    fn take_corrections(&self) -> Vec<(NodeId, FlowMessage)> {
        let mut pending = self
            .corrections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut pending)
    }

    /// Statistics of the flow table.
    pub fn flow_stats(&self) -> FlowStats {
        self.flows.stats()
    }

    /// Newest plan version known for a service.
    pub fn plan_version(&self, service: ServiceId) -> Option<PlanVersion> {
        let view = self.view.load();
        view.services.get(&service).map(|s| s.plan.version)
    }

    /// Number of open buckets of a service.
    pub fn open_buckets(&self, service: ServiceId) -> usize {
        let view = self.view.load();
        view.services.get(&service).map_or(0, |s| s.open.len())
    }

    /// Current table.
    pub fn table(&self) -> Arc<Table> {
        self.view.load().table.clone()
    }

    fn apply_table(&self, now: Duration, control: &mut Control, table: Arc<Table>) {
        let before = self.view.load_full();
        if table.version <= before.table.version {
            return;
        }
        self.update_view(|view| view.set_table(now, table));
        self.recount(&control.shares, OwnersChange::None);
        for id in before.services.keys() {
            self.queue_undecided(now, control, &before, *id);
        }
    }

    fn queue_undecided(&self, now: Duration, control: &mut Control, before: &View, id: ServiceId) {
        for (to, message) in self.report_undecided(now, before, id) {
            control.outbox.push_urgent(to, message);
        }
    }

    /// Applies a plan. Flows that another balancer could decide differently
    /// from now on are reported to their owners before the plan counts as
    /// prepared here.
    fn apply_plan(&self, now: Duration, control: &mut Control, plan: Arc<Plan>) -> Vec<Action> {
        let service = plan.service;
        let prepared = Action::Prepared {
            service,
            plan: plan.version,
        };
        let before = self.view.load_full();
        if !self.update_view(|view| view.set_plan(now, plan)) {
            return Vec::new();
        }
        self.queue_undecided(now, control, &before, service);
        if !control.outbox.has_urgent() {
            return vec![prepared];
        }
        control.prepared.push(prepared);
        Vec::new()
    }

    fn apply_peers(&self, now: Duration, control: &mut Control, peers: Vec<Peer>) -> Vec<Action> {
        control
            .shares
            .retain(|node| peers.iter().any(|p| p.node == node));
        let change = self.update_view(|view| view.set_peers(now, self.node, peers));
        if change != OwnersChange::None {
            control.shares.forget_sent();
            self.recount(&control.shares, change);
            for (to, message) in self.handover_reports() {
                control.outbox.push(to, message);
            }
        }
        Vec::new()
    }

    fn recv_message(
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
            } => self.recv_correction(now, from, service, flow, target),
            FlowMessage::Offer(set) => self.recv_set(now, control, from, SetKind::Offer, set),
            FlowMessage::Report(set) => self.recv_set(now, control, from, SetKind::Report, set),
            FlowMessage::Settled(set) => self.recv_set(now, control, from, SetKind::Settled, set),
            FlowMessage::Gathered(set) => self.recv_set(now, control, from, SetKind::Gathered, set),
            FlowMessage::Missing(missing) => self.recv_missing(now, control, from, &missing),
        }
        Vec::new()
    }

    /// Handles a message with the target of a flow, sent by the owner that was
    /// asked or by a backup that has forwarded data of the flow.
    fn recv_correction(
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
        if entry.belongs_to(service) && entry.has(flag::OPENING) && entry.target != target {
            self.uncount_entry(&view, entry);
            entry.target = target;
        }
    }

    /// Queues a message with the target of a flow to another balancer.
    pub(crate) fn queue_correction(
        &self,
        to: NodeId,
        service: ServiceId,
        flow: FlowHash,
        target: TargetId,
    ) {
        let mut pending = self
            .corrections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if pending.len() < MAX_PENDING_CORRECTIONS {
            let message = FlowMessage::Placed {
                service,
                flow,
                target,
            };
            pending.push((to, message));
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
            // Other balancers may still see packets of the flow, so it only
            // stops counting as open. Its entry is among the first to be
            // evicted when memory is short.
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

    /// Locks the state of events and ticks.
    pub(crate) fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the view. The control state must be locked by the caller.
    pub(crate) fn update_view<T>(&self, f: impl FnOnce(&mut View) -> T) -> T {
        let mut view = View::clone(&self.view.load());
        let result = f(&mut view);
        self.view.store(Arc::new(view));
        result
    }
}
