//! Token bucket rate limiter for requests and retries.

use std::time::Duration;

/// A token bucket: a steady rate with a bounded burst. The caller passes the time.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Capacity in tokens.
    burst: f64,
    /// Tokens at `refilled_at`; 0 to `burst`.
    tokens: f64,
    /// Time of the last refill.
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens, refilled at `rate` tokens per second.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes one token, or returns the time until one is available.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.take_many(now, 1.0)
    }

    /// Takes `tokens` at once, or returns the time until they are available. More
    /// than `burst` never are.
    pub fn take_many(&mut self, now: Duration, tokens: f64) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= tokens {
            self.tokens -= tokens;
            return Ok(());
        }
        let missing = tokens - self.tokens;
        Err(Duration::from_secs_f64(missing / self.rate.max(1e-3)))
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
    }
}
