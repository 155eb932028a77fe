//! Row-level diff of two tables, shown to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Row;

/// One changed row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// A row was added.
    Added {
        /// The new row.
        row: Row,
    },
    /// A row was removed.
    Removed {
        /// The old row.
        row: Row,
    },
    /// At least one cell of a row changed.
    Changed {
        /// The old row.
        from: Row,
        /// The new row.
        to: Row,
    },
}

/// Returns the rows that differ, matched by service and target name.
pub fn diff(from: &[Row], to: &[Row]) -> Vec<Change> {
    let old = by_name(from);
    let new = by_name(to);
    let mut changes = Vec::new();
    for (name, row) in &old {
        match new.get(name) {
            None => changes.push(Change::Removed {
                row: (*row).clone(),
            }),
            Some(to) if to != row => changes.push(Change::Changed {
                from: (*row).clone(),
                to: (*to).clone(),
            }),
            Some(_) => {}
        }
    }
    for (name, row) in &new {
        if !old.contains_key(name) {
            changes.push(Change::Added {
                row: (*row).clone(),
            });
        }
    }
    changes
}

fn by_name(rows: &[Row]) -> BTreeMap<(&str, &str), &Row> {
    rows.iter()
        .map(|row| ((row.service.as_str(), row.target.as_str()), row))
        .collect()
}
