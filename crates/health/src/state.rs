//! Health state of one target.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::{FailureDomain, NodeId, ServiceId};

use crate::HealthSettings;
use crate::evidence::LocalEvidence;
use crate::flap_damping::FlapDamping;

/// Last observation of a target by a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerObservation {
    pub round: u32,
    pub healthy: bool,
    pub at: Duration,
}

/// Last observation of a target that was sent to the peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Advertised {
    healthy: bool,
    at: Duration,
    /// Number of transmissions since it changed.
    times: u32,
}

/// Votes of the balancers on a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Votes {
    pub unhealthy: usize,
    /// The target's probers and all balancers that find it unhealthy. A prober
    /// without an observation counts as a healthy vote.
    pub voters: usize,
}

impl Votes {
    /// Whether more than half of the voters find the target unhealthy.
    pub fn majority_unhealthy(self) -> bool {
        self.unhealthy * 2 > self.voters
    }
}

/// Health state of one target.
#[derive(Debug)]
pub(crate) struct TargetHealth {
    pub service: ServiceId,
    pub domain: FailureDomain,
    /// Whether the table lets it take new flows; only such targets are counted in
    /// the fraction of unhealthy targets of a service.
    pub started: bool,
    /// Balancers that probe it.
    pub probers: Vec<NodeId>,
    pub local: LocalEvidence,
    pub peer_observations: BTreeMap<NodeId, PeerObservation>,
    advertised: Option<Advertised>,
    /// Sequence number of the last observation sent.
    pub round: u32,
    pub down: bool,
    /// Whether this balancer's flows confirmed that the target is unhealthy.
    pub confirmed: bool,
    /// Time since which it has been healthy again, while it is still down.
    pub healthy_since: Option<Duration>,
    pub damping: FlapDamping,
}

impl TargetHealth {
    /// Creates the state of a target without any evidence.
    pub fn new(service: ServiceId) -> TargetHealth {
        TargetHealth {
            service,
            domain: FailureDomain::default(),
            started: true,
            probers: Vec::new(),
            local: LocalEvidence::default(),
            peer_observations: BTreeMap::new(),
            advertised: None,
            round: 0,
            down: false,
            confirmed: false,
            healthy_since: None,
            damping: FlapDamping::default(),
        }
    }

    /// Whether there is any evidence against the target; nearly all targets have none.
    pub fn is_suspected(&self, now: Duration, settings: &HealthSettings) -> bool {
        self.down
            || self.local.failures > 0
            || self.local.has_recent_unanswered_flows(now, settings)
            || self.peer_observations.values().any(|o| !o.healthy)
    }

    /// The votes on the target as seen by balancer `node`.
    pub fn votes(&self, now: Duration, node: NodeId, settings: &HealthSettings) -> Votes {
        let fresh = |o: &PeerObservation| now < o.at + settings.observation_ttl;
        let is_unhealthy = |o: &PeerObservation| !o.healthy && fresh(o);
        let peers = self
            .peer_observations
            .iter()
            .filter(|(_, o)| is_unhealthy(o));
        let local = self.local.healthy(now, settings) == Some(false);
        let mut unhealthy_nodes: Vec<NodeId> = peers.map(|(n, _)| *n).collect();
        unhealthy_nodes.extend(local.then_some(node));
        let silent = self.probers.iter().filter(|n| !unhealthy_nodes.contains(n));
        Votes {
            unhealthy: unhealthy_nodes.len(),
            voters: unhealthy_nodes.len() + silent.count(),
        }
    }

    /// Returns the health to send to the peers if an observation is due, and
    /// records it as sent.
    ///
    /// Only an unhealthy target and its recovery must be sent; a load is sent
    /// periodically by the balancers that probe the target.
    pub fn advertise(&mut self, now: Duration, settings: &HealthSettings) -> Option<bool> {
        let healthy = self.local.healthy(now, settings).unwrap_or(true);
        let same = self.advertised.filter(|a| a.healthy == healthy);
        let due = match (same, healthy) {
            (None, false) => true,
            (None, true) => self.advertised.is_some() || self.local.load > 0,
            (Some(a), false) => now >= a.at + a.interval(settings),
            (Some(a), true) if a.times < settings.transmissions => {
                now >= a.at + settings.retransmit_interval
            }
            (Some(a), true) => self.local.load > 0 && now >= a.at + settings.refresh_interval,
        };
        if !due {
            return None;
        }
        // The first healthy observation only carries the load. It retracts
        // nothing, so it needs no retransmission.
        let first = match self.advertised {
            None if healthy => settings.transmissions,
            _ => 1,
        };
        self.advertised = Some(Advertised {
            healthy,
            at: now,
            times: same.map_or(first, |a| a.times + 1),
        });
        Some(healthy)
    }

    /// Whether the last observation must be sent again, since peers may still hold
    /// that this balancer finds the target unhealthy.
    pub fn needs_retransmit(&self, settings: &HealthSettings) -> bool {
        let pending = |a: &Advertised| !a.healthy || a.times < settings.transmissions;
        self.advertised.as_ref().is_some_and(pending)
    }
}

impl Advertised {
    /// Time until the next transmission.
    fn interval(&self, settings: &HealthSettings) -> Duration {
        if self.times < settings.transmissions {
            return settings.retransmit_interval;
        }
        settings.refresh_interval
    }
}
