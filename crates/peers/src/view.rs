//! The members as other parts of a balancer see them.

use rand::seq::IndexedRandom;
use sequoiatrail_membership::{Member, Membership};
use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::PeerAddress;

/// A member other than this balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its identifier.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where to reach it.
    pub address: PeerAddress,
    /// Whether it can own flows.
    pub ready: bool,
    /// Whether it is suspected; it counts as live until it is taken for dead.
    pub suspect: bool,
    /// The member that reaches it when this balancer does not.
    pub via: Option<NodeId>,
    /// Newest table that it has.
    pub table: TableVersion,
    /// Newest plan of each service that it has prepared, by service.
    pub plans: Vec<(ServiceId, PlanVersion)>,
}

impl Peer {
    fn from_member(member: &Member) -> Self {
        Self {
            node: member.node(),
            domain: member.domain(),
            address: member.address(),
            ready: member.is_ready(),
            suspect: member.is_suspect(),
            via: member.via(),
            table: member.table(),
            plans: member.plans().collect(),
        }
    }

    /// Newest plan of a service that it has prepared; version 0 if it told of none.
    pub fn prepared_plan(&self, service: ServiceId) -> PlanVersion {
        let found = self.plans.binary_search_by_key(&service, |(s, _)| *s);
        found.map_or(PlanVersion::default(), |i| self.plans[i].1)
    }
}

/// Where to send what is for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// To itself.
    Direct(PeerAddress),
    /// To another that passes it on.
    Through(PeerAddress),
}

/// All members other than this balancer at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The members, in the order of their identifiers.
    pub peers: Vec<Peer>,
}

impl View {
    pub(crate) fn from_membership(membership: &Membership) -> Self {
        Self {
            peers: membership.members().map(Peer::from_member).collect(),
        }
    }

    /// A member.
    pub fn peer(&self, node: NodeId) -> Option<&Peer> {
        let found = self.peers.binary_search_by_key(&node, |p| p.node);
        found.ok().map(|i| &self.peers[i])
    }

    /// Where to send what is for a member: to itself, or to the member that reaches it.
    pub(crate) fn route(&self, node: NodeId) -> Option<Route> {
        let peer = self.peer(node)?;
        let helper = peer.via.and_then(|via| self.peer(via));
        let helper = helper.filter(|h| h.via.is_none() && !h.suspect);
        Some(match helper {
            Some(helper) => Route::Through(helper.address),
            None => Route::Direct(peer.address),
        })
    }

    /// A member that has a newer table than `than`; one of those with the newest.
    pub fn peer_with_newer_table(&self, than: TableVersion) -> Option<&Peer> {
        self.any_newest(than, |p| p.table)
    }

    /// A member that has prepared a newer plan than `than`; one of those with the newest.
    pub fn peer_with_newer_plan(&self, service: ServiceId, than: PlanVersion) -> Option<&Peer> {
        self.any_newest(than, |p| p.prepared_plan(service))
    }

    /// Any of the members with the newest version, so that not all fetch from
    /// one, and the next attempt goes to another. One that may be out of reach
    /// only if no other has it.
    fn any_newest<V: Ord + Copy>(&self, than: V, version: impl Fn(&Peer) -> V) -> Option<&Peer> {
        let newest = self.peers.iter().map(&version).max()?;
        if newest <= than {
            return None;
        }
        let holders = self.peers.iter().filter(|p| version(p) == newest);
        let (far, near): (Vec<_>, Vec<_>) = holders.partition(|p| p.suspect || p.via.is_some());
        let choice = if near.is_empty() { far } else { near };
        choice.choose(&mut rand::rng()).copied()
    }
}
