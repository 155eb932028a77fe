//! How a budget of requests is divided among priorities.
//!
//! Load pattern: urgent requests are a small part of the load and would fit many times
//! over, but fail with the others. The budget serves priorities in their order: first
//! the requests on open flows of a priority, which can't be refused, then its new
//! flows. A priority gets room only after all new flows of the more urgent ones.

use std::collections::BTreeMap;

use super::demand::PriorityRates;

/// Fraction of the new flows of a priority that is admitted even if open flows need
/// the whole budget, so that no client is refused in every epoch.
const MIN_FRACTION: f64 = 0.02;

/// Fraction of new flows to admit, by priority. A fraction that rises does so slowly
/// where each flow brings `requests_per_flow` until the next change.
pub(super) fn fractions(
    budget: f64,
    demand: impl Iterator<Item = (u32, PriorityRates)>,
    current: &BTreeMap<u32, f64>,
    requests_per_flow: f64,
) -> BTreeMap<u32, f64> {
    let mut left = budget;
    let mut more_urgent_fit = true;
    let mut fractions = BTreeMap::new();
    for (priority, rates) in demand {
        left -= rates.open;
        let mut fraction = match (more_urgent_fit, left >= rates.first) {
            (false, _) => 0.0,
            (true, true) => 1.0,
            (true, false) => (left / rates.first).max(MIN_FRACTION),
        };
        if let Some(current) = current.get(&priority)
            && fraction > *current
            && fraction < 1.0
        {
            fraction = current + (fraction - current) / requests_per_flow;
        }
        left -= rates.first * fraction;
        more_urgent_fit = fraction >= 1.0;
        fractions.insert(priority, fraction);
    }
    fractions
}
