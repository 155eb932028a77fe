//! Settings of the decision core.

use std::time::Duration;

/// Settings of the decision core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Number of shards of the flow table, rounded up to a power of two.
    pub shards: usize,
    /// Maximum number of flow entries over all shards.
    pub max_flows: usize,
    /// Idle time after which a TCP flow is removed.
    pub tcp_idle: Duration,
    /// Idle time after which a UDP flow is removed.
    pub udp_idle: Duration,
    /// Time after which a closed TCP flow is removed.
    pub closed_linger: Duration,
    /// Idle time after which a half-open flow stops counting as open.
    pub opening_linger: Duration,
    /// Time after this balancer learns that a target has stopped until it gets
    /// no new flows, even if some balancers have not prepared the plan that
    /// replaces it.
    pub switch_deadline: Duration,
    /// The same deadline for moving a bucket between targets that both accept
    /// new flows.
    pub rebalance_deadline: Duration,
    /// Time after a change of the balancers during which a new owner asks the
    /// previous owners about unknown flows.
    pub previous_owner_window: Duration,
    /// Control bytes per second that [`Core::tick`](crate::Core::tick) may
    /// send.
    pub control_bytes_per_s: usize,
    /// Interval between checks whether the filters of a settled service hold
    /// mostly flows that have ended.
    pub refresh_interval: Duration,
    /// Retransmissions of one payload seen by this balancer after which a flow
    /// counts as stalled.
    pub stall_retransmits: u8,
    /// Time without progress after which a flow counts as stalled.
    pub stall_timeout: Duration,
    /// Minimum time between resets of stalled flows of the same target.
    pub reset_interval: Duration,
}

impl Default for CoreConfig {
    fn default() -> Self {
        Self {
            shards: 64,
            max_flows: 1_000_000,
            tcp_idle: Duration::from_secs(6 * 3600),
            udp_idle: Duration::from_secs(600),
            closed_linger: Duration::from_secs(30),
            opening_linger: Duration::from_secs(75),
            switch_deadline: Duration::from_millis(2_500),
            rebalance_deadline: Duration::from_secs(30),
            previous_owner_window: Duration::from_secs(600),
            control_bytes_per_s: 1_600,
            refresh_interval: Duration::from_secs(600),
            stall_retransmits: 2,
            stall_timeout: Duration::from_secs(10),
            reset_interval: Duration::from_secs(1),
        }
    }
}
