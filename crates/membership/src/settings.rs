//! Settings of the failure detector.

use std::time::Duration;

/// Settings of [`Membership`](crate::Membership).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval between two failure detection probes sent by this balancer.
    pub probe_interval: Duration,
    /// Time after which an unanswered probe is retransmitted.
    pub retransmit_timeout: Duration,
    /// Time to wait for a direct reply before other members are requested to probe.
    pub direct_timeout: Duration,
    /// Time to wait for an indirect reply before the probed balancer is suspected.
    pub indirect_timeout: Duration,
    /// Number of members requested to probe indirectly.
    pub indirect_probes: usize,
    /// Time in which a suspect can refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Interval between two probes of a suspected balancer.
    pub suspect_probe_interval: Duration,
    /// Interval between two attempts to reach balancers that are not members, by their
    /// addresses.
    pub reconnect_interval: Duration,
    /// Time for which the tombstone of a dead or departed balancer is kept.
    pub tombstone_ttl: Duration,
    /// Time between two calls of the detector that counts as a pause of the process.
    pub pause_threshold: Duration,
    /// Number of members to which a new update is sent immediately.
    pub fanout: usize,
    /// Number of transmissions of an update, multiplied by the base-2 logarithm of the
    /// number of members.
    pub retransmit_factor: u32,
    /// Queued updates in one message, not counting those about its sender and receiver.
    pub updates_per_message: usize,
    /// Members that are notified of a new version in each second, starting immediately.
    /// A leave is announced to as many in each round.
    pub notifications_per_second: usize,
    /// Requests for state that are answered with a sample of members in each second.
    pub introductions_per_second: usize,
    /// Maximum number of members.
    pub max_members: usize,
    /// Maximum number of tombstones.
    pub max_tombstones: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            retransmit_timeout: Duration::from_millis(60),
            direct_timeout: Duration::from_millis(150),
            indirect_timeout: Duration::from_millis(250),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_millis(1_000),
            suspect_probe_interval: Duration::from_millis(250),
            reconnect_interval: Duration::from_secs(3),
            tombstone_ttl: Duration::from_secs(600),
            pause_threshold: Duration::from_secs(1),
            fanout: 3,
            retransmit_factor: 3,
            updates_per_message: 6,
            notifications_per_second: 32,
            introductions_per_second: 4,
            max_members: 512,
            max_tombstones: 4_096,
        }
    }
}
