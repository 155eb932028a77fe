//! Which priorities of a service's routes are in use.

use std::collections::BTreeMap;

/// Fraction of responses from which a priority counts as in use.
const MIN_FRACTION: f64 = 0.05;
/// Decay factor applied to the counts after each interval.
const DECAY: f64 = 0.98;
/// Decayed count up to which a priority is removed.
const MIN_COUNT: f64 = 0.01;

/// Exponentially decayed response counts by route priority; 0 is the most urgent.
#[derive(Debug, Default)]
pub(super) struct Priorities {
    counts: BTreeMap<u32, f64>,
}

impl Priorities {
    /// Counts a response.
    pub fn record(&mut self, priority: u32) {
        *self.counts.entry(priority).or_default() += 1.0;
    }

    /// Gives earlier responses less weight.
    pub fn decay(&mut self) {
        self.counts.values_mut().for_each(|count| *count *= DECAY);
        self.counts.retain(|_, count| *count > MIN_COUNT);
    }

    /// Whether no more urgent priority is in use, but less urgent ones are.
    pub fn is_urgent(&self, priority: u32) -> bool {
        let all: f64 = self.counts.values().sum();
        let more_urgent: f64 = self.counts.range(..priority).map(|(_, count)| count).sum();
        let same_priority = self.counts.get(&priority).copied().unwrap_or_default();
        let less_urgent = all - more_urgent - same_priority;
        more_urgent < all * MIN_FRACTION && less_urgent >= all * MIN_FRACTION
    }
}
