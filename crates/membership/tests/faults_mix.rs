//! Seeded random sequences of faults of several kinds, including repeated and overlapping ones.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod net;

use std::collections::BTreeSet;
use std::time::Duration;

use net::{Conditions, Network};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_membership::Event;
use sequoiatrail_types::{NodeId, PlanVersion, ServiceId};

const NODES: usize = 6;
const SETTLE_TIME: Duration = Duration::from_secs(10);
const HEAL_TIMEOUT: Duration = Duration::from_secs(15);
const SERVICE: ServiceId = ServiceId(1);

fn random_conditions(rng: &mut ChaCha8Rng) -> Conditions {
    Conditions {
        loss: rng.random_range(0.0..0.05),
        duplication: rng.random_range(0.0..0.1),
        delay: (Duration::from_micros(200), Duration::from_millis(30)),
    }
}

/// Identifiers of processes that ended and must not rejoin.
struct Terminated {
    killed: BTreeSet<NodeId>,
}

fn inject_fault(net: &mut Network, rng: &mut ChaCha8Rng, terminated: &mut Terminated) {
    let i = rng.random_range(0..NODES);
    match rng.random_range(0..6) {
        0 => {
            terminated.killed.insert(net.id(i));
            net.restart(i);
        }
        1 => {
            terminated.killed.insert(net.id(i));
            net.leave(i);
            net.restart(i);
        }
        2 => net.pause(i, Duration::from_millis(rng.random_range(500..12_000))),
        3 => {
            let split = rng.random_range(1..NODES);
            net.partition(|j| u8::from(j < split));
        }
        4 => net.heal(),
        _ => {
            let version = net.balancer(i).local_prepared(SERVICE).0 + 1;
            net.with_balancer(i, |m| m.set_prepared(SERVICE, PlanVersion(version)));
        }
    }
}

fn plans_converged(net: &Network) -> bool {
    (0..NODES).all(|i| {
        let own = net.balancer(i).local_prepared(SERVICE);
        let others = (0..NODES).filter(|j| *j != i);
        let mut seen = others.map(|j| net.balancer(j).member(net.id(i)));
        seen.all(|m| m.is_some_and(|m| m.prepared(SERVICE) == own))
    })
}

#[test]
fn views_and_versions_converge_after_random_faults() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut net = Network::new(NODES, seed, SETTLE_TIME);
        let mut terminated = Terminated {
            killed: BTreeSet::new(),
        };
        net.conditions = random_conditions(&mut rng);
        for _ in 0..12 {
            inject_fault(&mut net, &mut rng, &mut terminated);
            net.run(Duration::from_millis(rng.random_range(100..6_000)));
        }
        net.heal();
        net.run(Duration::from_secs(12));
        let converged = net.wait_until(HEAL_TIMEOUT, |net| net.converged() && plans_converged(net));
        assert!(converged.is_some(), "seed {seed}");
        let converged_at = net.now;
        net.run(Duration::from_secs(30));
        for i in 0..NODES {
            let members = net.members(i);
            assert!(
                members.iter().all(|m| !terminated.killed.contains(m)),
                "seed {seed}"
            );
            let events = net.events(i, converged_at);
            let died = events.iter().any(|e| matches!(e, Event::Died(_)));
            assert!(!died, "seed {seed}: {events:?}");
        }
    }
}

#[test]
fn a_replaced_process_never_rejoins() {
    for seed in 100..120 {
        let mut net = Network::new(NODES, seed, SETTLE_TIME);
        let old = net.id(2);
        net.kill(2);
        net.restart(2);
        net.run(SETTLE_TIME);
        let start = net.now;
        net.partition(|i| u8::from(i < 3));
        net.run(Duration::from_secs(20));
        net.heal();
        net.run(Duration::from_secs(20));
        for i in 0..NODES {
            let events = net.events(i, start);
            assert!(!events.contains(&Event::Joined(old)), "seed {seed}");
        }
        assert!(net.converged(), "seed {seed}");
    }
}

#[test]
fn two_balancers_cut_off_only_from_each_other_are_not_declared_dead() {
    for seed in 200..210 {
        let mut net = Network::new(NODES, seed, SETTLE_TIME);
        let start = net.now;
        net.block_pair(1, 4);
        net.run(Duration::from_secs(120));
        for i in 0..NODES {
            let events = net.events(i, start);
            let died = events.iter().any(|e| matches!(e, Event::Died(_)));
            assert!(!died, "seed {seed}, balancer {i}: {events:?}");
        }
    }
}

#[test]
fn indirectly_reachable_members_have_a_helper() {
    for seed in 300..320 {
        let mut net = Network::new(NODES, seed, SETTLE_TIME);
        net.conditions.loss = 0.02;
        let (a, b) = (net.id(1), net.id(4));
        let helpers = |net: &Network| {
            let via = |i: usize, node| net.balancer(i).member(node).and_then(|m| m.via());
            (via(1, b), via(4, a))
        };
        // Unacknowledged notifications must not postpone the probes that detect the blocked pair.
        for i in 0..NODES {
            net.with_balancer(i, |m| m.set_prepared(SERVICE, PlanVersion(seed)));
        }
        net.block_pair(1, 4);
        let both = |net: &Network| matches!(helpers(net), (Some(_), Some(_)));
        let elapsed = net.wait_until(Duration::from_secs(15), both);
        assert!(elapsed.is_some(), "seed {seed}");
        let (to_b, to_a) = helpers(&net);
        assert!(![to_b, to_a].contains(&Some(a)), "seed {seed}");
        assert!(![to_b, to_a].contains(&Some(b)), "seed {seed}");
        net.heal();
        let none = |net: &Network| helpers(net) == (None, None);
        let elapsed = net.wait_until(Duration::from_secs(10), none);
        assert!(elapsed.is_some(), "seed {seed}");
    }
}
