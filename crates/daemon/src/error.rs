//! Daemon errors.

use std::net::SocketAddr;

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error while starting a balancer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Opening a socket failed.
    #[snafu(display("{purpose} {address}: {source}"))]
    Socket {
        /// Setting or purpose of the socket.
        purpose: &'static str,
        /// Socket address.
        address: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// Starting a thread failed.
    #[snafu(display("thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// Loading the initial table of the embedded platform failed.
    #[snafu(display("platform.embedded_table = \"{file}\": {reason}"))]
    InitialTable {
        /// Path of the CSV file.
        file: String,
        /// Underlying error.
        reason: String,
    },
    /// Starting a component of the balancer failed.
    #[snafu(display("{component}: {reason}"))]
    Component {
        /// Component, or the setting that configures it.
        component: &'static str,
        /// Underlying error.
        reason: String,
    },
}
