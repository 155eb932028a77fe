//! A rate of calls or retries, on a clock passed in.

use std::time::Duration;

/// A token bucket on a clock passed in: a steady rate with a bounded burst.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Most tokens kept.
    burst: f64,
    /// Tokens at `at`; from 0 to `burst`.
    tokens: f64,
    /// Time of the last refill.
    at: Duration,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens that gains `rate` tokens a second.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            at: Duration::ZERO,
        }
    }

    /// Takes one token, or says how long until there is one.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.take_many(now, 1.0)
    }

    /// Takes so many tokens at once, or says how long until there are as many.
    /// More than the burst are never there.
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
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.burst);
    }
}
