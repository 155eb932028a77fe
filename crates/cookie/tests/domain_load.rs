//! Load of the failure domain as its balancers tell it each other, against the truth.
//!
//! Each test replays steady load on all balancers of one failure domain; reports are
//! delivered in the order and at the pace of [`LoadRotation`].

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{IDEMPOTENT, Sim, data, ms};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_cookie::{
    LoadMessage, LoadReport, LoadRotation, LoadRotationConfig, NeighborLoad, TargetId,
};

/// Balancers per failure domain, of three, in fleets of 6, 23, 77 and 195.
const DOMAINS: [usize; 4] = [2, 8, 26, 65];
/// Balancers that all know; of the others they learn from each other.
const SEEDS: usize = 3;
const TARGETS: u64 = 20;
const STEP: Duration = Duration::from_millis(100);
/// Bytes of a datagram in front of the message: kind, version and tag.
const HEAD_BYTES: usize = 18;

fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7_000).into()
}

/// A balancer with flows that have a request in flight at all times.
struct Member {
    sim: Sim,
    rotation: LoadRotation,
    flows: Vec<(u16, TargetId)>,
    bytes_sent: usize,
    alive: bool,
}

impl Member {
    fn start(number: usize, targets: u64, seed: u64, flows: u16, now: Duration) -> Member {
        let mut sim = Sim::with_seed(targets, 0, seed);
        sim.now = now;
        let first = 1 + 1_000 * number as u16;
        let flows = (first..first + flows).map(|client| (client, sim.open(client, IDEMPOTENT)));
        let flows = flows.collect();
        let cfg = LoadRotationConfig::default();
        Member {
            sim,
            rotation: LoadRotation::new(cfg, address(number), now),
            flows,
            bytes_sent: 0,
            alive: true,
        }
    }

    /// Answers the last request of each flow and sends the next one.
    fn send_requests(&mut self, step: u32) {
        for (client, target) in &self.flows {
            let request = data(*client, IDEMPOTENT, target.cookie(), step, step);
            self.sim.decide(request);
        }
    }

    fn flows_at(&self, target: TargetId) -> f64 {
        self.flows.iter().filter(|(_, t)| *t == target).count() as f64
    }

    fn believes(&self, target: TargetId) -> Option<NeighborLoad> {
        let load = self.sim.balancer.domain_load();
        load.target(self.sim.now, target)
    }
}

struct Domain {
    members: Vec<Member>,
    now: Duration,
    step: u32,
    /// Fraction of reports lost.
    loss: f64,
    rng: ChaCha8Rng,
}

impl Domain {
    /// A failure domain whose balancers have this many flows each.
    fn new(flows: &[u16]) -> Domain {
        Domain::with_targets(TARGETS, flows)
    }

