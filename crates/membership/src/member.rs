//! What is known of one member.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::{MemberState, MemberUpdate, PeerAddress};

/// Services whose plan versions are kept for one member.
const MAX_PLANS: usize = 8_192;

/// Probes in a row that only others brought to a member that counts as out of direct reach.
const INDIRECT_ONLY_THRESHOLD: u8 = 2;

/// A member other than this balancer, alive or suspected.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest news of it; its state is `Alive` or `Suspect`.
    pub(crate) update: MemberUpdate,
    /// When its state last changed.
    pub(crate) state_since: Duration,
    /// When it was last heard itself.
    pub(crate) last_received: Duration,
    /// When it was last heard or probed.
    pub(crate) last_checked: Duration,
    /// When a suspected member is probed next.
    pub(crate) suspect_probe_at: Duration,
    /// Up to which of this balancer's changes it acknowledged them; see [`crate::local::LocalNode`].
    pub(crate) acked_change: u64,
    /// Whether its versions may be missing here: asked for until it answers.
    pub(crate) needs_state: bool,
    /// When it is told of changes again, unless it acknowledges them before.
    pub(crate) notify_at: Duration,
    /// Probes in a row that only others could bring to it.
    missed_direct: u8,
    /// Who last reached it when this balancer did not.
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

    /// Its identifier.
    pub fn node(&self) -> NodeId {
        self.update.node
    }

    /// Its failure domain.
    pub fn domain(&self) -> FailureDomain {
        self.update.domain
    }

    /// Where to reach it.
    pub fn address(&self) -> PeerAddress {
        self.update.address
    }

    /// Whether it holds what the owner of flows needs to know.
    pub fn is_ready(&self) -> bool {
        self.update.ready
    }

    /// Whether it did not answer and has not refuted it yet.
    pub fn is_suspect(&self) -> bool {
        self.update.state == MemberState::Suspect
    }

    /// The member that reaches it when this balancer does not; `None` if this
    /// balancer reaches it itself.
    pub fn via(&self) -> Option<NodeId> {
        self.helper
            .filter(|_| self.missed_direct >= INDIRECT_ONLY_THRESHOLD)
    }

    /// It answered through `helper` only; whether it counts as out of direct reach from now on.
    pub(crate) fn record_indirect_reply(&mut self, helper: NodeId) -> bool {
        let before = self.via();
        self.missed_direct = self.missed_direct.saturating_add(1);
        self.helper = Some(helper);
        self.via() != before
    }

    /// It was heard; whether it was out of direct reach before.
    pub(crate) fn record_received(&mut self, now: Duration) -> bool {
        let before = self.via();
        self.last_received = now;
        self.last_checked = now;
        self.missed_direct = 0;
        before.is_some()
    }

    /// Newest table that it has.
    pub fn table(&self) -> TableVersion {
        self.table
    }

    /// Newest plan of a service that it has prepared; version 0 if it told of none.
    pub fn prepared(&self, service: ServiceId) -> PlanVersion {
        self.plans.get(&service).copied().unwrap_or_default()
    }

    /// Newest plan of each service that it told of.
    pub fn plans(&self) -> impl Iterator<Item = (ServiceId, PlanVersion)> + '_ {
        self.plans.iter().map(|(s, v)| (*s, *v))
    }

    /// Takes in its table version; whether that is news.
    pub(crate) fn update_table(&mut self, version: TableVersion) -> bool {
        let newer = version > self.table;
        self.table = self.table.max(version);
        newer
    }

    /// Takes in a plan version; whether that is news.
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
