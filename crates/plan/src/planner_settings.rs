//! Settings of the planner.

use std::time::Duration;

/// When plans change, and how many buckets they have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Number of buckets of the first plan of a service, a power of two; later
    /// plans keep it. A service with more than a few dozen targets needs more:
    /// about 64 per target keep the rounding error of the shares below 1%.
    pub buckets: usize,
    /// Minimum relative change of a target's factor that moves buckets.
    pub factor_threshold: f64,
    /// Minimum time between two plans of a service when only factors change.
    pub load_interval: Duration,
    /// Minimum time between two plans of a service when a target goes down or recovers.
    pub health_interval: Duration,
    /// Time after which the next balancer in rank takes over.
    pub takeover_delay: Duration,
    /// Delay before the first retry of an unsuccessful proposal; doubled with each retry.
    pub initial_retry_delay: Duration,
    /// Maximum delay between retries of an unsuccessful proposal.
    pub max_retry_delay: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            buckets: 1_024,
            factor_threshold: 0.15,
            load_interval: Duration::from_secs(30),
            health_interval: Duration::from_secs(5),
            takeover_delay: Duration::from_millis(1_000),
            initial_retry_delay: Duration::from_secs(2),
            max_retry_delay: Duration::from_secs(30),
        }
    }
}
