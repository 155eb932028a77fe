//! Settings of targets' health.

use std::time::Duration;

use crate::RetryBudgetSettings;

/// How targets are probed and when they count as down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Balancers that probe each target.
    pub probers: usize,
    /// Time between two probes of a target by one balancer.
    pub probe_interval: Duration,
    /// Time until a failed probe is repeated, while the retry budget lasts.
    pub retry_interval: Duration,
    /// Failed probes in a row after which a balancer calls a target unhealthy.
    pub failure_threshold: u32,
    /// Failed probes in a row after which a balancer that has nobody to agree
    /// with takes a target down.
    pub solo_failure_threshold: u32,
    /// Answered probes in a row after which a balancer calls it healthy again.
    pub success_threshold: u32,
    /// Time after which an observation that was not renewed no longer counts.
    pub observation_ttl: Duration,
    /// Time after which an unchanged observation is told again.
    pub refresh_interval: Duration,
    /// Times that a changed observation is told, since messages get lost.
    pub transmissions: u32,
    /// Time between these.
    pub retransmit_interval: Duration,
    /// Flows that speak for a target when so many were answered in the window,
    /// and against it when so many first packets were repeated with no answered
    /// flow in between.
    pub flow_threshold: u32,
    /// Time over which answered flows are counted, and for which they count after
    /// that; short, so that flows of before a crash do not hide it.
    pub flow_window: Duration,
    /// Time that repeats without an answer must last until they count.
    pub stall_duration: Duration,
    /// Time after which repeats without an answer are forgotten.
    pub stall_ttl: Duration,
    /// Time that a target must look healthy before it is up again, the first time.
    pub hold_down: Duration,
    /// Longest hold-down of a target that flaps.
    pub max_hold_down: Duration,
    /// Time in which a target that stays up loses half of its penalty.
    pub penalty_half_life: Duration,
    /// Share of a service's targets above which probes that call them dead are distrusted.
    pub distrust_threshold: f64,
    /// Budget of repeated probes.
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
            stall_duration: Duration::from_secs(1),
            stall_ttl: Duration::from_secs(10),
            hold_down: Duration::from_secs(5),
            max_hold_down: Duration::from_secs(300),
            penalty_half_life: Duration::from_secs(300),
            distrust_threshold: 0.5,
            retry_budget: RetryBudgetSettings::default(),
        }
    }
}
