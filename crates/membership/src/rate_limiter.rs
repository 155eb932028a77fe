//! Rate limiting in windows of one second.

use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Grants at most `per_second` permits in each window of one second.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_second: usize,
    remaining: usize,
    refill_at: Duration,
}

impl RateLimiter {
    pub(crate) fn new(per_second: usize) -> Self {
        Self {
            per_second,
            remaining: per_second,
            refill_at: Duration::ZERO,
        }
    }

    /// Takes up to `wanted` permits and returns how many were granted.
    pub(crate) fn take(&mut self, now: Duration, wanted: usize) -> usize {
        if now >= self.refill_at {
            self.remaining = self.per_second;
            self.refill_at = now + SECOND;
        }
        let granted = wanted.min(self.remaining);
        self.remaining -= granted;
        granted
    }
}
