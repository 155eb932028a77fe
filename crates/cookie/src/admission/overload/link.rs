//! What this VM's own link can carry.
//!
//! Load pattern: a small VM gets as many flows as a large one. Once packets wait in
//! front of its link, or are lost there, clients send them again, all its responses are
//! late and all targets look slow. The requests that fit are known before that: what
//! refusals leave of the link's capacity, by the bytes that a request takes while there
//! is no overload.

use std::time::Duration;

/// Part of the link's capacity that may be used; the rest absorbs bursts, and what
/// clients send again.
const USABLE: f64 = 0.8;
/// Weight of an interval in the averages.
const WEIGHT: f64 = 0.3;
/// Minimum number of requests in an interval to update the bytes per request.
const MIN_REQUESTS: u32 = 8;

/// Use of this VM's link, both directions together.
#[derive(Debug, Default)]
pub(super) struct LinkUse {
    forwarded_bytes: u64,
    reset_bytes: u64,
    requests: u32,
    interval_start: Duration,
    bytes_per_request: Option<f64>,
    reset_bytes_per_s: f64,
}

impl LinkUse {
    /// Counts a packet that is received and forwarded.
    pub fn record_forwarded(&mut self, bytes: u32) {
        self.forwarded_bytes += 2 * u64::from(bytes);
    }

    /// Counts a packet that is received and answered by a reset.
    pub fn record_reset(&mut self, bytes: u32) {
        self.reset_bytes += 2 * u64::from(bytes);
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Ends the interval if it has lasted for `interval`. While `overloaded`, packets that
    /// are sent again would make requests look larger than they are.
    pub fn update(&mut self, now: Duration, interval: Duration, overloaded: bool) {
        let elapsed = now.saturating_sub(self.interval_start);
        if elapsed < interval {
            return;
        }
        let reset = self.reset_bytes as f64 / elapsed.as_secs_f64();
        self.reset_bytes_per_s += (reset - self.reset_bytes_per_s) * WEIGHT;
        self.reset_bytes = 0;
        self.interval_start = now;
        if self.requests < MIN_REQUESTS && !overloaded {
            return;
        }
        if !overloaded {
            let bytes = self.forwarded_bytes as f64 / f64::from(self.requests);
            let average = self.bytes_per_request.unwrap_or(bytes);
            self.bytes_per_request = Some(average + (bytes - average) * WEIGHT);
        }
        self.forwarded_bytes = 0;
        self.requests = 0;
    }

    /// Requests per second that a link of this capacity carries; `None` before any.
    pub fn requests_per_s(&self, bytes_per_s: f64) -> Option<f64> {
        let left = (bytes_per_s * USABLE - self.reset_bytes_per_s).max(0.0);
        Some(left / self.bytes_per_request?)
    }
}
