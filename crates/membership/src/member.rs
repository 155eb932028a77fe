//! What is known of one member.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::{MemberState, MemberUpdate, PeerAddress};

/// Services whose plan versions are kept for one member.
const MAX_PLANS: usize = 8_192;

/// Probes in a row that only others brought to a member that counts as out of direct reach.
const MISSED: u8 = 2;

/// A member other than this balancer, alive or suspected.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest news of it; its state is `Alive` or `Suspect`.
    pub(crate) update: MemberUpdate,
    /// When its state last changed.
    pub(crate) since: Duration,
    /// When it was last heard itself.
    pub(crate) heard: Duration,
    /// When it was last heard or probed.
    pub(crate) checked: Duration,
    /// When a suspected member is probed next.
    pub(crate) confirm_at: Duration,
    /// Up to which of this balancer's changes it acknowledged them; see [`crate::local::LocalNode`].
    pub(crate) told: u64,
    /// Whether its versions may be missing here: asked for until it answers.
    pub(crate) asking: bool,
    /// When it is told of changes again, unless it acknowledges them before.
    pub(crate) notice_at: Duration,
    /// Probes in a row that only others could bring to it.
    missed: u8,
    /// Who last reached it when this balancer did not.
    helper: Option<NodeId>,
    table: TableVersion,
    plans: BTreeMap<ServiceId, PlanVersion>,
}

impl Member {
    pub(crate) fn new(update: MemberUpdate, now: Duration) -> Self {
        Self {
            update,
            since: now,
            heard: now,
            checked: now,
            confirm_at: now,
            told: 0,
            asking: true,
            notice_at: now,
            missed: 0,
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
        self.helper.filter(|_| self.missed >= MISSED)
    }

    /// It answered through `helper` only; whether it counts as out of direct reach from now on.
    pub(crate) fn reached_by(&mut self, helper: NodeId) -> bool {
        let before = self.via();
        self.missed = self.missed.saturating_add(1);
        self.helper = Some(helper);
        self.via() != before
    }

    /// It was heard; whether it was out of direct reach before.
    pub(crate) fn hear(&mut self, now: Duration) -> bool {
        let before = self.via();
        self.heard = now;
        self.checked = now;
        self.missed = 0;
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
    pub(crate) fn raise_table(&mut self, version: TableVersion) -> bool {
        let newer = version > self.table;
        self.table = self.table.max(version);
        newer
    }

    /// Takes in a plan version; whether that is news.
    pub(crate) fn raise_plan(&mut self, service: ServiceId, version: PlanVersion) -> bool {
        if !self.plans.contains_key(&service) && self.plans.len() >= MAX_PLANS {
            return false;
        }
        let known = self.plans.entry(service).or_default();
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }
}
