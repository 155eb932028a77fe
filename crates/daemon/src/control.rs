//! The control thread: processes updates, computes plans and sends messages.

mod balancers;
mod platform_events;
mod target_updates;
mod versions;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

use sequoiatrail_core::{Action, Core, Event as CoreEvent};
use sequoiatrail_events::{Event, Log};
use sequoiatrail_peers::{PeerNet, View};
use sequoiatrail_plan::{Plan, Planner, PlannerSettings};
use sequoiatrail_platform::BalancerStatus;
use sequoiatrail_settings::HealthSettings;
use sequoiatrail_types::{Clock, NodeId, PlanVersion, ServiceId};
use sequoiatrail_wire::message::Body;

use crate::StopFlag;
use crate::control_messages::{Input, Write};
use crate::joining::JoinProgress;
use crate::shared_state::SharedState;
use crate::targets::{TargetProbeQueue, Targets};

/// Interval between ticks of the core.
const TICK: Duration = Duration::from_millis(50);
/// Maximum number of queued inputs to handle between two ticks.
const MAX_INPUTS_PER_BATCH: usize = 256;
/// Interval between planner runs.
const PLANNING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between status writes to the platform.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);

/// Dependencies and settings of the control thread.
pub(crate) struct Context {
    pub core: Arc<Core>,
    pub clock: Arc<dyn Clock>,
    pub log: Log,
    pub shared: Arc<SharedState>,
    pub writes: SyncSender<Write>,
    pub net: Option<Arc<PeerNet>>,
    pub health: HealthSettings,
    /// Queue of probes to run; `None` if targets are not probed.
    pub prober: Option<TargetProbeQueue>,
    /// Control addresses of peers from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Status reported to the platform, updated before each write.
    pub status: BalancerStatus,
}

/// State of the control thread.
pub(crate) struct Control {
    cx: Context,
    planner: Planner,
    plans: HashMap<ServiceId, Arc<Plan>>,
    /// Latest plan version of each service that the core has prepared.
    prepared: BTreeMap<ServiceId, PlanVersion>,
    /// Last known members.
    members: Arc<View>,
    /// Control addresses of the balancers listed by the platform.
    listed: BTreeMap<NodeId, SocketAddr>,
    /// Whether the core must be updated with the current peers.
    peers_changed: bool,
    ready: bool,
    joining: JoinProgress,
    /// When this balancer started to leave.
    leaving_since: Option<Duration>,
    /// When it started to hand over its flows before leaving.
    hand_over_since: Option<Duration>,
    targets: Targets,
    next_tick: Duration,
    next_plan: Duration,
    next_status: Duration,
    lines_dropped: u64,
    /// Start of the current platform outage.
    platform_lost: Option<Duration>,
}

impl Control {
    pub fn new(mut cx: Context) -> Self {
        let now = cx.clock.now();
        let node = cx.core.node();
        let prober = cx.prober.take();
        let targets = Targets::new(node, &cx.health, prober, cx.log.clone());
        Self {
            targets,
            planner: Planner::new(node, PlannerSettings::default()),
            cx,
            plans: HashMap::new(),
            prepared: BTreeMap::new(),
            members: Arc::default(),
            listed: BTreeMap::new(),
            peers_changed: true,
            ready: false,
            joining: JoinProgress::new(now),
            leaving_since: None,
            hand_over_since: None,
            next_tick: Duration::ZERO,
            next_plan: Duration::ZERO,
            next_status: Duration::ZERO,
            lines_dropped: 0,
            platform_lost: None,
        }
    }

    /// Runs until `stop` is set or all input senders are dropped.
    pub fn run(mut self, inputs: &Receiver<Input>, stop: &StopFlag) {
        while !stop.is_set() {
            match inputs.recv_timeout(TICK) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in inputs.try_iter().take(MAX_INPUTS_PER_BATCH) {
                self.handle_input(input);
            }
            // Not deferred to the tick: packets cannot be relayed to a balancer that has left.
            self.update_peers();
            self.tick_if_due();
        }
        let _ = self.cx.writes.try_send(Write::Remove(self.node()));
    }

    fn node(&self) -> NodeId {
        self.cx.core.node()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Store(event) => self.handle_store_event(event),
            Input::Member(event) => self.handle_member_event(event),
            Input::Flow(from, message) => self.update_core(CoreEvent::Message { from, message }),
            Input::Target(from, message) => self.handle_target_message(from, message),
            Input::PeerTable(table) => self.apply_table(table, "peer"),
            Input::PeerPlan(plan) => self.apply_peer_plan(plan),
            Input::State(messages) => self.import_state(messages),
            Input::Probed(probe, outcome) => {
                self.targets
                    .record_probe(self.cx.clock.now(), probe, outcome);
            }
        }
    }

    fn update_core(&mut self, event: CoreEvent) {
        let actions = self.cx.core.handle(self.cx.clock.now(), event);
        self.execute(actions);
    }

    fn tick_if_due(&mut self) {
        let now = self.cx.clock.now();
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.tick(now);
        }
    }

    fn tick(&mut self, now: Duration) {
        self.update_ready(now);
        self.update_peers();
        let actions = self.cx.core.tick(now);
        self.execute(actions);
        if now >= self.next_plan {
            self.next_plan = now + PLANNING_INTERVAL;
            self.propose_plans(now);
            self.report_dropped_lines();
        }
        self.tick_targets(now);
        let leaving = self.is_leaving();
        if now >= self.next_status || leaving != self.cx.status.leaving {
            self.next_status = now + STATUS_INTERVAL;
            self.cx.status.leaving = leaving;
            self.write_status();
        }
    }

    fn is_leaving(&self) -> bool {
        self.cx.shared.draining.load(Ordering::Acquire)
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    if let Some(net) = &self.cx.net {
                        // The core's periodic rounds request lost messages again.
                        let _ = net.send(to, Body::Flow(message));
                    }
                }
                Action::Prepared { service, plan } => {
                    self.prepared.insert(service, plan);
                    self.peers_changed = true;
                    if let Some(net) = &self.cx.net {
                        net.set_prepared(service, plan);
                    }
                }
            }
        }
    }

    fn report_dropped_lines(&mut self) {
        let dropped = self.cx.log.dropped();
        let lines = dropped - self.lines_dropped;
        if lines > 0 {
            self.lines_dropped = dropped;
            self.cx.log.emit(Event::LinesDropped { lines });
        }
    }
}
