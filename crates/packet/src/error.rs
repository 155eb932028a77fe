//! Errors of packet parsing.

use snafu::Snafu;

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason why a packet cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// Headers are truncated or inconsistent.
    #[snafu(display("malformed headers"))]
    Malformed,
    /// IP fragment, whose ports are missing or unreliable.
    #[snafu(display("IP fragment"))]
    Fragment,
    /// Transport protocol other than TCP and UDP.
    #[snafu(display("neither TCP nor UDP"))]
    Transport,
}
