//! State kept for each member.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::{MemberState, MemberUpdate, PeerAddress};

/// Maximum number of services whose plan versions are kept for one member.
const MAX_PLANS: usize = 8_192;

/// Consecutive probes answered only through helpers after which a member counts as not
/// directly reachable.
const INDIRECT_ONLY_THRESHOLD: u8 = 2;

/// A member other than this balancer, alive or suspected.
#[derive(Clone, Debug)]
pub struct Member {
    /// The latest update; its state is `Alive` or `Suspect`.
    pub(crate) update: MemberUpdate,
    /// Time of the last state change.
    pub(crate) state_since: Duration,
    /// Time of the last message from the member itself.
    pub(crate) last_received: Duration,
    /// Time of the last message from the member or failure detection probe to it.
    pub(crate) last_checked: Duration,
    /// Time of the next probe while the member is suspected.
    pub(crate) suspect_probe_at: Duration,
    /// Last change of this balancer that it acknowledged; see [`crate::local::LocalNode`].
    pub(crate) acked_change: u64,
    /// Whether its versions may be missing here; requested until it replies.
    pub(crate) needs_state: bool,
    /// Time of the next notification if changes are still unacknowledged then.
    pub(crate) notify_at: Duration,
    /// Consecutive probes that were answered only through helpers.
    missed_direct: u8,
    /// The helper of the last indirect reply.
    helper: Option<NodeId>,
    table: TableVersion,
    plans: BTreeMap<ServiceId, PlanVersion>,
}

impl Member {
    pub(crate) fn new(update: MemberUpdate, now: Duration) -> Self {
        Self {
            update,
            state_since: now,
            last_received: now,
            last_checked: now,
            suspect_probe_at: now,
            acked_change: 0,
            needs_state: true,
            notify_at: now,
            missed_direct: 0,
            helper: None,
            table: TableVersion::default(),
            plans: BTreeMap::new(),
        }
    }

    /// Identifier of the balancer process.
    pub fn node(&self) -> NodeId {
        self.update.node
    }

    /// Failure domain of the balancer.
    pub fn domain(&self) -> FailureDomain {
        self.update.domain
    }

    /// Addresses of the balancer.
    pub fn address(&self) -> PeerAddress {
        self.update.address
    }

    /// Whether it has the state required to own flows.
    pub fn is_ready(&self) -> bool {
        self.update.ready
    }

    /// Whether it is suspected of having failed.
    pub fn is_suspect(&self) -> bool {
        self.update.state == MemberState::Suspect
    }

    /// The helper through which the member is reachable; `None` if it is directly reachable.
    pub fn via(&self) -> Option<NodeId> {
        self.helper
            .filter(|_| self.missed_direct >= INDIRECT_ONLY_THRESHOLD)
    }

    /// Records a reply that came only through `helper`; returns whether [`Self::via`] changed.
    pub(crate) fn record_indirect_reply(&mut self, helper: NodeId) -> bool {
        let before = self.via();
        self.missed_direct = self.missed_direct.saturating_add(1);
        self.helper = Some(helper);
        self.via() != before
    }

    /// Records a message from the member; returns whether it was not directly reachable before.
    pub(crate) fn record_received(&mut self, now: Duration) -> bool {
        let before = self.via();
        self.last_received = now;
        self.last_checked = now;
        self.missed_direct = 0;
        before.is_some()
    }

    /// Latest table version that it announced.
    pub fn table(&self) -> TableVersion {
        self.table
    }

    /// Latest plan of a service that it announced as prepared; version 0 if there is none.
    pub fn prepared(&self, service: ServiceId) -> PlanVersion {
        self.plans.get(&service).copied().unwrap_or_default()
    }

    /// Latest prepared plan of each service that it announced.
    pub fn plans(&self) -> impl Iterator<Item = (ServiceId, PlanVersion)> + '_ {
        self.plans.iter().map(|(s, v)| (*s, *v))
    }

    /// Stores an announced table version; returns whether it is newer than the known one.
    pub(crate) fn update_table(&mut self, version: TableVersion) -> bool {
        let newer = version > self.table;
        self.table = self.table.max(version);
        newer
    }

    /// Stores an announced plan version; returns whether it is newer than the known one.
    pub(crate) fn update_plan(&mut self, service: ServiceId, version: PlanVersion) -> bool {
        if !self.plans.contains_key(&service) && self.plans.len() >= MAX_PLANS {
            return false;
        }
        let known = self.plans.entry(service).or_default();
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }
}
