//! What this VM's own link can carry.
//!
//! Load pattern: a small VM gets as many flows as a large one. Once packets wait in
//! front of its link, or are lost there, clients send them again, all its responses are
//! late and all targets look slow. The requests that fit are known before that: the
//! capacity of the link by the bytes that a request has taken lately, its share of
//! refusals and retransmissions included.

use std::time::Duration;

/// Part of the link's capacity that requests may use; the rest absorbs bursts.
const USABLE: f64 = 0.85;
/// Weight of an interval in the bytes per request.
const WEIGHT: f64 = 0.3;
/// Minimum number of requests in an interval to update them.
const MIN_REQUESTS: u32 = 8;

/// Use of this VM's link in the sending direction.
#[derive(Debug, Default)]
pub(super) struct LinkUse {
    bytes: u64,
    requests: u32,
    interval_start: Duration,
    bytes_per_request: f64,
}

impl LinkUse {
    /// Counts a packet that is sent.
    pub fn record_packet(&mut self, bytes: u64) {
        self.bytes += bytes;
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Ends the interval if it has lasted for `interval`.
    pub fn update(&mut self, now: Duration, interval: Duration) {
        if now < self.interval_start + interval || self.requests < MIN_REQUESTS {
            return;
        }
        let bytes = self.bytes as f64 / f64::from(self.requests);
        match self.bytes_per_request > 0.0 {
            true => self.bytes_per_request += (bytes - self.bytes_per_request) * WEIGHT,
            false => self.bytes_per_request = bytes,
        }
        *self = LinkUse {
            interval_start: now,
            bytes_per_request: self.bytes_per_request,
            ..LinkUse::default()
        };
    }

    /// Requests per second that a link of this capacity carries; `None` before any.
    pub fn requests_per_s(&self, bytes_per_s: f64) -> Option<f64> {
        (self.bytes_per_request > 0.0).then(|| bytes_per_s * USABLE / self.bytes_per_request)
    }
}
