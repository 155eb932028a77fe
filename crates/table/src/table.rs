//! The validated table with service and target IDs.

use std::net::SocketAddr;

use sequoiatrail_types::{HashSeed, Protocol, ServiceId, TableVersion, TargetId};
use serde::{Deserialize, Serialize};
use snafu::OptionExt;

use crate::check::check_rows;
use crate::error::NoSuchTargetSnafu;
use crate::id_allocator::IdAllocator;
use crate::past_edits::PastEdits;
use crate::stored::StoredTable;
use crate::{Result, Row};

/// ID of an edit, chosen by the editor and stored in the table object, so that an
/// editor that got no response can find out whether its write took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(pub String);

/// A target with its ID.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// ID, never reused.
    pub id: TargetId,
    /// Owning service; packets of other services are never forwarded to this target.
    pub service: ServiceId,
    /// The row that defines the target.
    pub row: Row,
}

/// A service with its ID.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// ID, never reused.
    pub id: ServiceId,
    /// Unique name.
    pub name: String,
    /// Team that owns the service.
    pub owner: String,
    /// Address and port that clients connect to; unique per protocol.
    pub address: SocketAddr,
    /// Transport protocol.
    pub protocol: Protocol,
}

/// One version of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "StoredTable", try_from = "StoredTable")]
pub struct Table {
    /// Version; 0 is the empty table before the first edit.
    pub version: TableVersion,
    /// The edit that created this version.
    pub edit: EditId,
    /// Earlier edits; the oldest are dropped.
    pub(crate) past_edits: PastEdits,
    /// Key of the flow hash; set in the first version and never changed.
    pub seed: HashSeed,
    /// Next free service ID.
    pub(crate) next_service: u32,
    /// Next free target ID.
    pub(crate) next_target: u32,
    /// Services in ascending order of ID.
    pub services: Vec<Service>,
    /// Targets in ascending order of ID.
    pub targets: Vec<Target>,
}

impl Table {
    /// Returns an empty table with the given flow hash key, as base of the first version.
    pub fn with_seed(seed: HashSeed) -> Table {
        Table {
            seed,
            ..Table::default()
        }
    }

    /// Returns the next version, in which `rows` replace the current rows.
    ///
    /// A service keeps its ID if name, address, port and protocol are unchanged;
    /// a target if service, name and tunnel address are. Fails if a row is invalid.
    pub fn with_rows(&self, rows: &[Row], edit: EditId) -> Result<Table> {
        check_rows(rows)?;
        let mut ids = IdAllocator::new(self, self.next_service, self.next_target);
        for row in rows {
            ids.add(row);
        }
        let mut next = Table {
            version: TableVersion(self.version.0 + 1),
            edit,
            past_edits: self.next_past_edits(),
            seed: self.seed,
            next_service: ids.next_service,
            next_target: ids.next_target,
            services: ids.services,
            targets: ids.targets,
        };
        next.services.sort_by_key(|s| s.id);
        next.targets.sort_by_key(|t| t.id);
        Ok(next)
    }

    /// Returns the version that an edit created, if the edit is still recorded.
    pub fn version_of_edit(&self, edit: &EditId) -> Option<TableVersion> {
        if edit.0.is_empty() {
            return None;
        }
        if self.edit == *edit {
            return Some(self.version);
        }
        self.past_edits.version_of(edit, self.version)
    }

    /// All edits that created a version after this one are still recorded.
    pub fn edits_known_after(&self) -> TableVersion {
        let recorded = self.past_edits.len() as u64 + 1;
        TableVersion(self.version.0.saturating_sub(recorded))
    }

    /// Returns the rows in ascending order of target ID.
    pub fn rows(&self) -> Vec<Row> {
        self.targets.iter().map(|t| t.row.clone()).collect()
    }

    /// Returns the rows after `change` was applied to one of them.
    pub fn rows_with_change(
        &self,
        service: &str,
        target: &str,
        change: impl FnOnce(&mut Row),
    ) -> Result<Vec<Row>> {
        let mut rows = self.rows();
        let row = rows
            .iter_mut()
            .find(|row| row.service == service && row.target == target)
            .context(NoSuchTargetSnafu { service, target })?;
        change(row);
        Ok(rows)
    }

    /// Finds a service by ID.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        let at = self.services.binary_search_by_key(&id, |s| s.id).ok()?;
        Some(&self.services[at])
    }

    /// Finds a service by name.
    pub fn service_by_name(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Finds a target by ID.
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        let at = self.targets.binary_search_by_key(&id, |t| t.id).ok()?;
        Some(&self.targets[at])
    }

    /// Targets of a service, in ascending order of ID.
    pub fn targets_of(&self, service: ServiceId) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(move |t| t.service == service)
    }

    fn next_past_edits(&self) -> PastEdits {
        if self.version == TableVersion(0) {
            return PastEdits::default();
        }
        self.past_edits.with_edit(&self.edit)
    }
}
