//! Which of several callers tries a store that fails them all.
//!
//! Load pattern: the store is away, or turns this VM away, for seconds. Each caller would
//! go on trying, and each try costs the store a call when it can least bear it. One of
//! them tries for all; as soon as it succeeds the others do, one after the other.

use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of a [`Breaker`].
#[derive(Clone, Copy, Debug)]
pub struct BreakerConfig {
    /// Time after its last failure for which a caller leaves it to another one to try.
    pub max_wait: Duration,
}

impl Default for BreakerConfig {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(5),
        }
    }
}

/// The callers that the store fails, by name.
#[derive(Debug, Default)]
pub struct Breaker {
    cfg: BreakerConfig,
    /// When the last call of each failed.
    failed_at: BTreeMap<&'static str, Duration>,
}

impl Breaker {
    /// A breaker without failures.
    pub fn new(cfg: BreakerConfig) -> Breaker {
        Breaker {
            cfg,
            ..Breaker::default()
        }
    }

    /// Whether a caller may call now: unless it fails and the first one that fails too is
    /// to try.
    pub fn allows(&self, now: Duration, caller: &str) -> bool {
        let Some(failed_at) = self.failed_at.get(caller) else {
            return true;
        };
        let first = self.failed_at.first_key_value();
        first.is_some_and(|(first, _)| *first == caller) || now >= *failed_at + self.cfg.max_wait
    }

    /// Whether the last call of a caller failed.
    pub fn is_failing(&self, caller: &str) -> bool {
        self.failed_at.contains_key(caller)
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self, now: Duration, caller: &'static str) {
        self.failed_at.insert(caller, now);
    }

    /// Records that a call succeeded.
    pub fn record_success(&mut self, caller: &str) {
        self.failed_at.remove(caller);
    }

    /// Forgets all failures, since the callers start over.
    pub fn reset(&mut self) {
        self.failed_at.clear();
    }
}