    fn with_targets(targets: u64, flows: &[u16]) -> Domain {
        let now = ms(100_000);
        let members = flows.iter().enumerate();
        let members = members.map(|(n, flows)| Member::start(n, targets, n as u64, *flows, now));
        Domain {
            members: members.collect(),
            now: now + ms(1_000),
            step: 100,
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    /// Balancers with one to five flows.
    fn of_size(balancers: usize) -> Domain {
        let flows: Vec<u16> = (0..balancers).map(|n| 1 + n as u16 % 5).collect();
        Domain::new(&flows)
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step += 1;
            for number in 0..self.members.len() {
                self.members[number].sim.now = self.now;
                if self.members[number].alive {
                    self.members[number].send_requests(self.step);
                    self.tell_load(number);
                }
            }
        }
    }

    fn tell_load(&mut self, number: usize) {
        let known = (0..SEEDS.min(self.members.len())).filter(|n| *n != number);
        let known = known.map(address).collect();
        let member = &mut self.members[number];
        let own = address(number);
        let balancer = &mut member.sim.balancer;
        let peers = balancer.refresh_domain_load(self.now, own, known);
        if !member.rotation.is_due(self.now) {
            return;
        }
        let mut report = balancer.load_report(self.now).unwrap();
        report.turn = member.rotation.turn(peers.len());
        let message = LoadMessage {
            from: own,
            domain: "a".into(),
            report,
        };
        let encoded = message.encode(member.rotation.report_bytes(peers.len()) - HEAD_BYTES);
        let bytes = HEAD_BYTES + encoded.len();
        let peers = member.rotation.next_peers(&peers, bytes);
        let cfg = LoadRotationConfig::default();
        member.bytes_sent += peers.len() * (bytes + cfg.header_bytes);
        for peer in peers {
            if !self.rng.random_bool(self.loss) {
                self.deliver(own, peer, &encoded);
            }
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, message: &[u8]) {
        let to = (0..self.members.len()).find(|n| address(*n) == to).unwrap();
        let report = LoadMessage::decode(message).unwrap().report;
        if self.members[to].alive {
            let balancer = &mut self.members[to].sim.balancer;
            balancer.record_load_report(self.now, from, report);
        }
    }

    /// Flows that the other balancers have at a target. Each has a request in flight.
    fn truth(&self, number: usize, target: TargetId) -> f64 {
        let others = self.members.iter().enumerate();
        let others = others.filter(|(n, m)| *n != number && m.alive);
        others.map(|(_, m)| m.flows_at(target)).sum()
    }

    /// Sum of a balancer's errors over all targets in proportion to the sum of the true
    /// loads; the worst of all balancers.
    fn worst_error(&self) -> f64 {
        let alive = (0..self.members.len()).filter(|n| self.members[*n].alive);
        alive.map(|n| self.error(n)).fold(0.0, f64::max)
    }

    fn error(&self, number: usize) -> f64 {
        let (mut error, mut sum) = (0.0, 0.0);
        for target in (1..=TARGETS).map(TargetId) {
            let truth = self.truth(number, target);
            let believed = self.members[number].believes(target);
            let believed = believed.unwrap_or_else(|| panic!("{number} knows nothing"));
            assert_eq!(believed.flows, believed.in_flight);
            error += (believed.flows - truth).abs();
            sum += truth;
        }
        error / sum
    }
}

#[test]
fn all_balancers_know_the_load_of_each_target_in_domains_of_any_size() {
    for size in DOMAINS {
        let mut domain = Domain::of_size(size);
        domain.run(ms(5_000));
        let error = domain.worst_error();
        assert!(error < 0.1, "{size}: {error}");
    }
}

#[test]
fn the_bytes_per_balancer_stay_under_one_percent_of_the_smallest_link() {
    for size in DOMAINS {
        let mut domain = Domain::of_size(size);
        domain.run(ms(10_000));
        let sent = domain.members.iter().map(|m| m.bytes_sent).max().unwrap();
        assert!(sent <= 10 * 12_500, "{size}: {sent}");
    }
}

#[test]
fn lost_reports_cost_little_accuracy() {
    for size in DOMAINS {
        let mut domain = Domain::of_size(size);
        domain.loss = 0.2;
        domain.run(ms(5_000));
        let error = domain.worst_error();
        assert!(error < 0.35, "{size}: {error}");
    }
}

#[test]
fn balancers_that_a_turn_has_not_reached_do_not_look_idle() {
    let mut domain = Domain::new(&[3; 65]);
    domain.run(ms(5_000));
    domain.loss = 0.4;
    domain.run(ms(2_000));
    let sum = |number: usize| -> (f64, f64) {
        let targets = (1..=TARGETS).map(TargetId);
        let loads = targets.map(|t| {
            let believed = domain.members[number].believes(t).unwrap();
            (believed.flows, domain.truth(number, t))
        });
        loads.fold((0.0, 0.0), |sum, load| (sum.0 + load.0, sum.1 + load.1))
    };
    for number in 0..65 {
        let heard = domain.members[number].sim.balancer.domain_load().heard();
        let (believed, truth) = sum(number);
        assert!(heard < 64, "all were heard");
        assert!((believed / truth - 1.0).abs() < 0.01, "{believed} {truth}");
    }
}

#[test]
fn targets_that_do_not_fit_into_reports_are_others_for_each_balancer() {
    let mut domain = Domain::with_targets(60, &[50; 65]);
    domain.run(ms(5_000));
    for target in (1..=60).map(TargetId) {
        let believed = domain.members[0].believes(target).unwrap().flows;
        let part = believed / domain.truth(0, target);
        assert!((0.3..=1.0).contains(&part), "{target} {part}");
    }
}

#[test]
fn a_dead_balancer_counts_as_the_mean_and_then_not_at_all() {
    for size in [8, 26, 65] {
        let mut domain = Domain::of_size(size);
        domain.run(ms(5_000));
        // Not a seed, so that it is known from reports only.
        domain.members[size - 1].alive = false;
        domain.run(ms(1_500));
        let expected = |d: &Domain| d.members[0].sim.balancer.domain_load().expected();
        assert_eq!(expected(&domain), size - 1);
        // From when it has stopped, also while others still mention it.
        domain.run(ms(1_700));
        assert_eq!(expected(&domain), size - 2);
        let error = domain.worst_error();
        assert!(error < 0.1, "{size}: {error}");
    }
}

#[test]
fn a_restarted_balancer_counts_at_once_and_its_late_reports_do_not() {
    let mut domain = Domain::new(&[3, 4, 5]);
    domain.run(ms(2_000));
    let late = domain.members[1].sim.balancer.load_report(domain.now);
    domain.members[1] = Member::start(1, TARGETS, 99, 10, domain.now);
    domain.members[1].rotation =
        LoadRotation::new(LoadRotationConfig::default(), address(1), domain.now - STEP);
    domain.run(ms(200));
    assert_eq!(domain.worst_error(), 0.0);
    let balancer = &mut domain.members[0].sim.balancer;
    let counts = balancer.record_load_report(domain.now, address(1), late.unwrap());
    assert!(!counts, "of the process before");
    assert_eq!(domain.worst_error(), 0.0);
}

#[test]
fn an_older_report_is_ignored() {
    let mut domain = Domain::new(&[3, 4]);
    let (now, from) = (domain.now, address(1));
    let sender = &mut domain.members[1].sim.balancer;
    let (first, second) = (sender.load_report(now), sender.load_report(now));
    let balancer = &mut domain.members[0].sim.balancer;
    balancer.refresh_domain_load(now, address(0), vec![from]);
    assert!(balancer.record_load_report(now, from, second.unwrap()));
    assert!(!balancer.record_load_report(now, from, first.unwrap()));
}

#[test]
fn a_balancer_that_takes_no_part_keeps_no_reports() {
    let mut domain = Domain::new(&[3, 4]);
    let now = domain.now;
    let report = domain.members[1].sim.balancer.load_report(now).unwrap();
    let balancer = &mut domain.members[0].sim.balancer;
    assert!(!balancer.record_load_report(now, address(1), report));
    assert_eq!(balancer.domain_load().heard(), 0);
}

#[test]
fn two_balancers_of_very_unlike_load_know_of_each_other() {
    let mut domain = Domain::new(&[1, 60]);
    domain.run(ms(1_000));
    assert_eq!(domain.worst_error(), 0.0);
}

#[test]
fn a_balancer_with_most_of_the_load_is_known_to_all() {
    for size in [8, 26, 65] {
        let mut flows = vec![2; size];
        flows[size - 1] = 60;
        let mut domain = Domain::new(&flows);
        domain.run(ms(5_000));
        let error = domain.worst_error();
        assert!(error < 0.1, "{size}: {error}");
    }
}

#[test]
fn nothing_is_known_while_less_than_half_of_the_known_balancers_are_heard() {
    let mut domain = Domain::new(&[1, 2, 3, 4]);
    let (now, own) = (domain.now, address(0));
    let reports: Vec<LoadReport> = (1..4)
        .map(|n| domain.members[n].sim.balancer.load_report(now).unwrap())
        .collect();
    let known: Vec<SocketAddr> = (1..4).map(address).collect();
    let balancer = &mut domain.members[0].sim.balancer;
    balancer.refresh_domain_load(now, own, known.clone());
    let mut known_loads = Vec::new();
    for (n, report) in reports.into_iter().enumerate() {
        balancer.record_load_report(now, address(n + 1), report);
        let load = balancer.domain_load();
        known_loads.push(load.target(now, TargetId(1)).is_some());
        assert_eq!(known_loads[n], load.service(now, "app").is_some());
    }
    assert_eq!(known_loads, [false, true, true]);
    let later = now + ms(1_000);
    balancer.refresh_domain_load(later, own, known);
    assert_eq!(balancer.domain_load().target(later, TargetId(1)), None);
}

#[test]
fn nothing_is_known_after_the_exchange_has_stopped() {
    let mut domain = Domain::new(&[1, 2]);
    domain.run(ms(1_000));
    let load = domain.members[0].sim.balancer.domain_load();
    assert!(load.target(domain.now, TargetId(1)).is_some());
    assert_eq!(load.target(domain.now + ms(1_500), TargetId(1)), None);
}

#[test]
fn the_demand_of_a_service_adds_up() {
    for size in DOMAINS {
        let mut domain = Domain::of_size(size);
        domain.run(ms(6_000));
        let flows: usize = domain.members[1..].iter().map(|m| m.flows.len()).sum();
        let requests = flows as f64 / STEP.as_secs_f64();
        let load = domain.members[0].sim.balancer.domain_load();
        let totals = load.service(domain.now, "app").unwrap();
        let demand = totals.demand[0];
        assert_eq!((totals.demand.len(), demand.priority), (1, 1));
        let near = |value: f64, truth: f64| (value / truth - 1.0).abs() < 0.15;
        assert!(near(totals.in_flight, flows as f64), "{size} {totals:?}");
        assert!(near(demand.requests_per_s, requests), "{size} {totals:?}");
        assert!(near(totals.answered_per_s, requests), "{size} {totals:?}");
        assert!(demand.flows_per_s < 1.0, "{size} {totals:?}");
    }
}
