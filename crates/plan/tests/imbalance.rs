//! Tests that buckets and hashing meet the imbalance goals: 1.10 in steady state
//! and 1.20 one minute after a change.

mod common;

use common::SERVICE;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_plan::{Factors, Plan, PlannerSettings, WeightedTarget, repair};
use sequoiatrail_types::{FlowHash, TableVersion, TargetId};

const STEADY_GOAL: f64 = 1.10;
const CHANGE_GOAL: f64 = 1.20;
const FLOWS_PER_TARGET: u32 = 2_000;
/// Mean lifetime of a flow.
const MEAN_LIFETIME_S: u32 = 7_200;

fn equal_weights(targets: impl IntoIterator<Item = u32>) -> Vec<WeightedTarget> {
    let target = |n| WeightedTarget {
        target: TargetId(n),
        weight: 1.0,
    };
    targets.into_iter().map(target).collect()
}

fn next(last: &Plan, targets: &[WeightedTarget]) -> Plan {
    repair(last, TableVersion(1), targets, Factors::default()).unwrap()
}

fn first(targets: &[WeightedTarget]) -> Plan {
    next(
        &Plan::empty(SERVICE, PlannerSettings::default().buckets),
        targets,
    )
}

fn place(plan: &Plan, flows: u32, rng: &mut ChaCha8Rng, open: &mut [u32]) {
    for _ in 0..flows {
        open[plan.bucket(FlowHash(rng.random())).target.0 as usize] += 1;
    }
}

/// Maximum ratio of a target's share of the open flows to its equal share.
fn imbalance(open: &[u32]) -> f64 {
    let total: u32 = open.iter().sum();
    f64::from(*open.iter().max().unwrap()) * open.len() as f64 / f64::from(total)
}

#[test]
fn imbalance_meets_its_goal_in_steady_state() {
    for targets in [4, 14] {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut open = vec![0; targets as usize];
            let plan = first(&equal_weights(0..targets));
            place(&plan, targets * FLOWS_PER_TARGET, &mut rng, &mut open);
            let imbalance = imbalance(&open);
            assert!(
                imbalance <= STEADY_GOAL,
                "{imbalance} at {targets} targets, seed {seed}"
            );
        }
    }
}

#[test]
fn imbalance_meets_its_goal_one_minute_after_a_target_returns_empty() {
    let flows = 14 * FLOWS_PER_TARGET;
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut open = vec![0; 14];
        let without = next(&first(&equal_weights(0..14)), &equal_weights(1..14));
        place(&without, flows, &mut rng, &mut open);
        let back = next(&without, &equal_weights(0..14));
        place(&back, flows * 60 / MEAN_LIFETIME_S, &mut rng, &mut open);
        let imbalance = imbalance(&open);
        assert!(imbalance <= CHANGE_GOAL, "{imbalance} at seed {seed}");
    }
}
