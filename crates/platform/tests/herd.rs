//! No thundering herd after an outage: followers stay within the platform's rate
//! limit, and changes still reach all of them in time.

#[path = "common/herd.rs"]
mod herd;

use herd::{Scenario, run};
use sequoiatrail_platform::Outage;
use std::time::Duration;

/// The platform's rate limit for reads and watches per second, over all nodes.
const MAX_READS_PER_SECOND: u64 = 2_000;
/// Max time until all followers have a change, in milliseconds.
const MAX_PROPAGATION_MS: u128 = 6_000;

#[test]
fn recovery_stays_within_the_rate_limit_and_is_fast() {
    for followers in [6, 60, 600] {
        for outage in [Outage::Refuse, Outage::Hang] {
            for expire in [false, true] {
                let stats = run(Scenario {
                    followers,
                    outage,
                    expire,
                    ..Scenario::default()
                });
                let peak = stats.outage_peak.max(stats.recovery_peak);
                assert!(
                    peak <= MAX_READS_PER_SECOND,
                    "{followers} {outage} {expire}: {stats:?}"
                );
                assert_eq!(
                    stats.over_rate, 0,
                    "{followers} {outage} {expire}: {stats:?}"
                );
                assert!(
                    stats.recovery_ms <= MAX_PROPAGATION_MS,
                    "{followers} {outage} {expire}: {stats:?}"
                );
            }
        }
    }
}

#[test]
fn frequent_changes_stay_within_the_rate_limit() {
    let stats = run(Scenario {
        followers: 600,
        change_every: Duration::from_millis(50),
        down: Duration::from_secs(20),
        up: Duration::from_secs(30),
        end: Duration::from_secs(50),
        ..Scenario::default()
    });
    assert!(stats.steady_peak <= MAX_READS_PER_SECOND, "{stats:?}");
    assert!(
        (1..=MAX_PROPAGATION_MS).contains(&stats.change_ms),
        "{stats:?}"
    );
}
