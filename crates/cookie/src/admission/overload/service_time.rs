//! Service time of the usual response of a service.
//!
//! Load pattern: a burst lengthens queues within milliseconds, and latencies then say
//! nothing of the work. Only requests count that found a free slot at their target.

use std::time::Duration;

/// Number of responses over which the mean is taken.
const WINDOW: f64 = 128.0;
/// Number of responses before the mean is used.
const MIN_SAMPLES: f64 = 16.0;

/// Mean latency of requests that did not wait, the path included.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    mean_s: f64,
    /// Number of responses, up to `WINDOW`.
    samples: f64,
}

impl ServiceTime {
    /// Records the latency of a request that found a free slot.
    pub fn record(&mut self, latency: Duration) {
        self.samples = (self.samples + 1.0).min(WINDOW);
        self.mean_s += (latency.as_secs_f64() - self.mean_s) / self.samples;
    }

    /// Service times that fit into a latency, both without the path; `None` before enough
    /// responses were seen.
    pub fn fitting(&self, latency: Duration, path: Duration) -> Option<f64> {
        let path = path.as_secs_f64();
        let service_time = self.mean_s - path;
        let known = self.samples >= MIN_SAMPLES && service_time > 0.0;
        known.then(|| (latency.as_secs_f64() - path) / service_time)
    }
}
