//! Parsed packet fields.

use sequoiatrail_types::FlowKey;

/// Flags and sequence numbers of a TCP header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFields {
    /// SYN flag: opens a connection.
    pub syn: bool,
    /// ACK flag: `acknowledgement` is valid.
    pub ack: bool,
    /// FIN flag: the sender has no more data.
    pub fin: bool,
    /// RST flag: the sender aborts the connection.
    pub rst: bool,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgement number.
    pub acknowledgement: u32,
}

/// Fields of a packet that forwarding decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Protocol, source and destination.
    pub flow: FlowKey,
    /// TCP header fields, for TCP packets.
    pub tcp: Option<TcpFields>,
    /// Length of the transport payload, in bytes.
    pub payload_bytes: u16,
}

impl Packet {
    /// Whether the packet opens a connection: SYN without ACK.
    pub fn opens_connection(&self) -> bool {
        self.tcp.is_some_and(|tcp| tcp.syn && !tcp.ack && !tcp.rst)
    }
}
