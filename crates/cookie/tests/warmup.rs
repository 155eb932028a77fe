//! Cold targets under load: what all balancers of a fleet together send them while they
//! know each other only in part.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{IDEMPOTENT, Sim, entry, forwarded, ms, route, syn};
use sequoiatrail_cookie::{
    Config, Decision, EvacuationChange, EvacuationList, Manifest, PeerInfo, Peers, PeersConfig,
    ResetReason, ServiceLimits, TargetChange, TargetEntry, TargetId, WarmupConfig, WarmupQuota,
};

const CONFIG: WarmupConfig = WarmupConfig {
    overload_factor: 1.5,
    tolerance: 5.0,
};
/// Rate that a cold target bears, in flows per second.
const RATE: f64 = 10.0;
/// Failure domains of a fleet.
const DOMAINS: usize = 3;
/// Time between two attempts of a balancer to use a cold target.
const STEP: Duration = Duration::from_millis(50);

/// One balancer of a fleet.
struct Member {
    info: PeerInfo,
    peers: Peers,
    quota: WarmupQuota,
}

/// Balancers that learn of each other by queries, and always have flows to place.
struct Fleet {
    members: Vec<Member>,
    /// Members that neither reach the others nor are reached by them.
    cut_off: Vec<usize>,
    numbers: HashMap<SocketAddr, usize>,
    target: TargetId,
    /// Times of all flows that the target got.
    sent: Vec<Duration>,
    now: Duration,
}

fn info(number: usize) -> PeerInfo {
    PeerInfo {
        address: SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000)),
        domain: format!("d{}", number % DOMAINS).into(),
    }
}

fn member(number: usize, start: u64) -> Member {
    let seeds = [info(0).address, info(1).address, info(2).address];
    let info = info(number);
    let cfg = PeersConfig {
        local_sample_size: 32,
        ..PeersConfig::default()
    };
    Member {
        peers: Peers::new(cfg, info.clone(), &seeds, start),
        quota: WarmupQuota::default(),
        info,
    }
}

impl Fleet {
    /// All balancers start at once.
    fn start(size: usize) -> Fleet {
        Fleet {
            members: (0..size).map(|n| member(n, n as u64)).collect(),
            cut_off: Vec::new(),
            numbers: (0..size).map(|n| (info(n).address, n)).collect(),
            target: TargetId(77),
            sent: Vec::new(),
            now: Duration::ZERO,
        }
    }

    fn restart(&mut self, number: usize) {
        self.members[number] = member(number, number as u64 + 1_000);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for number in 0..self.members.len() {
                self.query(number);
                self.place(number);
            }
            self.now += STEP;
        }
    }

    fn query(&mut self, number: usize) {
        let now = self.now;
        let Some(address) = self.members[number].peers.next_to_query(now, false) else {
            return;
        };
        let peer = self.numbers[&address];
        let own = self.members[number].info.clone();
        if self.cut_off.contains(&number) || self.cut_off.contains(&peer) {
            let peers = &mut self.members[number].peers;
            peers.record_failure(now, address, now);
        } else {
            let listed = self.members[peer].peers.sample(&own.domain);
            self.members[peer].peers.record_contact(&own);
            let from = self.members[peer].info.clone();
            let peers = &mut self.members[number].peers;
            peers.record_response(&from, true, &listed);
        }
        let member = &mut self.members[number];
        if member.peers.is_connected() {
            let local = member.peers.local_peers();
            member.quota.record_members(now, own.address, &local);
        }
    }

    /// Sends a flow if the balancer is in the target's failure domain and may.
    fn place(&mut self, number: usize) {
        let bound = CONFIG.bound(Some(RATE)).unwrap();
        let quota = &mut self.members[number].quota;
        if number.is_multiple_of(DOMAINS) && quota.has_room(self.now, self.target, bound) {
            quota.record_sent(self.now, self.target);
            self.sent.push(self.now);
        }
    }

    /// Highest number of flows in any second.
    fn peak(&self) -> usize {
        let in_second = |from: &Duration| {
            let second = *from..*from + Duration::from_secs(1);
            self.sent.iter().filter(|at| second.contains(at)).count()
        };
        self.sent.iter().map(in_second).max().unwrap_or_default()
    }

    /// Flows per second since a time.
    fn rate_since(&self, from: Duration) -> f64 {
        let flows = self.sent.iter().filter(|at| **at >= from).count();
        flows as f64 / (self.now - from).as_secs_f64()
    }
}

