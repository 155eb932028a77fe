//! Outcome of a request: whether it may have run.

use serde::{Deserialize, Serialize};

/// Outcome of a request.
///
/// Only [`Verdict::NotRun`] may be reported to a client as "not run", and only a
/// request with that verdict may be retried on behalf of the client.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIs,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Forwarded or accepted exactly once.
    Done,
    /// Refused; none of its data was ever forwarded.
    NotRun(RefusalReason),
    /// Some of its data was or may have been forwarded, and the result is unknown.
    MayHaveRun,
}

/// Why a request was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// Every target that could take it has reached the connection limit of its row.
    AllFull,
    /// The service has no target that takes new flows.
    NoTarget,
    /// This balancer has no free flow entry.
    NoMemory,
    /// The request is malformed.
    Invalid,
    /// The object was changed concurrently since it was read.
    Conflict,
    /// The platform refused the request, or could not be reached before it was sent.
    Unavailable,
    /// The client lacks the permission.
    Forbidden,
}
