//! Retry budget, which keeps retries from amplifying load during a failure.

use sequoiatrail_types::Verdict;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries added by each first attempt.
    pub per_attempt: f64,
    /// Maximum of saved retries; also the initial number.
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

/// A token bucket that is filled by first attempts and drained by retries.
///
/// In the long run retries are at most `per_attempt` of the first attempts, however
/// many of these fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Available retries; at most `settings.burst`.
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget {
            settings,
            tokens: settings.burst,
        }
    }

    /// Records a first attempt.
    pub fn record_attempt(&mut self) {
        self.tokens = (self.tokens + self.settings.per_attempt).min(self.settings.burst);
    }

    /// Whether a request with this verdict may be retried; takes one retry from the
    /// budget if so. Only requests that were certainly not run are retried.
    pub fn try_retry(&mut self, verdict: Verdict) -> bool {
        verdict.is_not_run() && self.try_retry_idempotent()
    }

    /// Whether an idempotent request, such as a read or a probe, may be retried;
    /// takes one retry from the budget if so.
    pub fn try_retry_idempotent(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
