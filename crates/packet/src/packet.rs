//! What a decision needs to know of a packet.

use sequoiatrail_types::FlowKey;

/// Flags and numbers of a TCP header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFields {
    /// Asks for a new connection.
    pub syn: bool,
    /// Carries an acknowledgement.
    pub ack: bool,
    /// The caller sends nothing more.
    pub fin: bool,
    /// The caller gave the connection up.
    pub rst: bool,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgement number.
    pub acknowledgement: u32,
}

/// What a decision needs to know of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The two ends.
    pub flow: FlowKey,
    /// TCP header, for TCP packets.
    pub tcp: Option<TcpFields>,
    /// Bytes of transport payload.
    pub payload_bytes: u16,
}

impl Packet {
    /// Whether the packet opens a connection: SYN without ACK.
    pub fn opens_connection(&self) -> bool {
        self.tcp.is_some_and(|tcp| tcp.syn && !tcp.ack && !tcp.rst)
    }
}
