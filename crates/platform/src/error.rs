//! Errors of platform requests, and whether the request may have run.

use std::time::Duration;

use sequoiatrail_types::{RefusalReason, Verdict};
use snafu::Snafu;

use crate::Revision;

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a platform request failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request was not sent, or no connection was established.
    #[snafu(display("the platform could not be reached: {reason}"))]
    NotSent {
        /// Transport error.
        reason: String,
    },
    /// The client's own rate limit is exceeded; nothing was sent.
    #[snafu(display("client rate limit exceeded; retry in {retry_delay:?}"))]
    RateLimited {
        /// Time until a request is possible again.
        retry_delay: Duration,
    },
    /// The platform refused the request before running it.
    #[snafu(display("the platform refused the request with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header, if any.
        retry_delay: Option<Duration>,
    },
    /// The precondition of a write failed; nothing was written.
    #[snafu(display("the object has a different revision"))]
    Conflict {
        /// Current revision; `None` if the object does not exist.
        current: Option<Revision>,
    },
    /// The request is malformed or its value too large; nothing was written.
    #[snafu(display("the platform rejected the request as invalid (status {status})"))]
    Invalid {
        /// HTTP status.
        status: u16,
    },
    /// The value can't be stored as an object; nothing was sent.
    #[snafu(display("invalid object value: {reason}"))]
    InvalidValue {
        /// Description of the problem.
        reason: String,
    },
    /// The requested changes are no longer in the history; list the objects again.
    #[snafu(display("the history of changes after that revision has expired"))]
    HistoryExpired,
    /// The response reflects the store before it was restored; it is discarded.
    #[snafu(display("the response is from before the store was restored"))]
    Outdated,
    /// The request was sent, but no complete response was received.
    #[snafu(display("no response from the platform: {reason}"))]
    NoResponse {
        /// Transport error.
        reason: String,
    },
    /// The response does not conform to the API, or states that the request may have run.
    #[snafu(display("invalid response from the platform (status {status}): {reason}"))]
    InvalidResponse {
        /// HTTP status.
        status: u16,
        /// Description of the problem.
        reason: String,
    },
    /// The value of an object does not have the type implied by its key.
    #[snafu(display("object `{key}` can't be decoded: {reason}"))]
    BadObject {
        /// Key of the object.
        key: String,
        /// Description of the problem.
        reason: String,
    },
}

impl Error {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::NotSent { .. } | Error::RateLimited { .. } | Error::Refused { .. } => {
                Verdict::NotRun(RefusalReason::Unavailable)
            }
            Error::Conflict { .. } => Verdict::NotRun(RefusalReason::Conflict),
            Error::Invalid { .. } | Error::InvalidValue { .. } => {
                Verdict::NotRun(RefusalReason::Invalid)
            }
            Error::HistoryExpired | Error::Outdated | Error::BadObject { .. } => {
                Verdict::NotRun(RefusalReason::Unavailable)
            }
            Error::NoResponse { .. } | Error::InvalidResponse { .. } => Verdict::MayHaveRun,
        }
    }

    /// Delay before a retry, if known.
    pub fn retry_delay(&self) -> Option<Duration> {
        match self {
            Error::RateLimited { retry_delay } => Some(*retry_delay),
            Error::Refused { retry_delay, .. } => *retry_delay,
            _ => None,
        }
    }
}
