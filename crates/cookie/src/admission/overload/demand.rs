//! Demand for one service by priority.
//!
//! Load pattern: a long flow that is admitted brings requests later, and those can't be
//! refused. Requests on flows that are open for longer are therefore demand by
//! themselves, and a new flow counts with the requests that recent ones brought.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the smoothed rates.
const SMOOTHING: Duration = Duration::from_millis(200);
/// Standard deviations of a count beyond which its rate has changed: it is then taken
/// as it is, so that a burst shows in the interval in which it begins.
const CHANGED_DEVIATIONS: f64 = 4.0;
/// Time constant of the averages that tell how many requests a flow brings.
const SLOW_SMOOTHING: Duration = Duration::from_secs(1);
/// Time over which the fraction of requests on lasting flows is averaged: it tells what
/// the clients of a service do, and must not follow a burst.
const LASTING_WINDOW: Duration = Duration::from_secs(5);
/// Least number of new flows per request on recent flows that is taken for real; with
/// fewer, the flows were opened through other balancers.
const MIN_FLOWS_PER_REQUEST: f64 = 0.05;
/// Attempts that a refused client makes in all, at once after each refusal.
pub(super) const ATTEMPTS: f64 = 3.0;

/// Demand of one priority.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PriorityRates {
    /// Requests per second on flows that are open for longer than an epoch.
    pub old: f64,
    /// Requests per second on younger flows, after the first ones on them.
    pub recent: f64,
    /// First attempts of new flows per second, accepted or not.
    pub first: f64,
    /// New flows accepted per second.
    pub accepted: f64,
    /// New flows refused per second, repeated attempts included.
    pub refused: f64,
    /// Slow averages of `recent` and `accepted`: requests follow their flows later.
    slow: (f64, f64),
}

impl PriorityRates {
    /// Requests per second after the first ones on their flows.
    pub fn later(&self) -> f64 {
        self.old + self.recent
    }

    /// Requests that a new flow brings within an epoch.
    pub fn requests_per_flow(&self) -> f64 {
        let (recent, accepted) = self.slow;
        1.0 + recent
            / accepted
                .max(recent * MIN_FLOWS_PER_REQUEST)
                .max(f64::EPSILON)
    }
}

/// Counts of the current interval.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    old: u32,
    recent: u32,
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
    /// Average fraction of the sent requests that are on a flow which had one before.
    lasting: f64,
    /// Time that the average covers, in seconds; at most [`LASTING_WINDOW`].
    lasting_covers: f64,
}

impl Demand {
    /// Counts a request on a flow that had one before.
    pub fn record_later_request(&mut self, priority: u32, recent: bool) {
        let counts = self.counts.entry(priority).or_default();
        match recent {
            true => counts.recent += 1,
            false => counts.old += 1,
        }
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
        let sent = self.counts.values().map(|c| c.old + c.recent + c.accepted);
        self.sent = f64::from(sent.sum::<u32>()) / elapsed;
        self.update_lasting(elapsed);
        for priority in self.counts.keys() {
            self.rates.entry(*priority).or_default();
        }
        for (priority, rates) in &mut self.rates {
            let counts = self.counts.remove(priority).unwrap_or_default();
            let smooth = |old: f64, count: f64| smoothed(old, count, elapsed);
            let first = first_attempts(counts, fraction(*priority));
            rates.old = smooth(rates.old, f64::from(counts.old));
            rates.recent = smooth(rates.recent, f64::from(counts.recent));
            rates.first = smooth(rates.first, first);
            rates.accepted = smooth(rates.accepted, f64::from(counts.accepted));
            rates.refused = smooth(rates.refused, f64::from(counts.refused));
            let weight = 1.0 - (-elapsed / SLOW_SMOOTHING.as_secs_f64()).exp();
            rates.slow.0 += weight * (f64::from(counts.recent) / elapsed - rates.slow.0);
            rates.slow.1 += weight * (f64::from(counts.accepted) / elapsed - rates.slow.1);
        }
    }

    fn update_lasting(&mut self, elapsed: f64) {
        let sent = self.sent * elapsed;
        if sent <= 0.0 {
            return;
        }
        let later = self.counts.values().map(|c| c.old + c.recent);
        let fraction = f64::from(later.sum::<u32>()) / sent;
        let covers = self.lasting_covers + elapsed;
        self.lasting_covers = covers.min(LASTING_WINDOW.as_secs_f64());
        self.lasting += (fraction - self.lasting) * (elapsed / self.lasting_covers).min(1.0);
    }

    /// Fraction of the requests that are on a flow which had one before.
    pub fn lasting(&self) -> f64 {
        self.lasting
    }

    /// Rates by priority, the most urgent first.
    pub fn rates(&self) -> impl Iterator<Item = (u32, PriorityRates)> {
        self.rates
            .iter()
            .map(|(priority, rates)| (*priority, *rates))
    }

    /// Requests per second that clients have, answered or not.
    pub fn offered(&self) -> f64 {
        self.rates.values().map(|r| r.later() + r.first).sum()
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
