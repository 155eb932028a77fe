//! Settings of target health.

use std::time::Duration;

use crate::RetryBudgetSettings;

/// How targets are probed and when they are marked down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Number of balancers that probe each target.
    pub probers: usize,
    /// Time between two probes of a target by the same balancer.
    pub probe_interval: Duration,
    /// Delay before a failed probe is retried, while the retry budget lasts.
    pub retry_interval: Duration,
    /// Consecutive failed probes after which a balancer finds a target unhealthy.
    pub failure_threshold: u32,
    /// Consecutive failed probes after which the only live balancer marks a target
    /// down, as no other can confirm it.
    pub solo_failure_threshold: u32,
    /// Consecutive successful probes after which a balancer finds it healthy again.
    pub success_threshold: u32,
    /// Time after which an observation that was not renewed expires.
    pub observation_ttl: Duration,
    /// Interval at which an unchanged observation is sent again.
    pub refresh_interval: Duration,
    /// Number of times that a changed observation is sent, since messages get lost.
    pub transmissions: u32,
    /// Interval between these transmissions.
    pub retransmit_interval: Duration,
    /// Answered flows within `flow_window` that prove a target healthy, and
    /// retransmitted first packets without an answered flow in between that prove
    /// it unhealthy.
    pub flow_threshold: u32,
    /// Window in which answered flows are counted, and how long the result is valid
    /// afterwards. Kept short so that flows from before a crash do not hide the
    /// crash.
    pub flow_window: Duration,
    /// Time for which a target must leave first packets unanswered before it is
    /// found unhealthy.
    pub unanswered_duration: Duration,
    /// Time since the last unanswered retransmission after which the earlier ones
    /// are discarded.
    pub unanswered_ttl: Duration,
    /// Time that a target must stay healthy before it is marked up, the first time.
    pub hold_down: Duration,
    /// Maximum hold-down of a flapping target.
    pub max_hold_down: Duration,
    /// Half-life of the flap penalty.
    pub penalty_half_life: Duration,
    /// Fraction of a service's targets above which failing probes are taken for a
    /// fault of the probing, and unanswered first packets for a flood; both are then
    /// ignored.
    pub distrust_threshold: f64,
    /// Retry budget of failed probes.
    pub retry_budget: RetryBudgetSettings,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            probers: 3,
            probe_interval: Duration::from_secs(1),
            retry_interval: Duration::from_millis(200),
            failure_threshold: 2,
            solo_failure_threshold: 4,
            success_threshold: 2,
            observation_ttl: Duration::from_secs(35),
            refresh_interval: Duration::from_secs(10),
            transmissions: 3,
            retransmit_interval: Duration::from_millis(250),
            flow_threshold: 8,
            flow_window: Duration::from_secs(1),
            unanswered_duration: Duration::from_secs(1),
            unanswered_ttl: Duration::from_secs(10),
            hold_down: Duration::from_secs(5),
            max_hold_down: Duration::from_secs(300),
            penalty_half_life: Duration::from_secs(300),
            distrust_threshold: 0.5,
            retry_budget: RetryBudgetSettings::default(),
        }
    }
}
