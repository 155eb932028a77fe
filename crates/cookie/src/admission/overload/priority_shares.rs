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

/// Fraction of new flows to admit, by priority. A flow counts with the requests that it
/// brings soon.
pub(super) fn admitted_fractions(
    budget: f64,
    demand: impl Iterator<Item = (u32, PriorityRates)>,
) -> BTreeMap<u32, f64> {
    let mut left = budget;
    let mut more_urgent_fit = true;
    let mut fractions = BTreeMap::new();
    for (priority, rates) in demand {
        left -= rates.old;
        let wanted = rates.first * rates.requests_per_flow();
        let fraction = match (more_urgent_fit, left >= wanted) {
            (false, _) => 0.0,
            (true, true) => 1.0,
            (true, false) => (left / wanted).max(MIN_FRACTION),
        };
        left -= wanted * fraction;
        more_urgent_fit = fraction >= 1.0;
        fractions.insert(priority, fraction);
    }
    fractions
}
