//! Errors of bucket plans.

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a plan is invalid.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The number of buckets is not a power of two in the allowed range.
    #[snafu(display("plan has {buckets} buckets, expected a power of two from 1 to 65536"))]
    BucketCount {
        /// The actual number.
        buckets: usize,
    },
    /// A stored plan is malformed.
    #[snafu(display("invalid stored plan: {reason}"))]
    Stored {
        /// What is wrong with it.
        reason: &'static str,
    },
}
