//! Load shedding under overload, simulated with targets that have few slots and short
//! queues.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use common::{IDEMPOTENT, NON_IDEMPOTENT, Sim, ack, data, forwarded, manifest, ms, route, syn};
use sequoiatrail_cookie::{Config, Cookie, Decision, OverloadConfig, ResetReason, TargetId};

const TARGETS: u64 = 4;
const SLOTS: usize = 2;
/// Queue length of a target; further requests fail immediately.
const QUEUE_LEN: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Time within which clients expect a response, from their first attempt on.
const LATENCY_GOAL: Duration = Duration::from_millis(150);
/// One-way network delay between client and balancer, and between target and client.
const ONE_WAY_DELAY: Duration = Duration::from_millis(3);
/// Time from a response to the client's next request on the same flow.
const THINK_TIME: Duration = Duration::from_millis(100);
const REQUESTS_PER_FLOW: u32 = 3;
const MAX_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Requests per second that all targets together can process.
const CAPACITY_RPS: f64 = (TARGETS as usize * SLOTS) as f64 / 0.030;

/// State of a client's flow.
#[derive(Clone, Copy)]
struct Session {
    client: u16,
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

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    in_time: u32,
    late: u32,
    given_up: u32,
}

struct Replay {
    sim: Sim,
    events: BTreeMap<(Duration, u64), (Session, Event)>,
    servers: BTreeMap<TargetId, Server>,
    counts: BTreeMap<u16, Counts>,
    next_client: u16,
    sequence: u64,
}

impl Replay {
    fn new(overload: OverloadConfig) -> Replay {
        let mut sim = Sim::new(TARGETS, 0);
        sim.balancer.configure(Config {
            domain: "a".into(),
            overload,
            ..Config::default()
        });
        Replay {
            sim,
            events: BTreeMap::new(),
            servers: BTreeMap::new(),
            counts: BTreeMap::new(),
            next_client: 1,
            sequence: 0,
        }
    }

    fn schedule(&mut self, time: Duration, session: Session, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), (session, event));
    }

    /// Runs evenly spaced clients that generate `load_factor` times the capacity.
    fn run_load(&mut self, load_factor: f64, time: Duration, ports: &[u16]) {
        let begin = self.sim.now;
        let flows = CAPACITY_RPS * load_factor / f64::from(REQUESTS_PER_FLOW);
        let count = (flows * time.as_secs_f64()) as u32;
        for n in 0..count {
            let at = begin + time * n / count;
            let port = ports[n as usize % ports.len()];
            let session = self.session(port, at);
            self.schedule(at, session, Event::Open);
        }
        while let Some(((now, _), (session, event))) = self.events.pop_first() {
            self.sim.now = now;
            self.step(session, event);
            if now > begin + time {
                break;
            }
        }
    }

    fn session(&mut self, port: u16, requested_at: Duration) -> Session {
        self.next_client += 1;
        Session {
            client: self.next_client,
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
        let now = self.sim.now;
        let decision = self.sim.decide(syn(session.client, session.port, 0));
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
        forwarded(self.sim.decide(seg));
        let now = self.sim.now;
        let server = self.servers.entry(target).or_default();
        if server.active < SLOTS {
            server.active += 1;
            return self.schedule(now + SERVICE_TIME, session, Event::Finish(target));
        }
        if server.queue.len() < QUEUE_LEN {
            return server.queue.push_back(session);
        }
        self.sim.decide(ack(
            session.client,
            session.port,
            session.cookie,
            session.completed + 2,
        ));
        self.retry(session);
    }

    fn finish(&mut self, session: Session, target: TargetId) {
        let now = self.sim.now;
        self.schedule(now + 2 * ONE_WAY_DELAY, session, Event::Response(target));
        let server = self.servers.get_mut(&target).unwrap();
        match server.queue.pop_front() {
            Some(next) => self.schedule(now + SERVICE_TIME, next, Event::Finish(target)),
            None => server.active -= 1,
        }
    }

    fn response(&mut self, mut session: Session, target: TargetId) {
        session.completed += 1;
        let seg = ack(
            session.client,
            session.port,
            session.cookie,
            session.completed + 1,
        );
        forwarded(self.sim.decide(seg));
        let now = self.sim.now;
        let counts = self.counts.entry(session.port).or_default();
        match now - session.requested_at < LATENCY_GOAL {
            true => counts.in_time += 1,
            false => counts.late += 1,
        }
        if session.completed < REQUESTS_PER_FLOW {
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
            ..self.session(session.port, session.requested_at)
        };
        let now = self.sim.now;
        self.schedule(now + RETRY_DELAY, again, Event::Open);
    }

    fn take_counts(&mut self) -> Counts {
        let all = std::mem::take(&mut self.counts);
        let add = |sum: Counts, c: Counts| Counts {
            in_time: sum.in_time + c.in_time,
            late: sum.late + c.late,
            given_up: sum.given_up + c.given_up,
        };
        all.into_values().fold(Counts::default(), add)
    }
}

