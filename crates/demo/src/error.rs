//! Errors of the demonstration.

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why the demonstration could not complete.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A socket failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// The failed operation.
        what: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// A balancer did not start.
    #[snafu(display("balancer: {source}"))]
    Balancer {
        /// Cause.
        source: sequoiatrail_daemon::Error,
    },
    /// The platform or an edit of the table failed.
    #[snafu(display("{what}: {reason}"))]
    Platform {
        /// The failed operation.
        what: &'static str,
        /// Cause.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out after {seconds} s waiting for {what}"))]
    Timeout {
        /// The condition.
        what: &'static str,
        /// Timeout in seconds.
        seconds: u64,
    },
}
