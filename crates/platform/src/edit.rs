//! Edits of the table: accepted exactly once, surely not run, or unknown.

use std::time::Duration;

use sequoiatrail_table::{Change, EditId};
use sequoiatrail_types::{RefusalReason, TableVersion};

use crate::BackoffConfig;

/// An edit as its editor asks for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Edit {
    /// Identifier, unique for all times; a repeated one finds its first outcome.
    pub id: EditId,
    /// The version that the editor saw. With it any other version in force is
    /// a conflict; without it the change is applied to the newest version.
    pub base: Option<TableVersion>,
    /// Whether it was asked for before and its outcome is not known: a write
    /// of the earlier attempt may still take effect, so that only what rules
    /// this out is told as "not run".
    pub repeated: bool,
}

/// Why a change is not wanted; told by the function that computes the rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The reason for a person to read.
    pub message: String,
}

impl From<sequoiatrail_table::Error> for EditRefusal {
    fn from(error: sequoiatrail_table::Error) -> Self {
        Self {
            reason: RefusalReason::Invalid,
            message: error.to_string(),
        }
    }
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// It is in the table, once.
    Accepted {
        /// The version that it made.
        version: TableVersion,
    },
    /// It is not in the table and never will be.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// Why, for a person to read.
        message: String,
        /// On a conflict: from the rows in force to the rows of the edit.
        differing: Vec<Change>,
        /// When to come back, if that is known.
        retry_delay: Option<Duration>,
    },
    /// It may or may not be in the table. Asking again with the same
    /// identifier finds out, and never makes it run twice.
    Unknown {
        /// What happened, for a person to read.
        message: String,
        /// When to come back.
        retry_delay: Duration,
    },
}

/// Settings of edits.
#[derive(Clone, Copy, Debug)]
pub struct EditConfig {
    /// Longest time to settle an edit whose answer was lost.
    pub resolve_timeout: Duration,
    /// Most times that a change is applied anew to a newer version.
    pub max_rebases: u32,
    /// Waits between attempts to settle.
    pub backoff: BackoffConfig,
    /// Time to come back that an editor is told while the outcome is unknown.
    pub retry_delay: Duration,
}

impl Default for EditConfig {
    fn default() -> Self {
        Self {
            resolve_timeout: Duration::from_secs(5),
            max_rebases: 8,
            backoff: BackoffConfig {
                initial_delay: Duration::from_millis(50),
                max_delay: Duration::from_secs(1),
            },
            retry_delay: Duration::from_secs(5),
        }
    }
}
