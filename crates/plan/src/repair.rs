//! Computes the next plan from the last one with as few bucket moves as possible.

use std::collections::HashMap;

use sequoiatrail_table::Target;
use sequoiatrail_types::{PlanVersion, TableVersion, TargetId};

use crate::{Factors, NO_TARGET, Plan};

/// A target with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedTarget {
    /// The target.
    pub target: TargetId,
    /// Its share of new flows relative to the other targets; not negative.
    pub weight: f64,
}

/// The targets that take new flows, with their table weight times their factor.
///
/// If the total weight would be 0 because all targets are down, the table weights
/// are used unscaled.
pub fn weigh(targets: &[Target], factors: &Factors) -> Vec<WeightedTarget> {
    let takers = || targets.iter().filter(|t| t.row.takes_new_flows());
    let any_up = takers().any(|t| !factors.get(t.id).is_down());
    let weighted = |t: &Target| {
        let ratio = if any_up {
            factors.get(t.id).ratio()
        } else {
            1.0
        };
        WeightedTarget {
            target: t.id,
            weight: f64::from(t.row.weight) * ratio,
        }
    };
    takers().map(weighted).collect()
}

/// Returns the plan after `last`, with buckets in proportion to the weights of
/// `targets`, or `None` if no bucket moves.
///
/// Each target gets its exact share rounded up or down, whichever moves the fewest
/// buckets. Only buckets of removed targets and of targets above their share move.
/// A target above its share gives up its most recently assigned buckets first, so
/// that a target that leaves and returns gets the same buckets back.
pub fn repair(
    last: &Plan,
    table: TableVersion,
    targets: &[WeightedTarget],
    factors: Factors,
) -> Option<Plan> {
    let version = PlanVersion(last.version.0 + 1);
    let mut remaining = quotas(last, targets);
    let mut order: Vec<usize> = (0..last.buckets.len()).collect();
    order.sort_by_key(|i| last.buckets[*i].since);
    let mut surplus = Vec::new();
    for index in order {
        match remaining.get_mut(&last.buckets[index].target) {
            Some(left) if *left > 0 => *left -= 1,
            _ => surplus.push(index),
        }
    }
    surplus.sort_unstable();
    let mut receivers: Vec<_> = remaining.into_iter().filter(|(_, n)| *n > 0).collect();
    receivers.sort_unstable_by_key(|(target, _)| *target);
    let mut receiver = receivers
        .into_iter()
        .flat_map(|(target, n)| std::iter::repeat_n(target, n));
    let mut next = last.clone();
    let mut moved = false;
    for index in surplus {
        let target = receiver.next().unwrap_or(NO_TARGET);
        let bucket = &mut next.buckets[index];
        if bucket.target != target {
            bucket.target = target;
            bucket.since = version;
            moved = true;
        }
    }
    next.version = version;
    next.table = table;
    next.factors = factors;
    moved.then_some(next)
}

/// A target's quota of buckets.
struct Quota {
    target: TargetId,
    /// Exact share, rounded down.
    count: usize,
    /// Fractional part that was rounded off.
    remainder: f64,
    /// Whether the target already holds more than `count` buckets.
    holds_extra: bool,
}

/// Buckets per target: the exact share rounded up or down. Rounded up are first
/// targets that thereby keep a bucket, then those with the largest remainder; ties
/// go to the lower ID.
fn quotas(last: &Plan, targets: &[WeightedTarget]) -> HashMap<TargetId, usize> {
    let total: f64 = targets.iter().map(|t| t.weight).sum();
    if total <= 0.0 {
        return HashMap::new();
    }
    let current = last.bucket_counts();
    let buckets = last.buckets.len();
    let quota = |t: &WeightedTarget| {
        let exact = buckets as f64 * t.weight / total;
        let count = exact.floor() as usize;
        Quota {
            target: t.target,
            count,
            remainder: exact.fract(),
            holds_extra: current.get(&t.target).is_some_and(|n| *n > count),
        }
    };
    let weighted = targets.iter().filter(|t| t.weight > 0.0);
    let mut quotas: Vec<Quota> = weighted.map(quota).collect();
    let assigned: usize = quotas.iter().map(|q| q.count).sum();
    quotas.sort_by(|a, b| {
        let keeps_extra = |q: &Quota| q.holds_extra && q.remainder > 0.0;
        keeps_extra(b)
            .cmp(&keeps_extra(a))
            .then(b.remainder.total_cmp(&a.remainder))
            .then(a.target.cmp(&b.target))
    });
    let leftover = buckets.saturating_sub(assigned);
    for quota in quotas.iter_mut().take(leftover) {
        quota.count += 1;
    }
    quotas.into_iter().map(|q| (q.target, q.count)).collect()
}
