//! Snapshots of manifest and targets, exchanged between balancers.

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_types::StoreRevision;
use snafu::{Snafu, ensure};

use crate::packets::routes::ManifestOutcome;
use crate::targets::directory::TargetChange;
use crate::{
    Balancer, EvacuationEvent, EvacuationList, Manifest, ManifestVersion, TargetEntry, TargetEvent,
    TargetId,
};

/// Longest time that another balancer can tell; a longer one can't be added to the clock,
/// and means the same.
const LONGEST_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Result of checking a snapshot.
pub type Result<T, E = SnapshotError> = std::result::Result<T, E>;

/// Why a snapshot is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SnapshotError {
    /// A route without a service of positive weight.
    #[snafu(display("route {address} has no service with a positive weight"))]
    NoService {
        /// Address of the route.
        address: std::net::SocketAddrV4,
    },
    /// A target that can't process any request.
    #[snafu(display("target {id} has 0 request slots"))]
    NoSlots {
        /// The target.
        id: TargetId,
    },
}

/// The shared state that decisions depend on; enough to bootstrap another balancer.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Store revision of the target list.
    #[serde(flatten)]
    pub revision: StoreRevision,
    /// Targets with a valid entry.
    pub targets: Vec<TargetEntry>,
    /// Targets with an unreadable entry; they keep their flows.
    #[serde(default)]
    pub unreadable: Vec<TargetId>,
    /// Targets that a restored store lacks and that may write their entries again.
    #[serde(default)]
    pub unconfirmed: Vec<TargetEntry>,
    /// The evacuations in force; `None` if the sender doesn't follow them.
    #[serde(default)]
    pub evacuations: Option<EvacuationList>,
    /// The manifest in force.
    pub manifest: Manifest,
    /// Store revision at which it was written.
    #[serde(default)]
    pub manifest_at: StoreRevision,
}

/// What another balancer knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownRevisions {
    /// Its manifest.
    pub manifest: ManifestVersion,
    /// Store revision of its targets.
    pub targets: StoreRevision,
    /// Store revision of its evacuations; `None` if it doesn't follow them.
    pub evacuations: Option<StoreRevision>,
}

/// Result of applying a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotOutcome {
    /// Whether its manifest was applied.
    pub manifest: ManifestOutcome,
    /// Changes to targets.
    pub targets: Vec<(TargetId, TargetEvent)>,
    /// Changes of evacuations.
    pub evacuations: Vec<(Arc<str>, EvacuationEvent)>,
}

impl Snapshot {
    /// Checks the invariants that decisions rely on.
    ///
    /// # Errors
    ///
    /// If a route has no service of positive weight or a target has no slots.
    pub fn check(&self) -> Result<()> {
        for route in &self.manifest.routes {
            let address = route.address;
            let served = route.shares.iter().any(|s| s.weight > 0);
            ensure!(served, NoServiceSnafu { address });
        }
        for target in self.targets.iter().chain(&self.unconfirmed) {
            ensure!(target.slots > 0, NoSlotsSnafu { id: target.id });
        }
        Ok(())
    }

    /// Shortens lengths of time that can't be calculated with.
    fn limit_times(&mut self) {
        let targets = self.targets.iter_mut().chain(&mut self.unconfirmed);
        targets.for_each(limit_entry_times);
        let manifest = &mut self.manifest;
        manifest.flow_idle = manifest.flow_idle.min(LONGEST_TIME);
        for route in &mut manifest.routes {
            route.latency_goal = route.latency_goal.map(|goal| goal.min(LONGEST_TIME));
        }
    }
}

/// Shortens lengths of time in a target that another balancer told of.
pub(crate) fn limit_entry_times(entry: &mut TargetEntry) {
    entry.cold_for = entry.cold_for.min(LONGEST_TIME);
}

impl Balancer {
    /// State to bootstrap another balancer; `None` before this one is ready.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let manifest = self.manifest.as_deref()?.clone();
        if !self.directory.is_loaded() {
            return None;
        }
        Some(Snapshot {
            revision: self.directory.revision(),
            targets: self.directory.listed().cloned().collect(),
            unreadable: self.directory.unreadable_entries().collect(),
            unconfirmed: self.directory.unconfirmed().cloned().collect(),
            evacuations: self.evacuations.list(),
            manifest,
            manifest_at: self.routes.in_force().at,
        })
    }

    /// A snapshot for a balancer that knows this much; `None` if there is nothing newer.
    pub fn snapshot_after(&self, known: &KnownRevisions) -> Option<Snapshot> {
        let evacuations = known
            .evacuations
            .is_some_and(|known| self.evacuations.revision() > known);
        let newer = self.routes.in_force() > known.manifest
            || self.directory.revision() > known.targets
            || evacuations;
        if newer { self.snapshot() } else { None }
    }

    /// Applies another balancer's snapshot as far as it is newer. Targets missing
    /// from it keep their flows for a grace period, as when they vanish while the
    /// store is unstable.
    ///
    /// # Errors
    ///
    /// If the snapshot is invalid; nothing has changed then.
    pub fn apply_snapshot(
        &mut self,
        now: Duration,
        mut snapshot: Snapshot,
    ) -> Result<SnapshotOutcome> {
        snapshot.check()?;
        snapshot.limit_times();
        let manifest = self.apply_manifest(snapshot.manifest.into(), snapshot.manifest_at);
        let unreadable = snapshot.unreadable.into_iter();
        let listed = snapshot.targets.into_iter().map(TargetChange::Present);
        let unconfirmed = snapshot.unconfirmed.into_iter();
        let unconfirmed = unconfirmed.map(TargetChange::Unconfirmed);
        let list = listed.chain(unreadable.map(TargetChange::Unreadable));
        let list = list.chain(unconfirmed).collect();
        let isolated = self.is_isolated();
        let targets = self
            .directory
            .replace_from_peer(now, snapshot.revision, list);
        self.handle_target_events(now, isolated, &targets);
        let evacuations = self.apply_peer_evacuations(now, snapshot.evacuations);
        Ok(SnapshotOutcome {
            manifest,
            targets,
            evacuations,
        })
    }

    /// Applies another balancer's evacuations. One that doesn't follow them tells none;
    /// this balancer then serves without until the store answers.
    fn apply_peer_evacuations(
        &mut self,
        now: Duration,
        list: Option<EvacuationList>,
    ) -> Vec<(Arc<str>, EvacuationEvent)> {
        let unknown = EvacuationList::default();
        let list = match list {
            Some(list) => list,
            None if self.evacuations.is_loaded() => return Vec::new(),
            None => unknown,
        };
        let events = self.evacuations.replace_from_peer(now, list);
        self.enforce_evacuations(&events);
        events
    }
}
