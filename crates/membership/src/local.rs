//! What this balancer tells of itself.

use std::collections::BTreeMap;

use sequoiatrail_types::{PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::limits;
use sequoiatrail_wire::message::MemberUpdate;

/// This balancer's own state. Each change gets a number, counted up; a member
/// that acknowledged change `n` is sent only what changed after it.
#[derive(Debug)]
pub(crate) struct LocalNode {
    pub(crate) update: MemberUpdate,
    /// Number of the last change of `update`.
    pub(crate) update_change: u64,
    /// Number of the last change that all members are acked at once.
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

    /// Raises the incarnation, so that the changed state replaces the older one everywhere.
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

    /// The plans that changed after change `acked`, oldest first, and the
    /// change that a receiver of them is up to date with.
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
