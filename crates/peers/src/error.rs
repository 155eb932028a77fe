//! What can go wrong between balancers.

use std::io;
use std::net::SocketAddr;

use sequoiatrail_types::NodeId;
use snafu::Snafu;

/// What can go wrong between balancers.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A socket could not be opened.
    #[snafu(display("cannot open the {what} socket on {address}: {source}"))]
    OpenSocket {
        /// Which socket.
        what: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start a thread: {source}"))]
    SpawnThread {
        /// What the operating system said.
        source: io::Error,
    },
    /// The balancer is no member.
    #[snafu(display("balancer {node} is no member"))]
    UnknownMember {
        /// The balancer.
        node: NodeId,
    },
    /// A message is longer than one datagram can be.
    #[snafu(display("a message of {len} bytes does not fit a datagram"))]
    TooLong {
        /// Its length.
        len: usize,
    },
    /// A datagram could not be handed to the operating system.
    #[snafu(display("cannot send to {address}: {source}"))]
    Send {
        /// Where to.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// A bulk transfer could not be started or ended early.
    #[snafu(display("bulk transfer with {address}: {source}"))]
    Connect {
        /// The other balancer's address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// The other balancer refused a bulk transfer or broke it off.
    #[snafu(display("bulk transfer: {source}"))]
    Rpc {
        /// What the other balancer, or the connection to it, said.
        source: capnp::Error,
    },
    /// A bulk transfer took too long.
    #[snafu(display("bulk transfer with {address} took too long"))]
    Timeout {
        /// The other balancer's address.
        address: SocketAddr,
    },
    /// The other side of a bulk transfer does not hold the shared key, or its
    /// answer was changed on the way.
    #[snafu(display("bulk transfer: the proof or tag of the answer does not match"))]
    InvalidProof,
    /// The answer of a bulk transfer is beyond a limit or malformed.
    #[snafu(display("bulk transfer: the answer's {what} is out of range"))]
    InvalidResponse {
        /// What of it.
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
