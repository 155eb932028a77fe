//! Settings of the planner.

use std::time::Duration;

/// When plans change, and how large they are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Buckets of the first plan of a service, a power of two. A service of
    /// more than a few dozen targets needs more: about 64 for each target keep
    /// the rounding of shares under 1%. A service keeps the number of its first plan.
    pub buckets: usize,
    /// Smallest relative change of a target's factor that moves buckets.
    pub factor_threshold: f64,
    /// Least time between two plans of one service that only factors call for.
    pub load_interval: Duration,
    /// Least time between two plans of one service when a target goes down or comes back.
    pub down_interval: Duration,
    /// Time after which the next balancer in rank steps in.
    pub takeover_delay: Duration,
    /// Time until a proposal without effect is made again; doubles each time.
    pub initial_retry_delay: Duration,
    /// Longest time until a proposal without effect is made again.
    pub max_retry_delay: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            buckets: 1_024,
            factor_threshold: 0.15,
            load_interval: Duration::from_secs(30),
            down_interval: Duration::from_secs(5),
            takeover_delay: Duration::from_millis(1_000),
            initial_retry_delay: Duration::from_secs(2),
            max_retry_delay: Duration::from_secs(30),
        }
    }
}
