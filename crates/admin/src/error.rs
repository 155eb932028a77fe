//! Errors when starting the administration API.

use sequoiatrail_platform::StartError;
use snafu::Snafu;

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the API was not started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The secret of a token is too short.
    #[snafu(display("token `{name}`: its secret has {bytes} bytes; allowed: 16 or more"))]
    ShortSecret {
        /// Name of the token.
        name: String,
        /// Length of the secret, in bytes.
        bytes: usize,
    },
    /// Two tokens have the same secret, so a request cannot be attributed to one.
    #[snafu(display("tokens `{first}` and `{second}` have the same secret"))]
    DuplicateSecret {
        /// Name of one token.
        first: String,
        /// Name of the other.
        second: String,
    },
    /// The server did not start.
    #[snafu(context(false), display("{source}"))]
    Start {
        /// Cause.
        source: StartError,
    },
}
