//! Errors of the daemon.

use std::net::SocketAddr;

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a balancer cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A socket cannot be opened.
    #[snafu(display("{what} {address}: {source}"))]
    Socket {
        /// The setting that names the address.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: String,
        /// Why not.
        source: std::io::Error,
    },
    /// The first table of the embedded platform cannot be read.
    #[snafu(display("platform.embedded_table = \"{file}\": {reason}"))]
    FirstTable {
        /// The file.
        file: String,
        /// Why not.
        reason: String,
    },
    /// A component of the balancer cannot start.
    #[snafu(display("{component}: {reason}"))]
    Component {
        /// The part.
        component: &'static str,
        /// Why not.
        reason: String,
    },
}
