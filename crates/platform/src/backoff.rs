//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Settings of a [`Backoff`].
#[derive(Clone, Copy, Debug)]
pub struct BackoffConfig {
    /// Max delay after the first failure.
    pub initial_delay: Duration,
    /// Max delay after any number of failures.
    pub max_delay: Duration,
}

impl Default for BackoffConfig {
    fn default() -> Self {
        Self {
            initial_delay: Duration::from_secs(1),
            max_delay: Duration::from_secs(2),
        }
    }
}

/// Delays that double with each consecutive failure, each drawn at random from the
/// upper half of its range, so that clients that fail together don't retry together.
#[derive(Debug)]
pub struct Backoff {
    cfg: BackoffConfig,
    /// Consecutive failures.
    failures: u32,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// A backoff without failures; `seed` seeds the jitter.
    pub fn new(cfg: BackoffConfig, seed: u64) -> Self {
        Self {
            cfg,
            failures: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Counts a failure and returns the delay before a retry, which is at least
    /// `retry_delay`.
    pub fn next_delay(&mut self, retry_delay: Option<Duration>) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let cap = self.cfg.initial_delay.saturating_mul(1 << doublings);
        let cap = cap.min(self.cfg.max_delay);
        let delay = cap / 2 + self.jitter(cap / 2);
        match retry_delay {
            Some(min_delay) => min_delay + self.jitter(min_delay.max(cap)),
            None => delay,
        }
    }

    /// Resets the failure count after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A random duration from 0 up to `max`.
    pub fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random::<f64>())
    }
}
