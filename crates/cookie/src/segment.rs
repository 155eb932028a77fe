//! A packet of a flow, decoded.

use std::fmt;
use std::net::SocketAddrV4;

/// The 32 bits that both ends of a flow hand back; 0 names no target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cookie(pub u32);

impl fmt::Display for Cookie {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Both ends of a flow, as the caller sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowId {
    /// The caller.
    pub client: SocketAddrV4,
    /// The route's address, which the caller connects to.
    pub route: SocketAddrV4,
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.route)
    }
}

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens the flow.
    pub syn: bool,
    /// Acknowledges data.
    pub ack: bool,
    /// The sender sends nothing more.
    pub fin: bool,
    /// Ends the flow at once.
    pub rst: bool,
}

/// A packet that a caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The flow.
    pub flow: FlowId,
    /// What it does to the flow.
    pub flags: Flags,
    /// Sequence number of the first byte of data.
    pub seq: u32,
    /// Next byte that the caller expects; on a SYN, the number of earlier copies.
    pub ack: u32,
    /// Bytes of data.
    pub data_len: u16,
    /// The cookie that the caller last received on the flow.
    pub cookie: Cookie,
}
