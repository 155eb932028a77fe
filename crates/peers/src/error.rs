//! Errors of the communication between balancers.

use std::io;
use std::net::SocketAddr;

use sequoiatrail_types::NodeId;
use snafu::Snafu;

/// An error of the communication between balancers.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A socket could not be opened.
    #[snafu(display("cannot open the {what} socket on {address}: {source}"))]
    OpenSocket {
        /// Name of the socket.
        what: &'static str,
        /// Address to bind.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread, or the runtime of a bulk transfer, could not be started.
    #[snafu(display("cannot start thread: {source}"))]
    SpawnThread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The balancer is not a member.
    #[snafu(display("balancer {node} is not a member"))]
    UnknownMember {
        /// The balancer.
        node: NodeId,
    },
    /// A packet is too long for a datagram.
    #[snafu(display("packet of {len} bytes does not fit into a datagram"))]
    TooLong {
        /// Length of the packet, in bytes.
        len: usize,
    },
    /// The operating system did not accept a datagram.
    #[snafu(display("cannot send to {address}: {source}"))]
    Send {
        /// Destination.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A bulk connection could not be established.
    #[snafu(display("cannot connect to {address} for bulk transfer: {source}"))]
    Connect {
        /// The other balancer's address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The other balancer rejected or aborted a bulk transfer.
    #[snafu(display("bulk transfer failed: {source}"))]
    Rpc {
        /// Error of the remote side or of the connection.
        source: capnp::Error,
    },
    /// A bulk transfer timed out.
    #[snafu(display("bulk transfer with {address} timed out"))]
    Timeout {
        /// The other balancer's address.
        address: SocketAddr,
    },
    /// The other side of a bulk transfer does not hold the shared key, or its
    /// response was modified in transit.
    #[snafu(display("bulk transfer: the proof or tag of the response does not match"))]
    InvalidProof,
    /// The response to a bulk request is malformed or exceeds a limit.
    #[snafu(display("bulk transfer: invalid {what} in the response"))]
    InvalidResponse {
        /// The invalid part of the response.
        what: &'static str,
    },
}

impl From<capnp::Error> for Error {
    fn from(source: capnp::Error) -> Self {
        Self::Rpc { source }
    }
}

/// Result of an operation between balancers.
pub type Result<T, E = Error> = std::result::Result<T, E>;