const NEVER_REFUSE: OverloadConfig = OverloadConfig {
    goal_fraction: 0.75,
    tolerated_slow: 0.2,
    gain: 0.8,
    max_refused_share: 0.0,
    interval: Duration::from_millis(100),
    min_responses: 8,
};

/// Results of a burst that follows a period of normal load.
fn burst(overload: OverloadConfig, load_factor: f64) -> Counts {
    let mut replay = Replay::new(overload);
    replay.run_load(0.45, ms(3_000), &[IDEMPOTENT]);
    replay.take_counts();
    replay.run_load(load_factor, ms(4_000), &[IDEMPOTENT]);
    replay.take_counts()
}

#[test]
fn refusing_flows_raises_goodput_above_capacity() {
    for load_factor in [1.15, 1.4] {
        let (without, with) = (
            burst(NEVER_REFUSE, load_factor),
            burst(OverloadConfig::default(), load_factor),
        );
        let results = format!("{load_factor}: {without:?} {with:?}");
        assert!(with.in_time * 4 > without.in_time * 5, "{results}");
        assert!(with.late * 4 < without.late, "{results}");
    }
}

#[test]
fn nothing_is_refused_below_capacity() {
    for load_factor in [0.45, 0.8] {
        let counts = burst(OverloadConfig::default(), load_factor);
        assert_eq!(counts.given_up, 0, "{load_factor}: {counts:?}");
        assert!(
            counts.late * 20 < counts.in_time,
            "{load_factor}: {counts:?}"
        );
    }
}

#[test]
fn refusals_end_soon_after_the_burst() {
    let mut replay = Replay::new(OverloadConfig::default());
    replay.run_load(0.45, ms(3_000), &[IDEMPOTENT]);
    replay.run_load(1.4, ms(3_000), &[IDEMPOTENT]);
    replay.sim.balancer.sweep(replay.sim.now);
    let begun = &replay.sim.effects().overloads[0];
    assert_eq!(&*begun.service, "app");
    assert!(begun.refused_percent >= 10);
    replay.run_load(0.45, ms(1_500), &[IDEMPOTENT]);
    replay.sim.balancer.sweep(replay.sim.now);
    assert_eq!(replay.sim.effects().overloads[0].refused_percent, 0);
    replay.take_counts();
    replay.run_load(0.45, ms(2_000), &[IDEMPOTENT]);
    assert_eq!(replay.take_counts().given_up, 0);
}

#[test]
fn the_more_urgent_route_is_refused_last() {
    let mut replay = Replay::new(OverloadConfig::default());
    let mut urgent = route(NON_IDEMPOTENT, &[("app", 1)]);
    urgent.priority = 0;
    let routes = vec![route(IDEMPOTENT, &[("app", 1)]), urgent];
    replay.sim.balancer.apply_manifest(manifest(2, routes));
    replay.run_load(0.45, ms(3_000), &[IDEMPOTENT, NON_IDEMPOTENT]);
    replay.counts.clear();
    replay.run_load(1.3, ms(4_000), &[IDEMPOTENT, NON_IDEMPOTENT]);
    let (urgent, other) = (replay.counts[&NON_IDEMPOTENT], replay.counts[&IDEMPOTENT]);
    assert!(urgent.given_up * 2 < other.given_up, "{urgent:?} {other:?}");
}