fn assert_quota_kept(size: usize) {
    let bound = CONFIG.bound(Some(RATE)).unwrap();
    let mut fleet = Fleet::start(size);
    fleet.run(Duration::from_secs(60));
    assert!(fleet.peak() <= bound as usize, "start: {}", fleet.peak());
    let calm = fleet.now;
    fleet.run(Duration::from_secs(10));
    let rate = fleet.rate_since(calm);
    assert!(rate >= f64::from(bound) / 2.0, "used {rate} of {bound}");
    // A third is cut off from the rest for longer than peers count as alive, and some
    // start anew meanwhile.
    fleet.cut_off = (0..size).filter(|n| n % 9 < 3).collect();
    fleet.run(Duration::from_secs(15));
    (0..size).step_by(6).for_each(|n| fleet.restart(n));
    fleet.run(Duration::from_secs(25));
    fleet.cut_off.clear();
    fleet.run(Duration::from_secs(5));
    assert!(fleet.peak() <= bound as usize, "cut: {}", fleet.peak());
}

#[test]
fn six_balancers_keep_the_quota_of_a_cold_target() {
    assert_quota_kept(6);
}

#[test]
fn twenty_three_balancers_keep_the_quota_of_a_cold_target() {
    assert_quota_kept(23);
}

#[test]
fn seventy_seven_balancers_keep_the_quota_of_a_cold_target() {
    assert_quota_kept(77);
}

#[test]
fn a_hundred_and_ninety_five_balancers_keep_the_quota_of_a_cold_target() {
    assert_quota_kept(195);
}

fn cold(id: u64, domain: &str) -> TargetChange {
    TargetChange::Present(TargetEntry {
        cold_for: Duration::from_secs(60),
        ..entry(id, domain)
    })
}

/// A balancer in failure domain `a` that knows no other one and has learned so, with a
/// rate for cold targets.
fn balancer(targets: Vec<TargetChange>, rate: Option<f64>) -> Sim {
    let mut sim = Sim::empty();
    sim.balancer.configure(Config {
        domain: "a".into(),
        warmup: CONFIG,
        ..Config::default()
    });
    let service = "app".into();
    let limits = ServiceLimits {
        service,
        cold_flows_per_s: rate,
    };
    let manifest = Manifest {
        version: 1,
        flow_idle: Duration::from_secs(15),
        routes: vec![route(IDEMPOTENT, &[("app", 1)])],
        services: vec![limits],
    };
    sim.balancer.apply_manifest(Arc::new(manifest), 1.into());
    sim.balancer
        .replace_targets(sim.now, 10.into(), targets, true);
    sim.balancer.record_members(sim.now, info(0).address, &[]);
    sim.advance(ms(10_000));
    sim
}

#[test]
fn a_cold_target_gets_its_quota_and_the_rest_is_refused_at_once() {
    let mut sim = balancer(vec![cold(1, "a")], Some(RATE));
    let decisions: Vec<Decision> = (1..100)
        .map(|client| sim.decide(syn(client, IDEMPOTENT, 0)))
        .collect();
    let refused = Decision::Reset(ResetReason::ColdTargets);
    let accepted = decisions.iter().filter(|d| **d != refused).count();
    assert!((10..=20).contains(&accepted), "{accepted}");
    sim.advance(ms(1_100));
    assert_ne!(sim.decide(syn(100, IDEMPOTENT, 0)), refused);
}

#[test]
fn a_cold_target_of_another_failure_domain_gets_no_flows() {
    let mut sim = balancer(vec![cold(1, "b")], Some(RATE));
    let refused = sim.decide(syn(1, IDEMPOTENT, 0));
    assert_eq!(refused, Decision::Reset(ResetReason::ColdTargets));
}

#[test]
fn without_a_rate_in_the_manifest_cold_targets_are_not_limited() {
    let mut sim = balancer(vec![cold(1, "a"), cold(2, "b")], None);
    for client in 1..100 {
        forwarded(sim.decide(syn(client, IDEMPOTENT, 0)));
    }
}

#[test]
fn targets_of_a_domain_that_was_just_taken_back_count_as_cold() {
    let warm = TargetChange::Present(entry(1, "a"));
    let mut sim = balancer(vec![warm], Some(RATE));
    let list = EvacuationList {
        revision: 20.into(),
        domains: vec!["a".into()],
    };
    sim.balancer.replace_evacuations(sim.now, list);
    let change = EvacuationChange {
        domain: "a".into(),
        evacuated: false,
    };
    sim.balancer
        .change_evacuations(sim.now, 21.into(), vec![change]);
    let accepted = (1..100)
        .filter(|client| {
            let decision = sim.decide(syn(*client, IDEMPOTENT, 0));
            matches!(decision, Decision::Forward { .. })
        })
        .count();
    assert!((1..=20).contains(&accepted), "{accepted}");
}
