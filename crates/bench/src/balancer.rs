//! A simulated balancer: a decision core and its failure detector.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use sequoiatrail_core::{Core, CoreConfig, Peer};
use sequoiatrail_membership::{Identity, Membership, Settings};
use sequoiatrail_types::{FailureDomain, NodeId};
use sequoiatrail_wire::message::PeerAddress;

/// Control port of every balancer.
const CONTROL_PORT: u16 = 7_001;
/// Relay port of every balancer.
const RELAY_PORT: u16 = 7_002;
/// Bulk port of every balancer.
const BULK_PORT: u16 = 7_003;

/// Whether a balancer is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// Running.
    Up,
    /// Neither receives nor sends until this time.
    Paused(Duration),
    /// Permanently gone.
    Gone,
}

/// Phase of a graceful leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeavePhase {
    /// Waits until no bucket is in transition.
    Settling { since: Duration },
    /// Hands over the flows that only it knows.
    HandingOver { since: Duration },
    /// Not ready, so that it owns no buckets.
    Unready { since: Duration },
}

/// A balancer.
pub(crate) struct Balancer {
    pub node: NodeId,
    pub domain: FailureDomain,
    pub core: Core,
    pub membership: Membership,
    pub liveness: Liveness,
    /// Whether the fabric sends packets to it.
    pub in_fabric: bool,
    /// Whether it accepts packets: a joining balancer does so as soon as it knows a
    /// ready balancer to relay to.
    pub listening: bool,
    /// Phase of its graceful leave; `None` before it and after the announcement.
    pub leaving: Option<LeavePhase>,
    /// Live balancers last reported to the core.
    pub reported_peers: Vec<Peer>,
}

impl Balancer {
    /// Creates a balancer with empty state.
    pub fn new(number: usize, domains: u16, seed: u64) -> Self {
        let node = NodeId(number as u64 + 1);
        let domain = FailureDomain(number as u16 % domains);
        let address = PeerAddress {
            ip: IpAddr::V4(ip_of(number)),
            control_port: CONTROL_PORT,
            relay_port: RELAY_PORT,
            bulk_port: BULK_PORT,
        };
        let identity = Identity {
            node,
            domain,
            address,
        };
        Self {
            node,
            domain,
            core: Core::new(CoreConfig::default(), node),
            membership: Membership::new(Settings::default(), identity, seed ^ node.0),
            liveness: Liveness::Up,
            in_fabric: true,
            listening: false,
            leaving: None,
            reported_peers: Vec::new(),
        }
    }

    /// Whether it can receive and send.
    pub fn is_up(&self) -> bool {
        self.liveness == Liveness::Up
    }

    /// Whether it accepts packets from the fabric.
    pub fn takes_packets(&self) -> bool {
        self.is_up() && self.listening
    }

    /// Whether a bucket is in transition on this balancer.
    pub fn has_open_buckets(&self) -> bool {
        let table = self.core.table();
        let mut services = table.services.iter();
        services.any(|s| self.core.open_buckets(s.id) > 0)
    }

    /// Live balancers in its own view, including itself.
    pub fn peers(&self) -> Vec<Peer> {
        let own = Peer {
            node: self.node,
            domain: self.domain,
            ready: self.membership.local().ready,
            prepared: self.own_plans(),
        };
        let others = self.membership.members().map(|m| Peer {
            node: m.node(),
            domain: m.domain(),
            ready: m.is_ready(),
            prepared: m.plans().collect(),
        });
        std::iter::once(own).chain(others).collect()
    }

    fn own_plans(
        &self,
    ) -> Vec<(
        sequoiatrail_types::ServiceId,
        sequoiatrail_types::PlanVersion,
    )> {
        let table = self.core.table();
        let services = table.services.iter();
        services
            .filter_map(|s| Some((s.id, self.core.plan_version(s.id)?)))
            .collect()
    }
}

fn ip_of(number: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0A01_0001 + number as u32)
}

/// Control address of a balancer by number.
pub(crate) fn control_address(number: usize) -> SocketAddr {
    SocketAddr::from((ip_of(number), CONTROL_PORT))
}

/// Number of the balancer at a control address.
pub(crate) fn number_at(address: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    ip.to_bits().checked_sub(0x0A01_0001).map(|n| n as usize)
}