#[test]
fn a_route_with_a_goal_close_to_its_service_time_is_not_refused() {
    let mut replay = Replay::new(OverloadConfig::default());
    let mut tight = route(IDEMPOTENT, &[("app", 1)]);
    tight.latency_goal = Some(SERVICE_TIME + 2 * ONE_WAY_DELAY);
    replay.sim.balancer.apply_manifest(manifest(2, vec![tight]));
    replay.run_load(0.45, ms(4_000), &[IDEMPOTENT]);
    assert_eq!(replay.take_counts().given_up, 0);
}

#[test]
fn retransmitted_requests_and_responses_after_a_pause_are_not_sampled() {
    let mut sim = Sim::new(1, 0);
    let slow = |sim: &mut Sim, first: u16, retransmits: bool| {
        let clients = first..first + 20;
        for client in clients.clone() {
            let cookie = sim.open(client, IDEMPOTENT).cookie();
            sim.decide(data(client, IDEMPOTENT, cookie, 5, 9));
        }
        sim.advance(ms(200));
        for client in clients {
            let cookie = TargetId(1).cookie();
            if retransmits {
                sim.decide(data(client, IDEMPOTENT, cookie, 5, 9));
            }
            sim.decide(ack(client, IDEMPOTENT, cookie, 10));
        }
    };
    let fast = |sim: &mut Sim| {
        for client in 1_000..1_040 {
            let target = sim.open(client, IDEMPOTENT);
            sim.complete_request(client, IDEMPOTENT, target, 5);
        }
    };
    fast(&mut sim);
    for round in 0..4 {
        slow(&mut sim, 1 + 20 * round, true);
    }
    assert_eq!(sim.balancer.refused_share(sim.now, "app"), 0.0);
    for round in 0..2 {
        slow(&mut sim, 200 + 20 * round, false);
    }
    assert!(sim.balancer.refused_share(sim.now, "app") > 0.0);
    sim.balancer.handle_pause(sim.now);
    assert_eq!(sim.balancer.refused_share(sim.now, "app"), 0.0);
}

#[test]
fn no_retransmitted_syn_is_refused() {
    let mut replay = Replay::new(OverloadConfig::default());
    replay.run_load(0.45, ms(3_000), &[IDEMPOTENT]);
    replay.run_load(1.4, ms(3_000), &[IDEMPOTENT]);
    let mut sim = replay.sim;
    let mut refused = 0;
    for client in 30_000..30_100 {
        let first = sim.decide(syn(client, IDEMPOTENT, 0));
        if first == Decision::Reset(ResetReason::Overloaded) {
            refused += 1;
            continue;
        }
        forwarded(sim.decide(syn(client, IDEMPOTENT, 0)));
        forwarded(sim.decide(syn(client, IDEMPOTENT, 1)));
    }
    assert!(refused > 0);
    // The first SYN was lost, or went through another balancer.
    for client in 31_000..31_100 {
        forwarded(sim.decide(syn(client, IDEMPOTENT, 1)));
    }
}

#[test]
#[ignore = "known red: four slow answers of ten have some new flows refused"]
fn a_few_slow_answers_in_one_interval_refuse_nothing() {
    let mut sim = Sim::new(1, 0);
    let mut client = 1;
    let mut interval = |sim: &mut Sim, slow: u16| {
        let opened: Vec<u16> = (0..10).map(|n| client + n).collect();
        client += 10;
        for client in &opened {
            let cookie = sim.open(*client, IDEMPOTENT).cookie();
            sim.decide(data(*client, IDEMPOTENT, cookie, 5, 9));
        }
        sim.advance(ms(30));
        for (n, client) in opened.iter().enumerate() {
            if n == opened.len() - usize::from(slow) {
                sim.advance(ms(110));
            }
            let cookie = TargetId(1).cookie();
            sim.decide(ack(*client, IDEMPOTENT, cookie, 10));
        }
        sim.advance(ms(30));
    };
    for _ in 0..10 {
        interval(&mut sim, 0);
    }
    interval(&mut sim, 4);
    let refused = (0..200).filter(|n| {
        let first = sim.decide(syn(40_000 + n, IDEMPOTENT, 0));
        first == Decision::Reset(ResetReason::Overloaded)
    });
    assert_eq!(refused.count(), 0);
}
