//! Settings of the decision core.

use std::time::Duration;

/// Settings of the decision core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Shards of the flow table; a power of two.
    pub shards: usize,
    /// Most flow entries over all shards.
    pub max_flows: usize,
    /// Idle time after which a TCP flow is forgotten.
    pub tcp_idle: Duration,
    /// Idle time after which a UDP flow is forgotten.
    pub udp_idle: Duration,
    /// Time after which a closed TCP flow is forgotten.
    pub closed_linger: Duration,
    /// Time after which a flow that was only opened is forgotten.
    pub opening_linger: Duration,
    /// Time after the news of a stopped target until it gets no new flow even
    /// if other balancers have not prepared the plan that replaces it.
    pub switch_deadline: Duration,
    /// The same for a move between targets that both take new flows.
    pub rebalance_deadline: Duration,
    /// Time after a change of the balancers in which a new owner asks the
    /// previous owner of a flow that it does not know.
    pub previous_owner_window: Duration,
    /// Control bytes a second that [`Core::tick`](crate::Core::tick) gives out.
    pub control_bytes_per_s: usize,
    /// Time between two looks at whether the filters of a settled service hold
    /// mostly flows that have ended.
    pub refresh_interval: Duration,
    /// Repeats of one payload at this balancer after which a flow is silent.
    pub stall_retransmits: u8,
    /// Time without progress after which a flow is silent.
    pub stall_timeout: Duration,
    /// Least time between two resets of silent flows of one target.
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
