//! Tests of the retry budget.

use sequoiatrail_health::{RetryBudget, RetryBudgetSettings};
use sequoiatrail_types::{RefusalReason, Verdict};

#[test]
fn only_requests_that_were_not_run_are_retried() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default());
    assert!(!budget.try_retry(Verdict::MayHaveRun));
    assert!(!budget.try_retry(Verdict::Done));
    assert!(budget.try_retry(Verdict::NotRun(RefusalReason::Unavailable)));
}

#[test]
fn retries_are_bounded_when_every_attempt_fails() {
    let settings = RetryBudgetSettings::default();
    let mut budget = RetryBudget::new(settings);
    let retries = (0..10_000).filter(|_| {
        budget.record_attempt();
        budget.try_retry_idempotent()
    });
    let allowed = 10_000.0 * settings.per_attempt + settings.burst;
    assert!(retries.count() as f64 <= allowed);
}
