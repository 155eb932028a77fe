//! Decoded packets of flows.

use std::fmt;
use std::net::SocketAddrV4;

/// The 32 bits that both ends of a flow echo; 0 identifies no target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cookie(pub u32);

impl fmt::Display for Cookie {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Both endpoints of a flow, as the client sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowId {
    /// Address of the client.
    pub client: SocketAddrV4,
    /// Address of the route, which the client connects to.
    pub route: SocketAddrV4,
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.route)
    }
}

/// Control flags of a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens the flow.
    pub syn: bool,
    /// Acknowledges data.
    pub ack: bool,
    /// The sender sends nothing more.
    pub fin: bool,
    /// Aborts the flow.
    pub rst: bool,
}

/// A packet sent by a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow.
    pub flow: FlowId,
    /// Control flags.
    pub flags: Flags,
    /// Sequence number of the first byte of data.
    pub seq: u32,
    /// Next sequence number that the client expects; on a SYN, the number of
    /// retransmissions so far.
    pub ack: u32,
    /// Length of the data, in bytes.
    pub data_len: u16,
    /// The cookie that the client last received on the flow.
    pub cookie: Cookie,
}
