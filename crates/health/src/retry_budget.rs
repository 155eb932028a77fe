//! A budget of retries, so that a fault does not multiply the load.

use sequoiatrail_types::Verdict;

/// Size of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries earned by each first attempt.
    pub per_attempt: f64,
    /// Most retries saved up; also the number at the start.
    pub burst: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            per_attempt: 0.1,
            burst: 10.0,
        }
    }
}

/// A token bucket that first attempts fill and retries empty.
///
/// Over a long time retries are at most `per_attempt` of the first attempts,
/// whatever share of them fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Retries left; at most `settings.burst`.
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget {
            settings,
            tokens: settings.burst,
        }
    }

    /// Counts a first attempt.
    pub fn record_attempt(&mut self) {
        self.tokens = (self.tokens + self.settings.per_attempt).min(self.settings.burst);
    }

    /// Whether a request with this verdict may be tried again now; takes one
    /// retry from the budget if so. Only what surely was not run is retried.
    pub fn try_retry(&mut self, verdict: Verdict) -> bool {
        verdict.is_not_run() && self.try_retry_idempotent()
    }

    /// Whether an idempotent request, such as a read or a probe, may be
    /// repeated now; takes one retry from the budget if so.
    pub fn try_retry_idempotent(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
