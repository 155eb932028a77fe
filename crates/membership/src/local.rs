//! The state that this balancer publishes about itself.

use std::collections::BTreeMap;

use sequoiatrail_types::{PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::limits;
use sequoiatrail_wire::message::MemberUpdate;

/// State of this balancer. Changes are numbered consecutively; a member that
/// acknowledged change `n` is sent only later changes.
#[derive(Debug)]
pub(crate) struct LocalNode {
    pub(crate) update: MemberUpdate,
    /// Number of the last change of `update`.
    pub(crate) update_change: u64,
    /// Number of the last change that is sent to all members without waiting for a probe.
    pub(crate) notify_change: u64,
    pub(crate) table: TableVersion,
    /// Number of the last change.
    last_change: u64,
    /// Newest prepared plan of each service, with the number of its last change.
    plans: BTreeMap<ServiceId, (PlanVersion, u64)>,
}

impl LocalNode {
    pub(crate) fn new(update: MemberUpdate) -> Self {
        Self {
            update,
            update_change: 1,
            notify_change: 1,
            table: TableVersion::default(),
            last_change: 1,
            plans: BTreeMap::new(),
        }
    }

    /// Raises the incarnation beyond `above`, so that this state supersedes all earlier ones.
    pub(crate) fn raise_incarnation(&mut self, above: u32) {
        self.update.incarnation = self.update.incarnation.max(above).saturating_add(1);
        self.last_change += 1;
        self.update_change = self.last_change;
    }

    pub(crate) fn set_ready(&mut self, ready: bool) -> bool {
        if self.update.ready == ready {
            return false;
        }
        self.update.ready = ready;
        self.raise_incarnation(0);
        self.notify_change = self.last_change;
        true
    }

    pub(crate) fn set_table(&mut self, version: TableVersion) {
        if version <= self.table {
            return;
        }
        self.table = version;
        self.last_change += 1;
        self.notify_change = self.last_change;
    }

    pub(crate) fn set_prepared(&mut self, service: ServiceId, version: PlanVersion) {
        let known = self.plans.get(&service).map(|(v, _)| *v);
        if known >= Some(version) {
            return;
        }
        self.last_change += 1;
        self.plans.insert(service, (version, self.last_change));
        self.notify_change = self.last_change;
    }

    pub(crate) fn prepared(&self, service: ServiceId) -> PlanVersion {
        self.plans
            .get(&service)
            .map_or(PlanVersion::default(), |(v, _)| *v)
    }

    /// Returns the plans changed after change `acked`, oldest first and as many as fit
    /// one message, and the number of the last change that they cover.
    pub(crate) fn plans_after(&self, acked: u64) -> (Vec<(ServiceId, PlanVersion)>, u64) {
        let mut changed: Vec<_> = self
            .plans
            .iter()
            .filter(|(_, (_, change))| *change > acked)
            .map(|(service, (version, change))| (*change, *service, *version))
            .collect();
        changed.sort_unstable();
        let mut covered = self.last_change;
        if changed.len() > limits::PLANS {
            changed.truncate(limits::PLANS);
            covered = changed[limits::PLANS - 1].0;
        }
        let plans = changed.into_iter().map(|(_, s, v)| (s, v)).collect();
        (plans, covered)
    }
}
