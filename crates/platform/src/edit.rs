//! Table edits, whose outcome is accepted exactly once, not run, or unknown.

use std::time::Duration;

use sequoiatrail_table::{Change, EditId};
use sequoiatrail_types::{RefusalReason, TableVersion};

use crate::BackoffConfig;

/// An edit as requested by its editor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Edit {
    /// Globally unique ID; sending an edit again with the same ID returns its first outcome.
    pub id: EditId,
    /// Version that the edit is based on: any other current version is a conflict.
    /// If `None`, the change is applied to the current version.
    pub base: Option<TableVersion>,
    /// Whether this retries an edit with an unknown outcome. A write of the earlier
    /// attempt may still take effect, so "not run" is only reported once that is
    /// ruled out.
    pub repeated: bool,
}

/// Rejection of an edit by the function that computes its rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditRefusal {
    /// Reason code.
    pub reason: RefusalReason,
    /// Human-readable reason.
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

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit was applied exactly once.
    Accepted {
        /// Version that the edit created.
        version: TableVersion,
    },
    /// The edit was not applied and never will be.
    NotRun {
        /// Reason code.
        reason: RefusalReason,
        /// Human-readable reason.
        message: String,
        /// On a conflict: diff from the current rows to the rows of the edit.
        differing: Vec<Change>,
        /// Delay before a retry, if known.
        retry_delay: Option<Duration>,
    },
    /// The edit may or may not have been applied. Retrying with the same ID
    /// resolves this and never applies the edit twice.
    Unknown {
        /// Human-readable description of what happened.
        message: String,
        /// Delay before a retry.
        retry_delay: Duration,
    },
}

/// Settings for edits.
#[derive(Clone, Copy, Debug)]
pub struct EditConfig {
    /// Max time to resolve an edit whose response was lost.
    pub resolve_timeout: Duration,
    /// Max number of times that a change is reapplied to a newer version.
    pub max_rebases: u32,
    /// Backoff between attempts to resolve the outcome.
    pub backoff: BackoffConfig,
    /// Retry delay suggested to the editor while the outcome is unknown.
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
