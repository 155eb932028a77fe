//! Snapshot of the other members for the rest of the balancer.

use rand::seq::IndexedRandom;
use sequoiatrail_membership::{Member, Membership};
use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::PeerAddress;

/// A member other than this balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Node identifier.
    pub node: NodeId,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Address and ports for peer traffic.
    pub address: PeerAddress,
    /// Whether it can own flows.
    pub ready: bool,
    /// Whether it is suspected to have failed; it counts as live until it is declared dead.
    pub suspect: bool,
    /// Member to send through while this balancer cannot reach it directly.
    pub via: Option<NodeId>,
    /// Version of its table.
    pub table: TableVersion,
    /// Newest prepared plan of each service, sorted by service.
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

    /// Newest plan of a service that it has prepared; version 0 if it announced none.
    pub fn prepared_plan(&self, service: ServiceId) -> PlanVersion {
        let found = self.plans.binary_search_by_key(&service, |(s, _)| *s);
        found.map_or(PlanVersion::default(), |i| self.plans[i].1)
    }
}

/// Path to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// Directly to the member.
    Direct(PeerAddress),
    /// To an intermediary that forwards to the member.
    Via(PeerAddress),
}

/// Snapshot of all members other than this balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The members, sorted by identifier.
    pub peers: Vec<Peer>,
}

impl View {
    pub(crate) fn from_membership(membership: &Membership) -> Self {
        Self {
            peers: membership.members().map(Peer::from_member).collect(),
        }
    }

    /// Finds a member by its identifier.
    pub fn peer(&self, node: NodeId) -> Option<&Peer> {
        let found = self.peers.binary_search_by_key(&node, |p| p.node);
        found.ok().map(|i| &self.peers[i])
    }

    /// Path to a member: via its intermediary if that one is reached directly and
    /// not suspected, otherwise direct.
    pub(crate) fn route(&self, node: NodeId) -> Option<Route> {
        let peer = self.peer(node)?;
        let intermediary = peer.via.and_then(|via| self.peer(via));
        let intermediary = intermediary.filter(|h| h.via.is_none() && !h.suspect);
        Some(match intermediary {
            Some(intermediary) => Route::Via(intermediary.address),
            None => Route::Direct(peer.address),
        })
    }

    /// Returns a random member with the newest table, if that is newer than `current`.
    pub fn peer_with_newer_table(&self, current: TableVersion) -> Option<&Peer> {
        self.random_newest(current, |p| p.table)
    }

    /// Returns a random member with the newest prepared plan of a service, if that
    /// is newer than `current`.
    pub fn peer_with_newer_plan(&self, service: ServiceId, current: PlanVersion) -> Option<&Peer> {
        self.random_newest(current, |p| p.prepared_plan(service))
    }

    /// Picks a random member among those with the newest version, which spreads
    /// the load and lets a retry try another one. Suspected and indirectly reached
    /// members are picked only if no other has that version.
    fn random_newest<V: Ord + Copy>(
        &self,
        current: V,
        version: impl Fn(&Peer) -> V,
    ) -> Option<&Peer> {
        let newest = self.peers.iter().map(&version).max()?;
        if newest <= current {
            return None;
        }
        let holders = self.peers.iter().filter(|p| version(p) == newest);
        let (degraded, preferred): (Vec<_>, Vec<_>) =
            holders.partition(|p| p.suspect || p.via.is_some());
        let candidates = if preferred.is_empty() {
            degraded
        } else {
            preferred
        };
        candidates.choose(&mut rand::rng()).copied()
    }
}
