//! Demand for one service by priority.
//!
//! Load pattern: a long flow that is admitted brings requests later, and those can't be
//! refused. Requests on open flows are therefore counted apart from first attempts of
//! new flows: the admitted fraction of new flows is what the open ones leave.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the smoothed rates.
const SMOOTHING: Duration = Duration::from_millis(200);
/// Standard deviations of a count beyond which its rate has changed: it is then taken
/// as it is, so that a burst shows in the interval in which it begins.
const CHANGED_DEVIATIONS: f64 = 4.0;
/// Attempts that a refused client makes in all, at once after each refusal.
pub(super) const ATTEMPTS: f64 = 3.0;

/// Demand of one priority.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PriorityRates {
    /// Requests per second on flows that had one before.
    pub open: f64,
    /// First attempts of new flows per second, accepted or not.
    pub first: f64,
    /// New flows accepted per second.
    pub accepted: f64,
    /// New flows refused per second, repeated attempts included.
    pub refused: f64,
}

/// Counts of the current interval.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    open: u32,
    accepted: u32,
    refused: u32,
}

/// Demand for one service.
#[derive(Debug, Default)]
pub(super) struct Demand {
    counts: BTreeMap<u32, Counts>,
    rates: BTreeMap<u32, PriorityRates>,
    /// Requests per second sent to targets in the last interval.
    sent: f64,
}

impl Demand {
    /// Counts a request on a flow that had one before.
    pub fn record_open(&mut self, priority: u32) {
        self.counts.entry(priority).or_default().open += 1;
    }

    /// Counts the first SYN of a flow.
    pub fn record_attempt(&mut self, priority: u32, accepted: bool) {
        let counts = self.counts.entry(priority).or_default();
        match accepted {
            true => counts.accepted += 1,
            false => counts.refused += 1,
        }
    }

    /// Ends an interval of length `elapsed`, in which `fraction` of the clients of each
    /// priority were admitted.
    pub fn finish_interval(&mut self, elapsed: Duration, fraction: impl Fn(u32) -> f64) {
        let elapsed = elapsed.as_secs_f64();
        let sent = self.counts.values().map(|c| c.open + c.accepted);
        self.sent = f64::from(sent.sum::<u32>()) / elapsed;
        for priority in self.counts.keys() {
            self.rates.entry(*priority).or_default();
        }
        for (priority, rates) in &mut self.rates {
            let counts = self.counts.remove(priority).unwrap_or_default();
            let smooth = |old: f64, count: f64| smoothed(old, count, elapsed);
            let first = first_attempts(counts, fraction(*priority));
            rates.open = smooth(rates.open, f64::from(counts.open));
            rates.first = smooth(rates.first, first);
            rates.accepted = smooth(rates.accepted, f64::from(counts.accepted));
            rates.refused = smooth(rates.refused, f64::from(counts.refused));
        }
    }

    /// Rates by priority, the most urgent first.
    pub fn rates(&self) -> impl Iterator<Item = (u32, PriorityRates)> {
        self.rates
            .iter()
            .map(|(priority, rates)| (*priority, *rates))
    }

    /// Requests per second that clients have, answered or not.
    pub fn offered(&self) -> f64 {
        self.rates.values().map(|r| r.open + r.first).sum()
    }

    /// Requests per second on open flows, and new flows accepted per second.
    pub fn open_and_accepted(&self) -> (f64, f64) {
        let open = self.rates.values().map(|r| r.open).sum();
        let accepted = self.rates.values().map(|r| r.accepted).sum();
        (open, accepted)
    }

    /// Requests per second sent to targets in the last interval.
    pub fn sent(&self) -> f64 {
        self.sent
    }
}

/// A rate after `count` events in `elapsed` seconds.
fn smoothed(old: f64, count: f64, elapsed: f64) -> f64 {
    let expected = old * elapsed;
    if (count - expected).abs() > CHANGED_DEVIATIONS * expected.max(1.0).sqrt() {
        return count / elapsed;
    }
    let weight = 1.0 - (-elapsed / SMOOTHING.as_secs_f64()).exp();
    old + weight * (count / elapsed - old)
}

/// Number of clients that tried: all attempts of a client get the same answer, so the
/// accepted ones are the admitted fraction of all.
fn first_attempts(counts: Counts, fraction: f64) -> f64 {
    let accepted = f64::from(counts.accepted);
    let refused = f64::from(counts.refused);
    let fewest = accepted + refused / ATTEMPTS;
    if fraction <= 0.0 {
        return fewest;
    }
    (accepted / fraction).clamp(fewest, accepted + refused)
}
