//! Clients and targets with few slots and short queues, simulated event by event.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use sequoiatrail_cookie::{
    Config, Cookie, Decision, OverloadChange, OverloadConfig, ResetReason, Segment, TargetId,
};

use super::{Sim, ack, data, forwarded, syn};

pub const TARGETS: u64 = 4;
const SLOTS: usize = 2;
/// Queue length of a target; further requests fail immediately.
const QUEUE_LEN: usize = 8;
pub const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Time within which clients expect a response, from their first attempt on.
const LATENCY_GOAL: Duration = Duration::from_millis(150);
/// One-way network delay between client and balancer, and between target and client.
pub const ONE_WAY_DELAY: Duration = Duration::from_millis(3);
/// Time from a response to the client's next request on the same flow.
const THINK_TIME: Duration = Duration::from_millis(100);
/// Requests of a flow unless a test says otherwise.
const REQUESTS_PER_FLOW: u32 = 3;
/// Interval of reports of load.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_ATTEMPTS: u32 = 3;
/// Time from a refusal to the next attempt unless a test says otherwise.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Requests per second that a target can process.
const TARGET_RPS: f64 = SLOTS as f64 / 0.030;
/// Number of client addresses; each opens a flow now and then.
const USERS: u16 = 1_000;

/// State of a client's flow.
#[derive(Clone, Copy)]
struct Session {
    client: u16,
    /// Address of the client; the same for all attempts.
    user: u16,
    port: u16,
    cookie: Cookie,
    /// Requests completed on this flow.
    completed: u32,
    attempt: u32,
    /// When the current request was first attempted.
    requested_at: Duration,
}

#[derive(Clone, Copy)]
enum Event {
    Open,
    Request(TargetId),
    Finish(TargetId),
    Response(TargetId),
}

#[derive(Default)]
struct Server {
    active: usize,
    queue: VecDeque<Session>,
}

/// Outcomes of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub in_time: u32,
    pub late: u32,
    pub given_up: u32,
}

/// Decision on the first SYN of a flow.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub at: Duration,
    pub balancer: usize,
    pub user: u16,
    pub port: u16,
    pub admitted: bool,
}

/// Clients and targets, with balancers that each see their share of the flows.
pub struct Replay {
    pub sims: Vec<Sim>,
    pub now: Duration,
    events: BTreeMap<(Duration, u64), (Session, Event)>,
    servers: BTreeMap<TargetId, Server>,
    /// Factor on the service time of slow targets.
    pub slow: BTreeMap<TargetId, u32>,
    pub counts: BTreeMap<u16, Counts>,
    pub attempts: Vec<Attempt>,
    /// Requests that targets rejected.
    pub rejected: u32,
    /// Whether the balancers tell each other their load.
    pub exchanges_load: bool,
    /// Whether the balancers know that there are none in other failure domains.
    pub knows_fleet: bool,
    pub requests_per_flow: u32,
    /// Time from a refusal to the client's next attempt.
    pub retry_delay: Duration,
    exchanged_at: Duration,
    targets: u64,
    next_client: u16,
    sequence: u64,
}

impl Replay {
    pub fn new(balancers: usize, overload: OverloadConfig) -> Replay {
        Replay::of_sims(
            TARGETS,
            overload,
            (0..balancers).map(|_| Sim::new(TARGETS, 0)),
        )
    }

    /// Balancers with seeds of their own.
    pub fn with_targets(balancers: usize, targets: u64, overload: OverloadConfig) -> Replay {
        let sims = (0..balancers as u64).map(|seed| Sim::with_seed(targets, 0, seed));
        Replay::of_sims(targets, overload, sims)
    }

    fn of_sims(targets: u64, overload: OverloadConfig, sims: impl Iterator<Item = Sim>) -> Replay {
        let sims = sims.map(|mut sim| {
            sim.balancer.configure(Config {
                domain: "a".into(),
                overload,
                ..Config::default()
            });
            sim
        });
        let sims: Vec<Sim> = sims.collect();
        Replay {
            now: sims[0].now,
            sims,
            events: BTreeMap::new(),
            servers: BTreeMap::new(),
            slow: BTreeMap::new(),
            counts: BTreeMap::new(),
            attempts: Vec::new(),
            rejected: 0,
            exchanges_load: false,
            knows_fleet: false,
            requests_per_flow: REQUESTS_PER_FLOW,
            retry_delay: RETRY_DELAY,
            exchanged_at: Duration::ZERO,
            targets,
            next_client: 1,
            sequence: 0,
        }
    }

    /// Decides on a packet at the balancer that its flow's packets go to.
    fn decide(&mut self, user: u16, mut seg: Segment) -> Decision {
        let port = seg.flow.client.port();
        let [high, low] = user.to_be_bytes();
        seg.flow.client = SocketAddrV4::new(Ipv4Addr::new(100, 65, high, low), port);
        let balancer = usize::from(port) % self.sims.len();
        let sim = &mut self.sims[balancer];
        sim.now = self.now;
        let decision = sim.decide(seg);
        if seg.flags.syn {
            self.attempts.push(Attempt {
                at: self.now,
                balancer,
                user,
                port: seg.flow.route.port(),
                admitted: decision != Decision::Reset(ResetReason::Overloaded),
            });
        }
        decision
    }

