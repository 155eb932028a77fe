//! Tests of the computation of the next plan.

mod common;

use common::{SERVICE, edit, min_moves, moved, table};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_plan::{Factors, NO_TARGET, Plan, WeightedTarget, repair, weigh};
use sequoiatrail_table::TargetState;
use sequoiatrail_types::{PlanVersion, TableVersion, TargetId};

const BUCKETS: usize = 1_024;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

fn targets(weights: &[u32]) -> Vec<WeightedTarget> {
    let numbered = (0..).zip(weights);
    let weighted = numbered.map(|(n, w)| WeightedTarget {
        target: TargetId(n),
        weight: f64::from(*w),
    });
    weighted.collect()
}

fn next(last: &Plan, weights: &[u32]) -> Plan {
    let next = repair(last, TableVersion(1), &targets(weights), Factors::default());
    next.unwrap_or_else(|| last.clone())
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn shares_are_exact_and_moves_are_minimal(
        steps in prop::collection::vec(prop::collection::vec(0_u32..=1_000, 1..40), 1..8),
    ) {
        let mut last = Plan::empty(SERVICE, BUCKETS);
        for weights in steps {
            let plan = next(&last, &weights);
            let held = plan.bucket_counts();
            let total: u32 = weights.iter().sum();
            for (n, weight) in (0..).zip(&weights) {
                let exact = BUCKETS as f64 * f64::from(*weight) / f64::from(total.max(1));
                let n = held.get(&TargetId(n)).copied().unwrap_or(0) as f64;
                prop_assert!((n - exact).abs() < 1.0, "{n} buckets for {exact}");
            }
            if total > 0 {
                prop_assert_eq!(moved(&last, &plan), min_moves(&last, &weights));
            }
            last = plan;
        }
    }

    #[test]
    fn since_reveals_intermediate_moves_to_a_balancer_that_skipped_versions(
        steps in prop::collection::vec(prop::collection::vec(0_u32..=5, 1..20), 2..10),
    ) {
        let mut plans = vec![Plan::empty(SERVICE, 256)];
        for weights in steps {
            let plan = next(plans.last().unwrap(), &weights);
            if plan != *plans.last().unwrap() {
                plans.push(plan);
            }
        }
        let newest = plans.last().unwrap();
        for (index, known) in plans.iter().enumerate() {
            for b in 0..256 {
                let was_elsewhere = plans[index..].iter().any(|p| p.buckets[b].target != newest.buckets[b].target);
                let flagged = newest.buckets[b].since > known.version;
                prop_assert!(flagged || !was_elsewhere, "bucket {b} since version {}", known.version);
            }
        }
    }
}

#[test]
fn without_any_weight_no_bucket_has_a_target() {
    let first = next(&Plan::empty(SERVICE, BUCKETS), &[1, 1]);
    let plan = next(&first, &[0, 0]);
    assert!(plan.buckets.iter().all(|b| b.target == NO_TARGET));
    assert_eq!(plan.version, PlanVersion(2));
}

#[test]
fn equal_inputs_give_the_same_plan_on_every_balancer() {
    let first = next(&Plan::empty(SERVICE, BUCKETS), &[1; 14]);
    let mut shuffled = targets(&[1, 2, 3, 1, 1, 0, 7]);
    let one = repair(&first, TableVersion(2), &shuffled, Factors::default());
    shuffled.reverse();
    let other = repair(&first, TableVersion(2), &shuffled, Factors::default());
    assert_eq!(one, other);
}

#[test]
fn a_stopped_target_has_no_weight() {
    let table = edit(&table(&[1; 4]), |rows| rows[2].state = TargetState::Stopped);
    let weighed = weigh(&table.targets, &Factors::default());
    assert!(weighed.iter().all(|t| t.target != TargetId(2)));
    assert_eq!(weighed.len(), 3);
}
