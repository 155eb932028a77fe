//! Callbacks through which the API reads and changes the balancer.

use std::sync::Arc;

use sequoiatrail_platform::{Edit, EditOutcome, EditRefusal};
use sequoiatrail_table::{Row, Table};

use crate::{ExplainQuery, Explanation, Readiness, Status};

/// Computes the desired rows from the current table; may be called repeatedly.
pub type RowsFn<'a> = dyn FnMut(&Table) -> Result<Vec<Row>, EditRefusal> + 'a;

/// Edits the table; may block for several seconds.
pub type EditFn = dyn Fn(&Edit, &mut RowsFn<'_>) -> EditOutcome + Send + Sync;

/// Explains which target a flow is forwarded to. The error text is returned to
/// the client.
pub type ExplainFn = dyn Fn(&ExplainQuery) -> Result<Explanation, String> + Send + Sync;

/// Audit log entry of a request that changes something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRecord {
    /// Name of the token.
    pub token: String,
    /// Requested change.
    pub action: String,
    /// `accepted`, `not_run` or `unknown`.
    pub verdict: &'static str,
    /// Human-readable outcome.
    pub message: String,
}

/// Callbacks of the API; each may be called from several threads concurrently.
pub struct AdminBackend {
    /// The table currently in use by this balancer.
    pub table: Box<dyn Fn() -> Arc<Table> + Send + Sync>,
    /// Edits the table; may block for several seconds. Usually
    /// `|edit, rows| store.edit_table(edit, |table| rows(table))`.
    pub edit: Box<EditFn>,
    /// Status of this balancer and its view of the others.
    pub status: Box<dyn Fn() -> Status + Send + Sync>,
    /// Explains which target a flow is forwarded to. The error text is returned
    /// to the client.
    pub explain: Box<ExplainFn>,
    /// Starts a graceful shutdown of this balancer; returns immediately.
    pub drain: Box<dyn Fn() + Send + Sync>,
    /// Whether this balancer is ready to receive packets.
    pub ready: Box<dyn Fn() -> Readiness + Send + Sync>,
    /// The metrics in the Prometheus text exposition format.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Records each request that changes something.
    pub audit: Box<dyn Fn(AuditRecord) + Send + Sync>,
}
