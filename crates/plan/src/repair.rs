//! The next plan as a repair of the last one: as few buckets move as can.

use std::collections::HashMap;

use sequoiatrail_table::Target;
use sequoiatrail_types::{PlanVersion, TableVersion, TargetId};

use crate::{Factors, NO_TARGET, Plan};

/// A target with its share of new flows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedTarget {
    /// The target.
    pub target: TargetId,
    /// Its share relative to the others; not negative.
    pub weight: f64,
}

/// The targets that take new flows, with their table weight times their factor.
///
/// If that leaves no weight at all the table's weights count alone.
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

/// The plan after `last`, with buckets in proportion to `targets`; `None` if
/// nothing moves.
///
/// Each target gets its exact share rounded up or down, in the way that moves
/// fewest buckets; only buckets of targets above their share, or gone, move to
/// targets below it. A target above its share gives up the buckets that it got
/// last, so that a target that leaves and comes back gets its own ones again.
pub fn repair(
    last: &Plan,
    table: TableVersion,
    targets: &[WeightedTarget],
    factors: Factors,
) -> Option<Plan> {
    let version = PlanVersion(last.version.0 + 1);
    let mut missing = quotas(last, targets);
    let mut order: Vec<usize> = (0..last.buckets.len()).collect();
    order.sort_by_key(|i| last.buckets[*i].since);
    let mut surplus = Vec::new();
    for index in order {
        match missing.get_mut(&last.buckets[index].target) {
            Some(left) if *left > 0 => *left -= 1,
            _ => surplus.push(index),
        }
    }
    surplus.sort_unstable();
    let mut takers: Vec<_> = missing.into_iter().filter(|(_, n)| *n > 0).collect();
    takers.sort_unstable_by_key(|(target, _)| *target);
    let mut taker = takers
        .into_iter()
        .flat_map(|(target, n)| std::iter::repeat_n(target, n));
    let mut next = last.clone();
    let mut moved = false;
    for index in surplus {
        let target = taker.next().unwrap_or(NO_TARGET);
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

/// A target's share of the buckets.
struct Quota {
    target: TargetId,
    /// Buckets of the exact share, rounded down.
    whole: usize,
    /// What rounding down took off.
    rest: f64,
    /// Whether the target holds more than `whole` already.
    holds_more: bool,
}

/// Buckets of each target: its exact share rounded up or down. Rounded up are
/// first targets that then keep a bucket, then those with the largest
/// remainder; ties go to the lower number.
fn quotas(last: &Plan, targets: &[WeightedTarget]) -> HashMap<TargetId, usize> {
    let total: f64 = targets.iter().map(|t| t.weight).sum();
    if total <= 0.0 {
        return HashMap::new();
    }
    let held = last.bucket_counts();
    let buckets = last.buckets.len();
    let quota = |t: &WeightedTarget| {
        let exact = buckets as f64 * t.weight / total;
        let whole = exact.floor() as usize;
        Quota {
            target: t.target,
            whole,
            rest: exact.fract(),
            holds_more: held.get(&t.target).is_some_and(|n| *n > whole),
        }
    };
    let weighted = targets.iter().filter(|t| t.weight > 0.0);
    let mut quotas: Vec<Quota> = weighted.map(quota).collect();
    let given: usize = quotas.iter().map(|q| q.whole).sum();
    quotas.sort_by(|a, b| {
        let kept = |q: &Quota| q.holds_more && q.rest > 0.0;
        kept(b)
            .cmp(&kept(a))
            .then(b.rest.total_cmp(&a.rest))
            .then(a.target.cmp(&b.target))
    });
    let extra = buckets.saturating_sub(given);
    for quota in quotas.iter_mut().take(extra) {
        quota.whole += 1;
    }
    quotas.into_iter().map(|q| (q.target, q.whole)).collect()
}
