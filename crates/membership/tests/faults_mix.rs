//! Faults of several kinds, together and twice, drawn from a seed.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod net;

use std::collections::BTreeSet;
use std::time::Duration;

use net::{Net, Weather};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_membership::Event;
use sequoiatrail_types::{NodeId, PlanVersion, ServiceId};

const NODES: usize = 6;
const SETTLE: Duration = Duration::from_secs(10);
const HEALING: Duration = Duration::from_secs(15);
const SERVICE: ServiceId = ServiceId(1);

fn weather(rng: &mut ChaCha8Rng) -> Weather {
    Weather {
        loss: rng.random_range(0.0..0.05),
        repeats: rng.random_range(0.0..0.1),
        delay: (Duration::from_micros(200), Duration::from_millis(30)),
    }
}

/// Ends of processes, which stay ended.
struct Ends {
    killed: BTreeSet<NodeId>,
}

fn fault(net: &mut Net, rng: &mut ChaCha8Rng, ends: &mut Ends) {
    let i = rng.random_range(0..NODES);
    match rng.random_range(0..6) {
        0 => {
            ends.killed.insert(net.id(i));
            net.restart(i);
        }
        1 => {
            ends.killed.insert(net.id(i));
            net.leave(i);
            net.restart(i);
        }
        2 => net.pause(i, Duration::from_millis(rng.random_range(500..12_000))),
        3 => {
            let cut = rng.random_range(1..NODES);
            net.part(|j| u8::from(j < cut));
        }
        4 => net.heal(),
        _ => {
            let version = net.at(i).local_prepared(SERVICE).0 + 1;
            net.change(i, |m| m.set_prepared(SERVICE, PlanVersion(version)));
        }
    }
}

fn plans_agree(net: &Net) -> bool {
    (0..NODES).all(|i| {
        let own = net.at(i).local_prepared(SERVICE);
        let others = (0..NODES).filter(|j| *j != i);
        let mut seen = others.map(|j| net.at(j).member(net.id(i)));
        seen.all(|m| m.is_some_and(|m| m.prepared(SERVICE) == own))
    })
}

#[test]
fn views_and_versions_agree_after_any_mix_of_faults() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut net = Net::new(NODES, seed, SETTLE);
        let mut ends = Ends {
            killed: BTreeSet::new(),
        };
        net.weather = weather(&mut rng);
        for _ in 0..12 {
            fault(&mut net, &mut rng, &mut ends);
            net.run(Duration::from_millis(rng.random_range(100..6_000)));
        }
        net.heal();
        net.run(Duration::from_secs(12));
        let agreed = net.run_till(HEALING, |net| net.agree() && plans_agree(net));
        assert!(agreed.is_some(), "seed {seed}");
        let settled = net.now;
        net.run(Duration::from_secs(30));
        for i in 0..NODES {
            let members = net.members(i);
            assert!(
                members.iter().all(|m| !ends.killed.contains(m)),
                "seed {seed}"
            );
            let events = net.events(i, settled);
            let died = events.iter().any(|e| matches!(e, Event::Died(_)));
            assert!(!died, "seed {seed}: {events:?}");
        }
    }
}

#[test]
fn a_process_that_was_replaced_never_joins_again() {
    for seed in 100..120 {
        let mut net = Net::new(NODES, seed, SETTLE);
        let old = net.id(2);
        net.kill(2);
        net.restart(2);
        net.run(SETTLE);
        let start = net.now;
        net.part(|i| u8::from(i < 3));
        net.run(Duration::from_secs(20));
        net.heal();
        net.run(Duration::from_secs(20));
        for i in 0..NODES {
            let events = net.events(i, start);
            assert!(!events.contains(&Event::Joined(old)), "seed {seed}");
        }
        assert!(net.agree(), "seed {seed}");
    }
}

#[test]
fn two_balancers_that_cannot_reach_each_other_only_are_not_taken_for_dead() {
    for seed in 200..210 {
        let mut net = Net::new(NODES, seed, SETTLE);
        let start = net.now;
        net.cut(1, 4);
        net.run(Duration::from_secs(120));
        for i in 0..NODES {
            let events = net.events(i, start);
            let died = events.iter().any(|e| matches!(e, Event::Died(_)));
            assert!(!died, "seed {seed}, balancer {i}: {events:?}");
        }
    }
}

#[test]
fn members_out_of_direct_reach_are_known_with_who_reaches_them() {
    for seed in 300..320 {
        let mut net = Net::new(NODES, seed, SETTLE);
        net.weather.loss = 0.02;
        let (a, b) = (net.id(1), net.id(4));
        let vias = |net: &Net| {
            let via = |i: usize, node| net.at(i).member(node).and_then(|m| m.via());
            (via(1, b), via(4, a))
        };
        // Notices that nobody acknowledges must not put off the probes that show the cut.
        for i in 0..NODES {
            net.change(i, |m| m.set_prepared(SERVICE, PlanVersion(seed)));
        }
        net.cut(1, 4);
        let both = |net: &Net| matches!(vias(net), (Some(_), Some(_)));
        let took = net.run_till(Duration::from_secs(15), both);
        assert!(took.is_some(), "seed {seed}");
        let (to_b, to_a) = vias(&net);
        assert!(![to_b, to_a].contains(&Some(a)), "seed {seed}");
        assert!(![to_b, to_a].contains(&Some(b)), "seed {seed}");
        net.heal();
        let none = |net: &Net| vias(net) == (None, None);
        let took = net.run_till(Duration::from_secs(10), none);
        assert!(took.is_some(), "seed {seed}");
    }
}
