//! Packet templates.

use etherparse::PacketBuilder;

/// Offset of the source address in an IPv4 header, in bytes.
const SOURCE_ADDRESS_OFFSET: usize = 12;
/// Payload of a data packet.
const PAYLOAD: [u8; 64] = [7; 64];

/// A packet whose flow can be changed in place.
pub struct Template {
    bytes: Vec<u8>,
}

impl Template {
    /// Creates the first packet (SYN) of a TCP flow to the service.
    pub fn first_packet() -> Template {
        let builder = PacketBuilder::ipv4([198, 18, 0, 0], [192, 0, 2, 1], 64)
            .tcp(4_000, 443, 1_000, u16::MAX)
            .syn();
        Template::of(builder, &[])
    }

    /// Creates a data packet of a TCP flow to the service.
    pub fn data() -> Template {
        let builder = PacketBuilder::ipv4([198, 18, 0, 0], [192, 0, 2, 1], 64)
            .tcp(4_000, 443, 1_001, u16::MAX)
            .ack(1);
        Template::of(builder, &PAYLOAD)
    }

    fn of(builder: etherparse::PacketBuilderStep<etherparse::TcpHeader>, payload: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(builder.size(payload.len()));
        // Writing to a vector cannot fail.
        let _ = builder.write(&mut bytes, payload);
        Template { bytes }
    }

    /// Returns the packet with the source address of flow `n`.
    pub fn flow(&mut self, n: u32) -> &[u8] {
        let source = 0x0A00_0000u32.wrapping_add(n).to_be_bytes();
        self.bytes[SOURCE_ADDRESS_OFFSET..SOURCE_ADDRESS_OFFSET + 4].copy_from_slice(&source);
        &self.bytes
    }
}
