//! Discrete-event simulation of balancers, flows and platform.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiatrail_core::{Event, Via};
use sequoiatrail_packet::Packet;
use sequoiatrail_plan::Plan;
use sequoiatrail_table::Table;
use sequoiatrail_types::{NodeId, PlanVersion, ServiceId, TargetId};
use sequoiatrail_wire::Key;
use sequoiatrail_wire::message::{FlowMessage, Membership, RelayHeader, TargetMessage};

use crate::Result;
use crate::balancer::{Balancer, Liveness, control_address};
use crate::flows::{Flow, FlowKind};
use crate::measure::{EditReport, Meter, Report};
use crate::platform::Platform;
use crate::queue::EventQueue;
use crate::schedule::Schedule;

/// Size of the IPv4 and UDP headers of a message, in bytes.
pub(crate) const HEADER_BYTES: u64 = 28;
/// Tick interval of a core.
const TICK: Duration = Duration::from_millis(100);
/// Tick interval of a failure detector.
pub(crate) const DETECTOR_TICK: Duration = Duration::from_millis(50);

/// An event of the simulation.
pub(crate) enum SimEvent {
    /// A short flow opens.
    OpenFlow(usize),
    /// A flow sends its next packet.
    Send { flow: usize, retransmits: u8 },
    /// A relayed packet arrives.
    Relayed {
        to: usize,
        from: NodeId,
        header: RelayHeader,
        flow: usize,
        packet: Packet,
        retransmits: u8,
    },
    /// A control message about flows arrives.
    Message {
        to: usize,
        from: NodeId,
        message: FlowMessage,
    },
    /// A message of the failure detector arrives.
    Membership {
        to: usize,
        from: usize,
        message: Membership,
    },
    /// A message about targets arrives.
    Target {
        to: usize,
        from: NodeId,
        message: TargetMessage,
    },
    /// A snapshot from another balancer arrives.
    Snapshot {
        to: usize,
        messages: Vec<FlowMessage>,
    },
    /// A table from the platform arrives.
    Table { to: usize, table: Arc<Table> },
    /// A plan from the platform arrives.
    Plan { to: usize, plan: Arc<Plan> },
    /// Tick of a core.
    Tick(usize),
    /// Tick of a failure detector.
    DetectorTick(usize),
    /// A second ends.
    Second,
    /// A scheduled edit or fault is due.
    Scheduled(usize),
    /// The planner stores the plans of the current table.
    WritePlans,
    /// The fabric stops sending packets to a balancer.
    RemoveFromFabric(usize),
    /// A paused balancer resumes.
    Resume(usize),
}

/// Options of a run besides its schedule.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Called after each simulated second with the number of seconds done.
    pub progress: Option<fn(u64)>,
    /// Number of a flow whose decisions are printed.
    pub trace: Option<usize>,
}

/// Open flows of a service by target.
#[derive(Default)]
pub(crate) struct ServiceLoad {
    /// Open flows of each target.
    pub open: HashMap<TargetId, i64>,
}

/// State of a run.
pub(crate) struct Simulation {
    pub schedule: Schedule,
    pub now: Duration,
    pub queue: EventQueue<SimEvent>,
    pub rng: ChaCha8Rng,
    pub balancers: Vec<Balancer>,
    pub platform: Platform,
    pub edits: Vec<PendingEdit>,
    /// Time at which the stop of each stopped target was accepted.
    pub stopped: HashMap<TargetId, Duration>,
    pub meter: Meter,
    pub flows: Vec<Flow>,
    /// Address of each service.
    pub addresses: Vec<SocketAddr>,
    pub loads: Vec<ServiceLoad>,
    pub key: Key,
    pub options: RunOptions,
    /// Plan versions last seen on each balancer, to detect a decrease.
    pub last_versions: Vec<BTreeMap<ServiceId, PlanVersion>>,
}

/// An edit that balancers may not have applied yet.
pub(crate) struct PendingEdit {
    pub report: EditReport,
    pub at: Duration,
    pub table: Arc<Table>,
    /// Plans made from the edit; empty until the planner has stored them.
    pub plans: Vec<(ServiceId, PlanVersion)>,
    pub planned: bool,
}

/// Runs a schedule.
pub fn run(schedule: &Schedule, options: RunOptions) -> Result<Report> {
    let mut simulation = Simulation::new(schedule, options)?;
    simulation.start();
    let end = Duration::from_secs(schedule.duration_s);
    let mut second = 0;
    while let Some((at, sim_event)) = simulation.queue.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.dispatch(sim_event)?;
        if at.as_secs() > second {
            second = at.as_secs();
            if let Some(progress) = options.progress {
                progress(second);
            }
        }
    }
    Ok(simulation.report())
}

impl Simulation {
    fn new(schedule: &Schedule, options: RunOptions) -> Result<Self> {
        let seed = options.seed;
        let platform = Platform::new(schedule, seed)?;
        let addresses = schedule
            .services
            .iter()
            .filter_map(|s| platform.table.service_by_name(&s.name))
            .map(|s| s.address)
            .collect();
        let loads = schedule
            .services
            .iter()
            .map(|_| ServiceLoad::default())
            .collect();
        Ok(Self {
            schedule: schedule.clone(),
            now: Duration::ZERO,
            queue: EventQueue::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            balancers: Vec::new(),
            platform,
            edits: Vec::new(),
            stopped: HashMap::new(),
            meter: Meter::new(),
            flows: Vec::new(),
            addresses,
            loads,
            key: Key::new(&[7; 32]).expect("32 bytes are long enough for a key"),
            options,
            last_versions: Vec::new(),
        })
    }

