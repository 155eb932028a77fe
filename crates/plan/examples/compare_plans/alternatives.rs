//! Algorithms that compute the next plan of a service.

use std::collections::HashMap;

use sequoiatrail_plan::{Factors, Plan, WeightedTarget, repair};
use sequoiatrail_types::{FlowHash, PlanVersion, TableVersion, TargetId};

/// An algorithm that computes the next plan.
#[derive(Clone, Copy, Debug, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Algorithm {
    /// Buckets dealt out in target order by weight; the baseline.
    Modulo,
    /// Weighted rendezvous hashing of each bucket; shares are only approximate.
    Rendezvous,
    /// Weighted rendezvous hashing in which a full target passes a bucket on to the next.
    ExactRendezvous,
    /// Minimal repair of the last plan.
    Repair,
}

impl Algorithm {
    /// The plan after `last`.
    pub fn next(self, last: &Plan, targets: &[WeightedTarget]) -> Plan {
        match self {
            Algorithm::Modulo => replace(last, &modulo(last.buckets.len(), targets)),
            Algorithm::Rendezvous => replace(last, &rendezvous(last.buckets.len(), targets, None)),
            Algorithm::ExactRendezvous => {
                let quota = quotas(last.buckets.len(), targets);
                replace(last, &rendezvous(last.buckets.len(), targets, Some(quota)))
            }
            Algorithm::Repair => repair(last, TableVersion(0), targets, Factors::default())
                .unwrap_or_else(|| last.clone()),
        }
    }
}

/// The plan after `last` with the bucket targets `owners`.
fn replace(last: &Plan, owners: &[TargetId]) -> Plan {
    let mut next = last.clone();
    next.version = PlanVersion(last.version.0 + 1);
    for (bucket, owner) in next.buckets.iter_mut().zip(owners) {
        if bucket.target != *owner {
            bucket.target = *owner;
            bucket.since = next.version;
        }
    }
    next
}

/// Weighted round robin with one round per bucket: a target is chosen in proportion
/// to its weight.
fn modulo(buckets: usize, targets: &[WeightedTarget]) -> Vec<TargetId> {
    let total: f64 = targets.iter().map(|t| t.weight).sum();
    let mut credit = vec![0.0; targets.len()];
    let mut owners = Vec::with_capacity(buckets);
    for _ in 0..buckets {
        for (c, t) in credit.iter_mut().zip(targets) {
            *c += t.weight;
        }
        // Of the targets with the most credit the first wins, so that the result
        // follows their order.
        let mut best = 0;
        for i in 1..targets.len() {
            if credit[i] > credit[best] {
                best = i;
            }
        }
        credit[best] -= total;
        owners.push(targets[best].target);
    }
    owners
}

/// Each bucket goes to the target with the highest score that has remaining quota.
fn rendezvous(
    buckets: usize,
    targets: &[WeightedTarget],
    mut quota: Option<HashMap<TargetId, usize>>,
) -> Vec<TargetId> {
    let mut owners = Vec::with_capacity(buckets);
    for bucket in 0..buckets {
        let hash = FlowHash(FlowHash(bucket as u64).score(1));
        let open = |t: &&WeightedTarget| quota.as_ref().is_none_or(|r| r[&t.target] > 0);
        let scored = targets
            .iter()
            .filter(open)
            .map(|t| (score(hash, t), t.target));
        let (_, best) = scored
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .expect("the quotas add up to the number of buckets");
        if let Some(left) = quota.as_mut().and_then(|r| r.get_mut(&best)) {
            *left -= 1;
        }
        owners.push(best);
    }
    owners
}

/// Logarithmic score of weighted rendezvous hashing: the highest one wins.
fn score(bucket: FlowHash, target: &WeightedTarget) -> f64 {
    let uniform =
        (bucket.score(u64::from(target.target.0) + 1) >> 11) as f64 / (1_u64 << 53) as f64;
    -target.weight / uniform.ln()
}

/// Exact shares by the largest remainder method.
fn quotas(buckets: usize, targets: &[WeightedTarget]) -> HashMap<TargetId, usize> {
    let total: f64 = targets.iter().map(|t| t.weight).sum();
    let exact = |t: &WeightedTarget| buckets as f64 * t.weight / total;
    let mut order: Vec<&WeightedTarget> = targets.iter().collect();
    order.sort_by(|a, b| exact(b).fract().total_cmp(&exact(a).fract()));
    let assigned: usize = targets.iter().map(|t| exact(t) as usize).sum();
    let extra = buckets - assigned;
    let shares = order.iter().enumerate();
    shares
        .map(|(i, t)| (t.target, exact(t) as usize + usize::from(i < extra)))
        .collect()
}
