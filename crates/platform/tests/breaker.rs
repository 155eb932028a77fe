//! A store that turns a VM away, tried by three callers.

use std::time::Duration;

use sequoiatrail_platform::Breaker;

const CALLERS: [&str; 3] = ["config", "evacuations", "servers"];

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn failed() -> Breaker {
    let mut breaker = Breaker::default();
    for caller in CALLERS {
        breaker.record_failure(secs(1.0), caller);
    }
    breaker
}

#[test]
fn a_caller_that_does_not_fail_is_allowed() {
    let mut breaker = Breaker::default();
    breaker.record_failure(secs(1.0), "config");
    assert!(breaker.allows(secs(1.0), "servers"));
}

#[test]
fn one_of_the_failing_callers_tries_for_all() {
    let breaker = failed();
    let allowed = CALLERS.map(|caller| breaker.allows(secs(2.0), caller));
    assert_eq!(allowed, [true, false, false]);
}

#[test]
fn after_its_success_the_next_one_tries_at_once() {
    let mut breaker = failed();
    breaker.record_success("config");
    let allowed = CALLERS.map(|caller| breaker.allows(secs(2.0), caller));
    assert_eq!(allowed, [true, true, false]);
}

#[test]
fn no_caller_waits_for_others_for_long() {
    let mut breaker = failed();
    breaker.record_failure(secs(5.9), "config");
    assert!(!breaker.allows(secs(5.9), "servers"));
    assert!(breaker.allows(secs(6.0), "servers"));
}

/// Load: 9 s during which each call is refused at once.
#[test]
fn an_outage_costs_few_calls() {
    let mut breaker = Breaker::default();
    let mut calls = 0;
    for tenth in 0..90 {
        let now = secs(f64::from(tenth) / 10.0);
        for caller in CALLERS {
            // Each caller is due every second.
            if tenth % 10 == 0 && breaker.allows(now, caller) {
                breaker.record_failure(now, caller);
                calls += 1;
            }
        }
    }
    assert!(calls <= 9 + 2 * 2, "{calls} calls, 27 without the breaker");
}
