//! A run: balancers, flows and platform under one queue.

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
use crate::balancer::{Balancer, Life, control_address};
use crate::flows::{Flow, Kind};
use crate::measure::{EditInForce, Meter, Report};
use crate::platform::Platform;
use crate::queue::Queue;
use crate::schedule::Schedule;

/// Bytes of IPv4 and UDP headers around a message.
pub(crate) const HEADER_BYTES: u64 = 28;
/// Time between two ticks of a core.
const TICK: Duration = Duration::from_millis(100);
/// Time between two ticks of a failure detector.
pub(crate) const PROBE_TICK: Duration = Duration::from_millis(50);

/// What happens at a time.
pub(crate) enum Happening {
    /// A short flow opens.
    Opens(usize),
    /// A flow sends its next packet.
    Send { flow: usize, tries: u8 },
    /// A relayed packet arrives.
    Relayed {
        to: usize,
        from: NodeId,
        header: RelayHeader,
        flow: usize,
        packet: Packet,
        tries: u8,
    },
    /// A control message arrives.
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
    /// A snapshot of another balancer arrives.
    Snapshot {
        to: usize,
        messages: Vec<FlowMessage>,
    },
    /// News of the platform arrives.
    Table { to: usize, table: Arc<Table> },
    /// News of the platform arrives.
    Plan { to: usize, plan: Arc<Plan> },
    /// A core's tick.
    Tick(usize),
    /// A failure detector's tick.
    Probe(usize),
    /// A second ends.
    Second,
    /// An event of the schedule.
    Scheduled(usize),
    /// The planner writes the plans of the present table.
    PlanNow,
    /// The fabric learns that a balancer is gone.
    FabricForgets(usize),
    /// A paused balancer goes on.
    Resumes(usize),
}

/// What a run needs besides its schedule.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Called once each second of passed-in time with the seconds done.
    pub progress: Option<fn(u64)>,
    /// A flow whose decisions are printed, by its number.
    pub trace: Option<usize>,
}

/// Open flows of a service by target.
#[derive(Default)]
pub(crate) struct Spread {
    /// Open flows of each target.
    pub open: HashMap<TargetId, i64>,
}

/// Everything of a run.
pub(crate) struct World {
    pub schedule: Schedule,
    pub now: Duration,
    pub queue: Queue<Happening>,
    pub rng: ChaCha8Rng,
    pub balancers: Vec<Balancer>,
    pub platform: Platform,
    pub edits: Vec<OpenEdit>,
    /// When a target's stop was accepted.
    pub stopped: HashMap<TargetId, Duration>,
    pub meter: Meter,
    pub flows: Vec<Flow>,
    /// Address of each service.
    pub addresses: Vec<SocketAddr>,
    pub spread: Vec<Spread>,
    pub key: Key,
    pub options: RunOptions,
    /// Versions last seen on each balancer, to notice one that falls.
    pub last_versions: Vec<BTreeMap<ServiceId, PlanVersion>>,
}

/// An edit that may not be in force yet.
pub(crate) struct OpenEdit {
    pub report: EditInForce,
    pub at: Duration,
    pub table: Arc<Table>,
    /// Plans made from the edit; empty until the planner has written them.
    pub plans: Vec<(ServiceId, PlanVersion)>,
    pub planned: bool,
}

/// Runs a schedule.
pub fn run(schedule: &Schedule, options: RunOptions) -> Result<Report> {
    let mut world = World::new(schedule, options)?;
    world.start();
    let end = Duration::from_secs(schedule.duration_s);
    let mut second = 0;
    while let Some((at, happening)) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.happen(happening)?;
        if at.as_secs() > second {
            second = at.as_secs();
            if let Some(progress) = options.progress {
                progress(second);
            }
        }
    }
    Ok(world.report())
}

impl World {
    fn new(schedule: &Schedule, options: RunOptions) -> Result<Self> {
        let seed = options.seed;
        let platform = Platform::new(schedule, seed)?;
        let addresses = schedule
            .services
            .iter()
            .filter_map(|s| platform.table.service_by_name(&s.name))
            .map(|s| s.address)
            .collect();
        let spread = schedule
            .services
            .iter()
            .map(|_| Spread::default())
            .collect();
        Ok(Self {
            schedule: schedule.clone(),
            now: Duration::ZERO,
            queue: Queue::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            balancers: Vec::new(),
            platform,
            edits: Vec::new(),
            stopped: HashMap::new(),
            meter: Meter::new(),
            flows: Vec::new(),
            addresses,
            spread,
            key: Key::new(&[7; 32]).expect("32 bytes are long enough for a key"),
            options,
            last_versions: Vec::new(),
        })
    }

    /// Starts the balancers and enters all that is known beforehand.
    fn start(&mut self) {
        for _ in 0..self.schedule.balancers {
            self.add_balancer();
        }
        for balancer in &mut self.balancers {
            balancer.membership.set_ready(true);
        }
        self.start_flows();
        self.queue.push(Duration::from_secs(1), Happening::Second);
        for (index, event) in self.schedule.events.iter().enumerate() {
            let at = Duration::from_secs_f64(event.at_s);
            self.queue.push(at, Happening::Scheduled(index));
        }
    }

