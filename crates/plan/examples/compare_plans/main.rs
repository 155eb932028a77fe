//! Compares algorithms for the next plan of a service: moved buckets against the
//! minimum, and imbalance.
//!
//! `cargo run --release -p sequoiatrail-plan --example compare_plans`

mod alternatives;

use std::time::Instant;

use alternatives::Algorithm;
use sequoiatrail_plan::{Plan, WeightedTarget};
use sequoiatrail_types::{ServiceId, TargetId};
use strum::IntoEnumIterator;

/// A change of the targets.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Change {
    Added,
    Leaving,
    /// The weight is doubled.
    Reweighted,
    /// Leaves in one plan and returns in the next.
    Returned,
}

/// Numbers of targets and buckets.
const SIZES: [(u32, usize); 3] = [(4, 1_024), (14, 1_024), (2_500, 16_384)];

fn main() {
    println!("| targets | buckets | change | at once | way | moved | least | imbalance | ms |");
    println!("| ---: | ---: | --- | ---: | --- | ---: | ---: | ---: | ---: |");
    for (targets, buckets) in SIZES {
        for change in Change::iter() {
            for at_once in [1, 2, 7] {
                if at_once < targets {
                    Algorithm::iter()
                        .for_each(|alg| print_case(alg, targets, buckets, change, at_once));
                }
            }
        }
    }
}

fn print_case(algorithm: Algorithm, targets: u32, buckets: usize, change: Change, at_once: u32) {
    let before = numbered(0..targets, 1.0);
    let steps = match change {
        Change::Added => vec![numbered(0..targets + at_once, 1.0)],
        Change::Leaving => vec![without_middle(&before, at_once)],
        Change::Reweighted => vec![reweighted(&before, at_once)],
        Change::Returned => vec![without_middle(&before, at_once), before.clone()],
    };
    let first = algorithm.next(&Plan::empty(ServiceId(0), buckets), &before);
    let start = Instant::now();
    let mut last = first.clone();
    for step in &steps {
        last = algorithm.next(&last, step);
    }
    let ms = start.elapsed().as_secs_f64() * 1_000.0 / steps.len() as f64;
    let moved = share(moved(&first, &last), buckets);
    let least = share(min_moves(&first, &last), buckets);
    let imbalance = imbalance(&last, steps.last().unwrap_or(&before));
    println!(
        "| {targets} | {buckets} | {change} | {at_once} | {algorithm} | {moved:.2}% | {least:.2}% | {imbalance:.3} | {ms:.2} |"
    );
}

fn numbered(numbers: std::ops::Range<u32>, weight: f64) -> Vec<WeightedTarget> {
    let target = |n| WeightedTarget {
        target: TargetId(n),
        weight,
    };
    numbers.map(target).collect()
}

fn without_middle(targets: &[WeightedTarget], n: u32) -> Vec<WeightedTarget> {
    let from = (targets.len() as u32 - n) / 2;
    let stays = |t: &&WeightedTarget| !(from..from + n).contains(&t.target.0);
    targets.iter().filter(stays).copied().collect()
}

fn reweighted(targets: &[WeightedTarget], n: u32) -> Vec<WeightedTarget> {
    let from = (targets.len() as u32 - n) / 2;
    let mut targets = targets.to_vec();
    for target in &mut targets[from as usize..(from + n) as usize] {
        target.weight *= 2.0;
    }
    targets
}

fn moved(from: &Plan, to: &Plan) -> usize {
    let pairs = from.buckets.iter().zip(&to.buckets);
    pairs.filter(|(a, b)| a.target != b.target).count()
}

/// Minimum number of moves between the bucket counts of two plans.
fn min_moves(from: &Plan, to: &Plan) -> usize {
    let current = from.bucket_counts();
    let gain = |(t, n): (&TargetId, &usize)| n.saturating_sub(current.get(t).copied().unwrap_or(0));
    to.bucket_counts().iter().map(gain).sum()
}

/// Maximum ratio of a target's share of the buckets to its weighted share.
fn imbalance(plan: &Plan, targets: &[WeightedTarget]) -> f64 {
    let current = plan.bucket_counts();
    let total: f64 = targets.iter().map(|t| t.weight).sum();
    let over = |t: &WeightedTarget| {
        let share = current.get(&t.target).copied().unwrap_or(0) as f64 / plan.buckets.len() as f64;
        share * total / t.weight
    };
    targets.iter().map(over).fold(0.0, f64::max)
}

fn share(n: usize, of: usize) -> f64 {
    100.0 * n as f64 / of as f64
}
