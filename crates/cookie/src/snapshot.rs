//! What one balancer tells another one.

use std::time::Duration;

use snafu::{Snafu, ensure};

use crate::directory::{TargetChange, TargetEvent};
use crate::routes::ManifestOutcome;
use crate::{Balancer, Manifest, TargetEntry, TargetId};

/// Result of a check.
pub type Result<T, E = SnapshotError> = std::result::Result<T, E>;

/// Why a snapshot can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SnapshotError {
    /// A route without a service that its flows could go to.
    #[snafu(display("the route at {address} has no service"))]
    NoService {
        /// Address of the route.
        address: std::net::SocketAddrV4,
    },
    /// A target that can't work on any request.
    #[snafu(display("target {id} has no slots"))]
    NoSlots {
        /// The target.
        id: TargetId,
    },
}

/// Everything that a balancer decides from; enough to start another one.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Revision of the store that the targets are from.
    pub revision: u64,
    /// Listed targets.
    pub targets: Vec<TargetEntry>,
    /// Targets whose entry can't be read; they keep their flows.
    #[serde(default)]
    pub unreadable: Vec<TargetId>,
    /// The manifest.
    pub manifest: Manifest,
}

/// What a snapshot changed.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotOutcome {
    /// What became of its manifest.
    pub manifest: ManifestOutcome,
    /// What changed of targets.
    pub targets: Vec<(TargetId, TargetEvent)>,
}

impl Snapshot {
    /// Checks what the decisions take for granted.
    ///
    /// # Errors
    ///
    /// A route without a service, a target without slots.
    pub fn check(&self) -> Result<()> {
        for route in &self.manifest.routes {
            let address = route.address;
            let served = route.shares.iter().any(|s| s.weight > 0);
            ensure!(served, NoServiceSnafu { address });
        }
        for target in &self.targets {
            ensure!(target.slots > 0, NoSlotsSnafu { id: target.id });
        }
        Ok(())
    }
}

impl Balancer {
    /// What another balancer needs to start; `None` before this one is ready.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let manifest = self.manifest.as_deref()?.clone();
        if !self.directory.is_loaded() {
            return None;
        }
        Some(Snapshot {
            revision: self.directory.revision(),
            targets: self.directory.listed().cloned().collect(),
            unreadable: self.directory.unreadable_entries().collect(),
            manifest,
        })
    }

    /// A snapshot for a balancer that knows the manifest and the targets up to
    /// these versions; `None` if it has nothing new for it.
    pub fn snapshot_after(&self, manifest: u64, revision: u64) -> Option<Snapshot> {
        let newer = self.routes.version() > manifest || self.directory.revision() > revision;
        if newer { self.snapshot() } else { None }
    }

    /// Takes in what another balancer knows, as far as it is newer. Targets that
    /// it does not list may come back, as while the store has trouble.
    ///
    /// # Errors
    ///
    /// The snapshot can't be used; nothing has changed then.
    pub fn apply_snapshot(&mut self, now: Duration, snapshot: Snapshot) -> Result<SnapshotOutcome> {
        snapshot.check()?;
        let manifest = self.apply_manifest(snapshot.manifest.into());
        let unreadable = snapshot.unreadable.into_iter();
        let listed = snapshot.targets.into_iter().map(TargetChange::Present);
        let list = listed.chain(unreadable.map(TargetChange::Unreadable));
        let list = list.collect();
        let targets = self
            .directory
            .replace_from_peer(now, snapshot.revision, list);
        self.reset_lost_flows(&targets);
        Ok(SnapshotOutcome { manifest, targets })
    }
}
