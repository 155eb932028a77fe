//! Settings of the failure detector.

use std::time::Duration;

/// Settings of [`Membership`](crate::Membership).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes of one balancer.
    pub probe_interval: Duration,
    /// Time for an answer before a probe is repeated.
    pub retransmit_timeout: Duration,
    /// Time for a direct answer before others are asked to probe.
    pub direct_timeout: Duration,
    /// Time for an answer through others before the probed balancer is suspected.
    pub indirect_timeout: Duration,
    /// Balancers that are asked to probe.
    pub indirect_probes: usize,
    /// Time in which a suspicion can be refuted.
    pub suspicion_timeout: Duration,
    /// Time between two probes of a suspected balancer.
    pub suspect_probe_interval: Duration,
    /// Time between two attempts to reach balancers that are no members, by
    /// their addresses.
    pub reconnect_interval: Duration,
    /// Time that a dead or leaving balancer is remembered.
    pub tombstone_ttl: Duration,
    /// Silence of the own process that counts as a pause.
    pub pause_threshold: Duration,
    /// Balancers that are told urgent news at once.
    pub fanout: usize,
    /// Times that news are passed on, for each doubling of the members.
    pub retransmit_factor: u32,
    /// News in one message, the sender's and the receiver's own not counted.
    pub updates_per_message: usize,
    /// Members that are told of a new version at once; the others are told
    /// as many in each second.
    pub notifications_per_second: usize,
    /// Balancers that ask for the state and are told members, in each second.
    pub introductions_per_second: usize,
    /// Most members that are kept.
    pub max_members: usize,
    /// Most dead or leaving balancers that are remembered.
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