    /// Starts the balancers and queues the initial events.
    fn start(&mut self) {
        for _ in 0..self.schedule.balancers {
            self.add_balancer();
        }
        for balancer in &mut self.balancers {
            balancer.membership.set_ready(true);
        }
        self.start_flows();
        self.queue.push(Duration::from_secs(1), SimEvent::Second);
        for (index, event) in self.schedule.events.iter().enumerate() {
            let at = Duration::from_secs_f64(event.at_s);
            self.queue.push(at, SimEvent::Scheduled(index));
        }
    }

    /// Adds a balancer with the current table and plans.
    pub fn add_balancer(&mut self) -> usize {
        let index = self.balancers.len();
        let mut balancer = Balancer::new(index, self.schedule.failure_domains, self.options.seed);
        let seeds = (0..self.schedule.balancers).map(control_address).collect();
        balancer.membership.set_seeds(seeds);
        self.balancers.push(balancer);
        self.last_versions.push(BTreeMap::new());
        self.deliver_event(index, Event::Table(self.platform.table.clone()));
        let services = self.platform.table.services.iter();
        let plans: Vec<_> = services
            .filter_map(|s| self.platform.plans.get(&s.id).cloned())
            .collect();
        for plan in plans {
            self.deliver_event(index, Event::Plan(plan));
        }
        let tick = self.random_below(TICK);
        let detector_tick = self.random_below(DETECTOR_TICK);
        self.queue.push(self.now + tick, SimEvent::Tick(index));
        self.queue
            .push(self.now + detector_tick, SimEvent::DetectorTick(index));
        index
    }

    fn start_flows(&mut self) {
        let warm_up = Duration::from_secs(self.schedule.warm_up_s).mul_f64(0.6);
        for index in 0..self.schedule.services.len() {
            let service = self.schedule.services[index].clone();
            for number in 0..service.long_flows + service.idle_flows {
                let kind = if number < service.idle_flows {
                    FlowKind::Idle
                } else {
                    FlowKind::Long
                };
                let at = self.random_below(warm_up);
                let flow = self.add_flow(index, kind);
                self.queue.push(
                    at,
                    SimEvent::Send {
                        flow,
                        retransmits: 0,
                    },
                );
            }
            if service.new_per_s > 0 {
                self.queue.push(Duration::ZERO, SimEvent::OpenFlow(index));
            }
        }
    }

    pub fn add_flow(&mut self, service: usize, kind: FlowKind) -> usize {
        self.flows.push(Flow {
            kind,
            service: service as u16,
            client: self.flows.len() as u32,
            delivered: 0,
            target: None,
            ended: false,
        });
        self.flows.len() - 1
    }

    fn dispatch(&mut self, sim_event: SimEvent) -> Result<()> {
        match sim_event {
            SimEvent::OpenFlow(service) => self.open_flow(service),
            SimEvent::Send { flow, retransmits } => self.send(flow, retransmits),
            SimEvent::Relayed {
                to,
                from,
                header,
                flow,
                packet,
                retransmits,
            } => {
                let via = Via::Peer { from, header };
                self.decide(to, flow, packet, via, retransmits);
            }
            SimEvent::Message { to, from, message } => {
                if self.balancers[to].is_up() {
                    let event = Event::Message { from, message };
                    let actions = self.balancers[to].core.handle(self.now, event);
                    self.execute(to, actions);
                }
            }
            SimEvent::Membership { to, from, message } => self.receive(to, from, &message),
            SimEvent::Target { to, from, message } => {
                let shares = message.shares;
                self.deliver_event(to, Event::Shares { from, shares });
            }
            SimEvent::Snapshot { to, messages } => self.import_snapshot(to, messages),
            SimEvent::Table { to, table } => self.deliver_event(to, Event::Table(table)),
            SimEvent::Plan { to, plan } => self.deliver_event(to, Event::Plan(plan)),
            SimEvent::Tick(index) => self.tick(index),
            SimEvent::DetectorTick(index) => self.detector_tick(index),
            SimEvent::Second => self.end_second(),
            SimEvent::Scheduled(index) => self.run_scheduled(index)?,
            SimEvent::WritePlans => self.write_plans(),
            // A balancer that has left exits once the fabric no longer sends to it.
            SimEvent::RemoveFromFabric(index) => {
                self.balancers[index].in_fabric = false;
                self.balancers[index].liveness = Liveness::Gone;
            }
            SimEvent::Resume(index) => self.balancers[index].liveness = Liveness::Up,
        }
        Ok(())
    }

    fn deliver_event(&mut self, to: usize, event: Event) {
        match self.balancers[to].liveness {
            Liveness::Up => {
                let actions = self.balancers[to].core.handle(self.now, event);
                self.execute(to, actions);
            }
            // After a pause, a watch resumes where it stopped.
            Liveness::Paused(until) => {
                let sim_event = match event {
                    Event::Table(table) => SimEvent::Table { to, table },
                    Event::Plan(plan) => SimEvent::Plan { to, plan },
                    _ => return,
                };
                self.queue.push(until, sim_event);
            }
            Liveness::Gone => {}
        }
    }

    fn tick(&mut self, index: usize) {
        if self.balancers[index].liveness == Liveness::Gone {
            return;
        }
        if self.balancers[index].is_up() {
            let actions = self.balancers[index].core.tick(self.now);
            self.execute(index, actions);
            self.advance_leave(index);
        }
        self.queue.push(self.now + TICK, SimEvent::Tick(index));
    }

    pub fn versions_of(&self, index: usize) -> Vec<(ServiceId, PlanVersion)> {
        let services = self.platform.table.services.iter();
        let core = &self.balancers[index].core;
        services
            .filter_map(|s| Some((s.id, core.plan_version(s.id)?)))
            .collect()
    }
}
