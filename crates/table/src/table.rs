//! The checked and numbered table.

use std::net::SocketAddr;

use sequoiatrail_types::{HashSeed, Protocol, ServiceId, TableVersion, TargetId};
use serde::{Deserialize, Serialize};
use snafu::OptionExt;

use crate::check::check_rows;
use crate::error::NoSuchTargetSnafu;
use crate::numbering::Numbering;
use crate::past_edits::PastEdits;
use crate::stored::StoredTable;
use crate::{Result, Row};

/// Identifier of one edit, chosen by the editor and stored inside the object,
/// so that an editor can tell whether a write without an answer took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(pub String);

/// A target with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Number, never reused.
    pub id: TargetId,
    /// Service that it belongs to; a packet of another service never reaches it.
    pub service: ServiceId,
    /// The row it was made from.
    pub row: Row,
}

/// A service with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Number, never reused.
    pub id: ServiceId,
    /// Name, unique.
    pub name: String,
    /// Team that owns it.
    pub owner: String,
    /// Address and port that callers connect to; unique with the protocol.
    pub address: SocketAddr,
    /// Transport protocol.
    pub protocol: Protocol,
}

/// One version of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "StoredTable", try_from = "StoredTable")]
pub struct Table {
    /// Version; 0 is the empty table that stands before the first edit.
    pub version: TableVersion,
    /// The edit that made this version.
    pub edit: EditId,
    /// The edits before it; the oldest are forgotten.
    pub(crate) past_edits: PastEdits,
    /// Key of the flow hash; chosen with the first version and kept in all later ones.
    pub seed: HashSeed,
    /// Number for the next new service.
    pub(crate) next_service: u32,
    /// Number for the next new target.
    pub(crate) next_target: u32,
    /// Services by number, ascending.
    pub services: Vec<Service>,
    /// Targets by number, ascending.
    pub targets: Vec<Target>,
}

impl Table {
    /// The empty table under a flow hash key, to make the first version from.
    pub fn with_seed(seed: HashSeed) -> Table {
        Table {
            seed,
            ..Table::default()
        }
    }

    /// The next version with `rows` in place of the present ones.
    ///
    /// Services keep their number by name, address, port and protocol; targets
    /// by service, name and address. Fails if a row is wrong; `self` is unchanged.
    pub fn with_rows(&self, rows: &[Row], edit: EditId) -> Result<Table> {
        check_rows(rows)?;
        let mut numbering = Numbering::after(self, self.next_service, self.next_target);
        for row in rows {
            numbering.add(row);
        }
        let mut next = Table {
            version: TableVersion(self.version.0 + 1),
            edit,
            past_edits: self.remembered(),
            seed: self.seed,
            next_service: numbering.next_service,
            next_target: numbering.next_target,
            services: numbering.services,
            targets: numbering.targets,
        };
        next.services.sort_by_key(|s| s.id);
        next.targets.sort_by_key(|t| t.id);
        Ok(next)
    }

    /// The version that an edit made, if it was accepted and is remembered.
    pub fn version_of_edit(&self, edit: &EditId) -> Option<TableVersion> {
        if edit.0.is_empty() {
            return None;
        }
        if self.edit == *edit {
            return Some(self.version);
        }
        self.past_edits.version_of(edit, self.version)
    }

    /// Every edit that made a version after this one is remembered.
    pub fn edits_known_after(&self) -> TableVersion {
        let remembered = self.past_edits.len() as u64 + 1;
        TableVersion(self.version.0.saturating_sub(remembered))
    }

    /// The rows, in the order of the target numbers.
    pub fn rows(&self) -> Vec<Row> {
        self.targets.iter().map(|t| t.row.clone()).collect()
    }

    /// The rows with the cells of one of them changed.
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

    /// A service by number.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        let at = self.services.binary_search_by_key(&id, |s| s.id).ok()?;
        Some(&self.services[at])
    }

    /// A service by name.
    pub fn service_by_name(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// A target by number.
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        let at = self.targets.binary_search_by_key(&id, |t| t.id).ok()?;
        Some(&self.targets[at])
    }

    /// The targets of a service, by number.
    pub fn targets_of(&self, service: ServiceId) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(move |t| t.service == service)
    }

    fn remembered(&self) -> PastEdits {
        if self.version == TableVersion(0) {
            return PastEdits::default();
        }
        self.past_edits.with(&self.edit)
    }
}
