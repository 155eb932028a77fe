//! A balancer of a run: a decision core and its failure detector.

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

/// Whether a balancer works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// Works.
    Up,
    /// Hears and sends nothing until this time.
    Paused(Duration),
    /// Gone for good.
    Gone,
}

/// Step of a balancer that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leaving {
    /// Waits until its open buckets are settled.
    Settling { since: Duration },
    /// Tells the others what only it knows.
    HandingOver { since: Duration },
    /// Owns nothing any more.
    Unready { since: Duration },
}

/// A balancer.
pub(crate) struct Balancer {
    pub node: NodeId,
    pub domain: FailureDomain,
    pub core: Core,
    pub membership: Membership,
    pub life: Life,
    /// The fabric sends packets to it.
    pub in_fabric: bool,
    /// It takes packets: a balancer that joins does so as soon as it knows a
    /// ready balancer to relay to.
    pub listening: bool,
    /// Where it is on its way out, until it has announced that it leaves.
    pub leaving: Option<Leaving>,
    /// The live balancers that the core was told of last.
    pub told: Vec<Peer>,
}

impl Balancer {
    /// A balancer with an empty state.
    pub fn new(number: usize, domains: u16, seed: u64) -> Self {
        let node = NodeId(number as u64 + 1);
        let domain = FailureDomain(number as u16 % domains);
        let address = PeerAddress {
            ip: IpAddr::V4(ip_of(number)),
            control_port: CONTROL_PORT,
            relay_port: RELAY_PORT,
            bulk_port: BULK_PORT,
        };
        let me = Identity {
            node,
            domain,
            address,
        };
        Self {
            node,
            domain,
            core: Core::new(CoreConfig::default(), node),
            membership: Membership::new(Settings::default(), me, seed ^ node.0),
            life: Life::Up,
            in_fabric: true,
            listening: false,
            leaving: None,
            told: Vec::new(),
        }
    }

    /// Whether it hears and sends now.
    pub fn is_up(&self) -> bool {
        self.life == Life::Up
    }

    /// Whether it takes packets of the fabric now.
    pub fn takes_packets(&self) -> bool {
        self.is_up() && self.listening
    }

    /// Whether a plan is in transition here.
    pub fn has_open_buckets(&self) -> bool {
        let table = self.core.table();
        let mut services = table.services.iter();
        services.any(|s| self.core.open_buckets(s.id) > 0)
    }

    /// The live balancers as this one sees them, itself included.
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
