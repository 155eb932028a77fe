//! Jittered waits after failures.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Settings of a [`Backoff`].
#[derive(Clone, Copy, Debug)]
pub struct BackoffConfig {
    /// Longest wait after the first failure.
    pub initial_delay: Duration,
    /// Longest wait after any failure.
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

/// Waits that double with each failure in a row, each drawn at random from the
/// upper half, so that callers which next_delay together do not return together.
#[derive(Debug)]
pub struct Backoff {
    cfg: BackoffConfig,
    /// Failures in a row.
    failures: u32,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// A backoff without failures, with its own random numbers.
    pub fn new(cfg: BackoffConfig, seed: u64) -> Self {
        Self {
            cfg,
            failures: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// How long to wait after one more failure; never less than `retry_delay`.
    pub fn next_delay(&mut self, retry_delay: Option<Duration>) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let longest = self.cfg.initial_delay.saturating_mul(1 << doublings);
        let longest = longest.min(self.cfg.max_delay);
        let wait = longest / 2 + self.jitter(longest / 2);
        match retry_delay {
            Some(least) => least + self.jitter(least.max(longest)),
            None => wait,
        }
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A random time from 0 up to `most`.
    pub fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random::<f64>())
    }
}
