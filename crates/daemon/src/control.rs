//! The control thread: news in, plans and messages out.

mod balancers;
mod platform_news;
mod target_news;
mod versions;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

use sequoiatrail_core::{Action, Core, Event as CoreEvent};
use sequoiatrail_events::{Event, Log};
use sequoiatrail_health::{Probe, ProbeOutcome};
use sequoiatrail_membership::Event as MemberEvent;
use sequoiatrail_peers::{PeerNet, View};
use sequoiatrail_plan::{Plan, Planner, PlannerSettings};
use sequoiatrail_platform::{BalancerStatus, StoreEvent};
use sequoiatrail_settings::HealthSettings;
use sequoiatrail_table::Table;
use sequoiatrail_types::{Clock, NodeId, PlanVersion, ServiceId};
use sequoiatrail_wire::message::{Body, FlowMessage, TargetMessage};

use crate::StopFlag;
use crate::board::Board;
use crate::joining::Joining;
use crate::platform_link::Write;
use crate::targets::{TargetProbeQueue, Targets};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(50);
/// Most inputs taken before a look at the time.
const INPUTS_AT_ONCE: usize = 256;
/// Time between two looks at the plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two writes of this balancer's status.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);

/// News for the control thread.
pub(crate) enum Input {
    /// Of the platform.
    Store(StoreEvent),
    /// Of the failure detector.
    Member(MemberEvent),
    /// A message about flows of another balancer.
    Flow(NodeId, FlowMessage),
    /// A message about targets of another balancer.
    Target(NodeId, TargetMessage),
    /// A table of another balancer.
    PeerTable(Arc<Table>),
    /// A plan of another balancer.
    PeerPlan(Arc<Plan>),
    /// The state of a ready balancer.
    State(Vec<FlowMessage>),
    /// How a probe of a target ended.
    Probed(Probe, ProbeOutcome),
}

/// What the control thread works with.
pub(crate) struct Links {
    pub core: Arc<Core>,
    pub clock: Arc<dyn Clock>,
    pub log: Log,
    pub board: Arc<Board>,
    pub writes: SyncSender<Write>,
    pub net: Option<Arc<PeerNet>>,
    pub health: HealthSettings,
    /// Takes orders to probe targets.
    pub prober: Option<TargetProbeQueue>,
    /// Control addresses of the settings.
    pub seeds: Vec<SocketAddr>,
    /// What the platform is told of this balancer at first.
    pub status: BalancerStatus,
}

/// State of the control thread.
pub(crate) struct Control {
    links: Links,
    planner: Planner,
    plans: HashMap<ServiceId, Arc<Plan>>,
    /// Newest plan of each service that the core has prepared.
    prepared: BTreeMap<ServiceId, PlanVersion>,
    /// The members that the core was told of last.
    members: Arc<View>,
    /// Balancers that the platform lists, with their control addresses.
    listed: BTreeMap<NodeId, SocketAddr>,
    /// Whether the core has to be told of the balancers again.
    peers_changed: bool,
    ready: bool,
    joining: Joining,
    /// Since when this balancer wants to leave.
    leaving_since: Option<Duration>,
    /// Since when it hands over, to leave.
    handing_since: Option<Duration>,
    targets: Targets,
    next_tick: Duration,
    next_plan: Duration,
    next_status: Duration,
    lines_dropped: u64,
    /// Time since when the platform does not answer.
    platform_lost: Option<Duration>,
}

impl Control {
    pub fn new(mut links: Links) -> Self {
        let now = links.clock.now();
        let node = links.core.node();
        let prober = links.prober.take();
        let targets = Targets::new(node, &links.health, prober, links.log.clone());
        Self {
            targets,
            planner: Planner::new(node, PlannerSettings::default()),
            links,
            plans: HashMap::new(),
            prepared: BTreeMap::new(),
            members: Arc::default(),
            listed: BTreeMap::new(),
            peers_changed: true,
            ready: false,
            joining: Joining::new(now),
            leaving_since: None,
            handing_since: None,
            next_tick: Duration::ZERO,
            next_plan: Duration::ZERO,
            next_status: Duration::ZERO,
            lines_dropped: 0,
            platform_lost: None,
        }
    }

    /// Works until told to end.
    pub fn run(mut self, inputs: &Receiver<Input>, stop: &StopFlag) {
        while !stop.is_set() {
            match inputs.recv_timeout(TICK) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in inputs.try_iter().take(INPUTS_AT_ONCE) {
                self.take(input);
            }
            // At once: a packet for a balancer that has left cannot be relayed.
            self.update_peers();
            self.tick_if_due();
        }
        let _ = self.links.writes.try_send(Write::Remove(self.node()));
    }

    fn node(&self) -> NodeId {
        self.links.core.node()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Store(event) => self.take_store_event(event),
            Input::Member(event) => self.take_member_event(event),
            Input::Flow(from, message) => self.tell_core(CoreEvent::Message { from, message }),
            Input::Target(from, message) => self.take_target_message(from, message),
            Input::PeerTable(table) => self.take_table(table, "peer"),
            Input::PeerPlan(plan) => self.take_peer_plan(plan),
            Input::State(messages) => self.take_state(messages),
            Input::Probed(probe, outcome) => {
                self.targets.probed(self.links.clock.now(), probe, outcome);
            }
        }
    }

    fn tell_core(&mut self, event: CoreEvent) {
        let actions = self.links.core.handle(self.links.clock.now(), event);
        self.act(actions);
    }

    fn tick_if_due(&mut self) {
        let now = self.links.clock.now();
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.tick(now);
        }
    }

    fn tick(&mut self, now: Duration) {
        self.update_ready(now);
        self.update_peers();
        let actions = self.links.core.tick(now);
        self.act(actions);
        if now >= self.next_plan {
            self.next_plan = now + PLAN_INTERVAL;
            self.plan(now);
            self.tell_dropped_lines();
        }
        self.tick_targets(now);
        let leaving = self.is_leaving();
        if now >= self.next_status || leaving != self.links.status.leaving {
            self.next_status = now + STATUS_INTERVAL;
            self.links.status.leaving = leaving;
            self.write_status();
        }
    }

    fn is_leaving(&self) -> bool {
        self.links.board.draining.load(Ordering::Acquire)
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    if let Some(net) = &self.links.net {
                        // A lost message is asked for again by the core's rounds.
                        let _ = net.send(to, Body::Flow(message));
                    }
                }
                Action::Prepared { service, plan } => {
                    self.prepared.insert(service, plan);
                    self.peers_changed = true;
                    if let Some(net) = &self.links.net {
                        net.set_prepared(service, plan);
                    }
                }
            }
        }
    }

    fn tell_dropped_lines(&mut self) {
        let dropped = self.links.log.dropped();
        let lines = dropped - self.lines_dropped;
        if lines > 0 {
            self.lines_dropped = dropped;
            self.links.log.emit(Event::LinesDropped { lines });
        }
    }
}
