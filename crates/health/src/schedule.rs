//! Assignment and timing of probes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::{FlowHash, NodeId, TargetId};

use crate::{HealthSettings, RetryBudget};

/// A probe that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The target.
    pub target: TargetId,
    /// Number of the probe, returned with its outcome.
    pub round: u32,
}

/// The balancers that probe a target: the first `n` by rendezvous hashing. All
/// balancers with the same set of live nodes compute the same result.
pub fn probers(target: TargetId, live: &[NodeId], n: usize) -> Vec<NodeId> {
    let hash = FlowHash(u64::from(target.0) | 1 << 32);
    let order_key = |node: &NodeId| (Reverse(hash.score(node.0)), *node);
    let mut order = live.to_vec();
    if n < order.len() {
        order.select_nth_unstable_by_key(n, order_key);
        order.truncate(n);
    }
    order.sort_unstable_by_key(order_key);
    order
}

/// Next probe of a target.
#[derive(Clone, Copy, Debug)]
struct Slot {
    at: Duration,
    round: u32,
}

/// Probe schedule of one balancer.
#[derive(Debug)]
pub(crate) struct Schedule {
    slots: BTreeMap<TargetId, Slot>,
    budget: RetryBudget,
}

impl Schedule {
    pub fn new(settings: &HealthSettings) -> Schedule {
        Schedule {
            slots: BTreeMap::new(),
            budget: RetryBudget::new(settings.retry_budget),
        }
    }

    /// Replaces the probed targets. New ones are spread over one interval.
    pub fn assign(&mut self, now: Duration, targets: &[TargetId], interval: Duration) {
        let old = std::mem::take(&mut self.slots);
        for target in targets {
            let phase = FlowHash(u64::from(target.0)).score(2) % 1_024;
            let fresh = Slot {
                at: now + interval * phase as u32 / 1_024,
                round: 0,
            };
            let slot = old.get(target).copied().unwrap_or(fresh);
            self.slots.insert(*target, slot);
        }
    }

    /// Returns the probes that are due and schedules the next ones.
    pub fn due_probes(&mut self, now: Duration, interval: Duration) -> Vec<Probe> {
        let mut due = Vec::new();
        for (target, slot) in &mut self.slots {
            if slot.at > now {
                continue;
            }
            slot.at = now + interval;
            slot.round += 1;
            self.budget.record_attempt();
            due.push(Probe {
                target: *target,
                round: slot.round,
            });
        }
        due
    }

    /// Whether `round` is the latest probe of the target.
    pub fn is_latest(&self, target: TargetId, round: u32) -> bool {
        self.slots.get(&target).is_some_and(|s| s.round == round)
    }

    /// Schedules an early retry, if the retry budget allows it.
    pub fn schedule_retry(&mut self, target: TargetId, at: Duration) {
        let Some(slot) = self.slots.get_mut(&target) else {
            return;
        };
        if at < slot.at && self.budget.try_retry_idempotent() {
            slot.at = at;
        }
    }
}
