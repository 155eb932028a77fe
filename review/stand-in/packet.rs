//! Packets of flows, as both ends read and write them.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of the header.
pub const HEADER_BYTES: usize = 36;
/// Opens a flow.
pub const SYN: u8 = 64;
/// Acknowledges data.
pub const ACK: u8 = 32;
/// The sender has no more data.
pub const FIN: u8 = 1;
/// Ends a flow.
pub const RST: u8 = 2;

/// A packet.
#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub data: Vec<u8>,
    /// Whether `sum` is 0, which marks a reset of the system's own.
    pub unsigned: bool,
}

impl Packet {
    /// A packet without data.
    pub fn new(flags: u8, from: SocketAddrV4, to: SocketAddrV4) -> Packet {
        Packet {
            flags,
            from,
            to,
            seq: 0,
            ack: 0,
            echo: 0,
            data: Vec::new(),
            unsigned: false,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        bytes[0] = self.flags;
        bytes[6..8].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[8..10].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[10..14].copy_from_slice(&self.to.ip().octets());
        bytes[14..18].copy_from_slice(&self.from.ip().octets());
        bytes[18..20].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[20..24].copy_from_slice(&self.seq.to_be_bytes());
        bytes[24..28].copy_from_slice(&self.ack.to_be_bytes());
        bytes[32..36].copy_from_slice(&self.echo.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = checksum(&bytes);
        bytes[28..32].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Decodes a packet; `None` if its length or its sum is wrong.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEADER_BYTES {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let address =
            |ip: usize, port: usize| SocketAddrV4::new(Ipv4Addr::from(u32_at(ip)), u16_at(port));
        let data = bytes[HEADER_BYTES..].to_vec();
        let sum = u32_at(28);
        let own_reset = bytes[0] == RST && sum == 0;
        if usize::from(u16_at(18)) != data.len() || !own_reset && sum != checksum(bytes) {
            return None;
        }
        Some(Packet {
            flags: bytes[0],
            from: address(14, 6),
            to: address(10, 8),
            seq: u32_at(20),
            ack: u32_at(24),
            echo: u32_at(32),
            data,
            unsigned: own_reset,
        })
    }
}

/// Sum over all fields but `echo`, `pad` and itself; never 0.
fn checksum(bytes: &[u8]) -> u32 {
    let covered = [&bytes[..1], &bytes[6..28], &bytes[HEADER_BYTES..]].concat();
    (fnv(&covered) as u32).max(1)
}

/// FNV-1a hash, with its bits mixed so that the low ones depend on all input.
pub fn fnv(bytes: &[u8]) -> u64 {
    let hash = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