    /// Lets the balancers tell each other their load several times a second.
    fn exchange_load(&mut self) {
        if !self.exchanges_load || self.now < self.exchanged_at + EXCHANGE_INTERVAL {
            return;
        }
        self.exchanged_at = self.now;
        let address = |n: usize| SocketAddr::from(([10, 1, 0, n as u8], 7_000));
        let count = self.sims.len();
        let now = self.now;
        for n in 0..count {
            let others = (0..count).filter(|other| *other != n).map(address);
            let others = others.collect();
            let balancer = &mut self.sims[n].balancer;
            balancer.refresh_domain_load(now, address(n), others);
            if self.knows_fleet {
                balancer.refresh_remote_load(now, address(n), Vec::new());
            }
            let Some(report) = balancer.load_report(now) else {
                continue;
            };
            for other in (0..count).filter(|other| *other != n) {
                let other = &mut self.sims[other].balancer;
                other.record_load_report(now, address(n), report.clone());
            }
        }
    }

    /// Requests per second that all targets together can process.
    pub fn capacity(&self) -> f64 {
        self.targets as f64 * TARGET_RPS
    }

    /// Lets all balancers report their state.
    pub fn sweep(&mut self) -> Vec<OverloadChange> {
        let now = self.now;
        let sweep = |sim: &mut Sim| {
            sim.now = now;
            sim.balancer.sweep(now);
            sim.effects().overloads
        };
        self.sims.iter_mut().flat_map(sweep).collect()
    }

    fn schedule(&mut self, time: Duration, session: Session, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), (session, event));
    }

    /// Runs evenly spaced clients that generate `load_factor` times the capacity.
    pub fn run_load(&mut self, load_factor: f64, time: Duration, ports: &[u16]) {
        let begin = self.now;
        let flows = self.capacity() * load_factor / f64::from(self.requests_per_flow);
        let count = (flows * time.as_secs_f64()) as u32;
        for n in 0..count {
            let at = begin + time * n / count;
            let port = ports[n as usize % ports.len()];
            let session = self.session(port, at);
            self.schedule(at, session, Event::Open);
        }
        while let Some(((now, _), (session, event))) = self.events.pop_first() {
            self.now = now;
            self.exchange_load();
            self.step(session, event);
            if now > begin + time {
                break;
            }
        }
    }

    fn session(&mut self, port: u16, requested_at: Duration) -> Session {
        self.next_client = self.next_client.wrapping_add(1);
        Session {
            client: self.next_client,
            user: self.next_client % USERS,
            port,
            cookie: Cookie(0),
            completed: 0,
            attempt: 1,
            requested_at,
        }
    }

    fn step(&mut self, session: Session, event: Event) {
        match event {
            Event::Open => self.open(session),
            Event::Request(target) => self.request(session, target),
            Event::Finish(target) => self.finish(session, target),
            Event::Response(target) => self.response(session, target),
        }
    }

    fn open(&mut self, mut session: Session) {
        let now = self.now;
        let decision = self.decide(session.user, syn(session.client, session.port, 0));
        if decision == Decision::Reset(ResetReason::Overloaded) {
            return self.retry(session);
        }
        let (target, cookie) = forwarded(decision);
        session.cookie = cookie.unwrap();
        self.schedule(now + 3 * ONE_WAY_DELAY, session, Event::Request(target));
    }

    fn request(&mut self, session: Session, target: TargetId) {
        let seg = data(
            session.client,
            session.port,
            session.cookie,
            session.completed + 1,
            session.completed + 1,
        );
        forwarded(self.decide(session.user, seg));
        let now = self.now;
        let service_time = self.service_time(target);
        let server = self.servers.entry(target).or_default();
        if server.active < SLOTS {
            server.active += 1;
            return self.schedule(now + service_time, session, Event::Finish(target));
        }
        if server.queue.len() < QUEUE_LEN {
            return server.queue.push_back(session);
        }
        self.rejected += 1;
        let seg = ack(
            session.client,
            session.port,
            session.cookie,
            session.completed + 2,
        );
        self.decide(session.user, seg);
        self.retry(session);
    }

    fn finish(&mut self, session: Session, target: TargetId) {
        let now = self.now;
        self.schedule(now + 2 * ONE_WAY_DELAY, session, Event::Response(target));
        let service_time = self.service_time(target);
        let server = self.servers.get_mut(&target).unwrap();
        match server.queue.pop_front() {
            Some(next) => self.schedule(now + service_time, next, Event::Finish(target)),
            None => server.active -= 1,
        }
    }

    fn service_time(&self, target: TargetId) -> Duration {
        SERVICE_TIME * self.slow.get(&target).copied().unwrap_or(1)
    }

    fn response(&mut self, mut session: Session, target: TargetId) {
        session.completed += 1;
        let seg = ack(
            session.client,
            session.port,
            session.cookie,
            session.completed + 1,
        );
        forwarded(self.decide(session.user, seg));
        let now = self.now;
        let counts = self.counts.entry(session.port).or_default();
        match now - session.requested_at < LATENCY_GOAL {
            true => counts.in_time += 1,
            false => counts.late += 1,
        }
        if session.completed < self.requests_per_flow {
            session.requested_at = now + THINK_TIME;
            session.attempt = 1;
            self.schedule(now + THINK_TIME, session, Event::Request(target));
        }
    }

    /// Retries on a new flow, or gives up after the last attempt.
    fn retry(&mut self, session: Session) {
        if session.attempt == MAX_ATTEMPTS {
            self.counts.entry(session.port).or_default().given_up += 1;
            return;
        }
        let again = Session {
            attempt: session.attempt + 1,
            completed: 0,
            user: session.user,
            ..self.session(session.port, session.requested_at)
        };
        let now = self.now;
        self.schedule(now + self.retry_delay, again, Event::Open);
    }

    pub fn take_counts(&mut self) -> Counts {
        let all = std::mem::take(&mut self.counts);
        let add = |sum: Counts, c: Counts| Counts {
            in_time: sum.in_time + c.in_time,
            late: sum.late + c.late,
            given_up: sum.given_up + c.given_up,
        };
        all.into_values().fold(Counts::default(), add)
    }
}
