//! What the API shows and changes, as closures of the process around it.

use std::sync::Arc;

use sequoiatrail_platform::{Edit, EditOutcome, EditRefusal};
use sequoiatrail_table::{Row, Table};

use crate::{ExplainQuery, Explanation, Readiness, Status};

/// Computes the rows wanted from the table in force; may be called repeatedly.
pub type RowsFn<'a> = dyn FnMut(&Table) -> Result<Vec<Row>, EditRefusal> + 'a;

/// Edits the table; may block for some seconds.
pub type EditFn = dyn Fn(&Edit, &mut RowsFn<'_>) -> EditOutcome + Send + Sync;

/// Explains where a flow goes; an error is told to the caller.
pub type ExplainFn = dyn Fn(&ExplainQuery) -> Result<Explanation, String> + Send + Sync;

/// One request that changes something, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRecord {
    /// Name of the token.
    pub token: String,
    /// What was asked for.
    pub action: String,
    /// `accepted`, `not_run` or `unknown`.
    pub verdict: &'static str,
    /// The outcome for a person to read.
    pub message: String,
}

/// The closures; each may be called from several threads at once.
pub struct AdminBackend {
    /// The table in force here.
    pub table: Box<dyn Fn() -> Arc<Table> + Send + Sync>,
    /// Edits the table; may block for some seconds. Usually
    /// `|edit, rows| store.edit_table(edit, |table| rows(table))`.
    pub edit: Box<EditFn>,
    /// Status of this balancer and what it knows of the others.
    pub status: Box<dyn Fn() -> Status + Send + Sync>,
    /// Which target a flow goes to and why; an error is told to the caller.
    pub explain: Box<ExplainFn>,
    /// Begins a graceful stop of this balancer; returns at once.
    pub drain: Box<dyn Fn() + Send + Sync>,
    /// Whether this balancer may get packets.
    pub ready: Box<dyn Fn() -> Readiness + Send + Sync>,
    /// The metrics in the text exposition format.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Takes note of each request that changes something.
    pub audit: Box<dyn Fn(AuditRecord) + Send + Sync>,
}