    /// Adds a balancer that has the platform's news.
    pub fn add_balancer(&mut self) -> usize {
        let index = self.balancers.len();
        let mut balancer = Balancer::new(index, self.schedule.failure_domains, self.options.seed);
        let seeds = (0..self.schedule.balancers).map(control_address).collect();
        balancer.membership.set_seeds(seeds);
        self.balancers.push(balancer);
        self.last_versions.push(BTreeMap::new());
        self.news(index, Event::Table(self.platform.table.clone()));
        let services = self.platform.table.services.iter();
        let plans: Vec<_> = services
            .filter_map(|s| self.platform.plans.get(&s.id).cloned())
            .collect();
        for plan in plans {
            self.news(index, Event::Plan(plan));
        }
        let tick = self.random_below(TICK);
        let probe = self.random_below(PROBE_TICK);
        self.queue.push(self.now + tick, Happening::Tick(index));
        self.queue.push(self.now + probe, Happening::Probe(index));
        index
    }

    fn start_flows(&mut self) {
        let warm_up = Duration::from_secs(self.schedule.warm_up_s).mul_f64(0.6);
        for index in 0..self.schedule.services.len() {
            let service = self.schedule.services[index].clone();
            for number in 0..service.long_flows + service.idle_flows {
                let kind = if number < service.idle_flows {
                    Kind::Idle
                } else {
                    Kind::Long
                };
                let at = self.random_below(warm_up);
                let flow = self.add_flow(index, kind);
                self.queue.push(at, Happening::Send { flow, tries: 0 });
            }
            if service.new_per_s > 0 {
                self.queue.push(Duration::ZERO, Happening::Opens(index));
            }
        }
    }

    pub fn add_flow(&mut self, service: usize, kind: Kind) -> usize {
        self.flows.push(Flow {
            kind,
            service: service as u16,
            caller: self.flows.len() as u32,
            delivered: 0,
            target: None,
            ended: false,
        });
        self.flows.len() - 1
    }

    fn happen(&mut self, happening: Happening) -> Result<()> {
        match happening {
            Happening::Opens(service) => self.opens(service),
            Happening::Send { flow, tries } => self.send(flow, tries),
            Happening::Relayed {
                to,
                from,
                header,
                flow,
                packet,
                tries,
            } => {
                let via = Via::Peer { from, header };
                self.decide(to, flow, packet, via, tries);
            }
            Happening::Message { to, from, message } => {
                if self.balancers[to].is_up() {
                    let event = Event::Message { from, message };
                    let actions = self.balancers[to].core.handle(self.now, event);
                    self.act(to, actions);
                }
            }
            Happening::Membership { to, from, message } => self.hear(to, from, &message),
            Happening::Target { to, from, message } => {
                let shares = message.shares;
                self.news(to, Event::Shares { from, shares });
            }
            Happening::Snapshot { to, messages } => self.import(to, messages),
            Happening::Table { to, table } => self.news(to, Event::Table(table)),
            Happening::Plan { to, plan } => self.news(to, Event::Plan(plan)),
            Happening::Tick(index) => self.tick(index),
            Happening::Probe(index) => self.probe(index),
            Happening::Second => self.second(),
            Happening::Scheduled(index) => self.scheduled(index)?,
            Happening::PlanNow => self.plan_now(),
            // A balancer that has left ends once the fabric sends nothing more.
            Happening::FabricForgets(index) => {
                self.balancers[index].in_fabric = false;
                self.balancers[index].life = Life::Gone;
            }
            Happening::Resumes(index) => self.balancers[index].life = Life::Up,
        }
        Ok(())
    }

    fn news(&mut self, to: usize, event: Event) {
        match self.balancers[to].life {
            Life::Up => {
                let actions = self.balancers[to].core.handle(self.now, event);
                self.act(to, actions);
            }
            // A watch goes on where it was after a pause.
            Life::Paused(until) => {
                let happening = match event {
                    Event::Table(table) => Happening::Table { to, table },
                    Event::Plan(plan) => Happening::Plan { to, plan },
                    _ => return,
                };
                self.queue.push(until, happening);
            }
            Life::Gone => {}
        }
    }

    fn tick(&mut self, index: usize) {
        if self.balancers[index].life == Life::Gone {
            return;
        }
        if self.balancers[index].is_up() {
            let actions = self.balancers[index].core.tick(self.now);
            self.act(index, actions);
            self.go_on_leaving(index);
        }
        self.queue.push(self.now + TICK, Happening::Tick(index));
    }

    pub fn versions_of(&self, index: usize) -> Vec<(ServiceId, PlanVersion)> {
        let services = self.platform.table.services.iter();
        let core = &self.balancers[index].core;
        services
            .filter_map(|s| Some((s.id, core.plan_version(s.id)?)))
            .collect()
    }
}
