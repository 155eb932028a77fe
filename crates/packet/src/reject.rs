//! Reject replies to packets that are not forwarded.

use std::net::{IpAddr, SocketAddr};

use etherparse::{
    Icmpv4Type, Icmpv6Type, IpFragOffset, IpHeaders, IpNumber, Ipv4Header, Ipv6Header,
    PacketBuilder, SlicedPacket, TcpHeader, TransportSlice, icmpv4, icmpv6,
};
use sequoiatrail_types::Protocol;

use crate::{Packet, TcpFields};

/// TTL or hop limit of replies.
const HOP_LIMIT: u8 = 64;
/// Maximum number of bytes quoted by an ICMP error (RFC 1812, 4.3.2.3).
const ICMPV4_QUOTE_BYTES: usize = 576 - 20 - 8;
/// Maximum number of bytes quoted by an ICMPv6 error (RFC 4443, 3.1).
const ICMPV6_QUOTE_BYTES: usize = 1_280 - 40 - 8;

/// Builds the reply that rejects a flow: a TCP reset or an ICMP port unreachable error.
///
/// `packet` must have been parsed from `bytes`. Returns `None` where the protocol
/// forbids a reply: to a reset, to an ICMP message, or to an address that is not a
/// single host.
pub fn reject_reply(packet: &Packet, bytes: &[u8]) -> Option<Vec<u8>> {
    if is_icmp(bytes) || !is_single_host(packet.flow.src) || packet.flow.src.port() == 0 {
        return None;
    }
    match (packet.flow.protocol, packet.tcp) {
        (Protocol::Tcp, Some(tcp)) => reset(packet, tcp),
        (Protocol::Tcp, None) => None,
        (Protocol::Udp, _) => port_unreachable(packet, bytes),
    }
}

/// Builds a reset according to RFC 9293, 3.10.7.1: a segment with ACK is reset at its
/// acknowledgement number, any other segment by acknowledging it.
fn reset(packet: &Packet, tcp: TcpFields) -> Option<Vec<u8>> {
    if tcp.rst {
        return None;
    }
    let (src, dst) = (packet.flow.dst, packet.flow.src);
    let mut header = TcpHeader::new(src.port(), dst.port(), 0, 0);
    header.rst = true;
    if tcp.ack {
        header.sequence_number = tcp.acknowledgement;
    } else {
        let length = u32::from(packet.payload_bytes) + u32::from(tcp.syn) + u32::from(tcp.fin);
        header.ack = true;
        header.acknowledgment_number = tcp.sequence.wrapping_add(length);
    }
    let ip = ip_headers(src.ip(), dst.ip(), IpNumber::TCP)?;
    let builder = PacketBuilder::ip(ip).tcp_header(header);
    let mut out = Vec::with_capacity(builder.size(0));
    builder.write(&mut out, &[]).ok()?;
    Some(out)
}

fn port_unreachable(packet: &Packet, bytes: &[u8]) -> Option<Vec<u8>> {
    let (src, dst) = (packet.flow.dst.ip(), packet.flow.src.ip());
    let mut out = Vec::new();
    if src.is_ipv4() {
        let kind = Icmpv4Type::DestinationUnreachable(icmpv4::DestUnreachableHeader::Port);
        let ip = ip_headers(src, dst, IpNumber::ICMP)?;
        let quote = &bytes[..bytes.len().min(ICMPV4_QUOTE_BYTES)];
        let builder = PacketBuilder::ip(ip).icmpv4(kind);
        builder.write(&mut out, quote).ok()?;
    } else {
        let kind = Icmpv6Type::DestinationUnreachable(icmpv6::DestUnreachableCode::Port);
        let ip = ip_headers(src, dst, IpNumber::IPV6_ICMP)?;
        let quote = &bytes[..bytes.len().min(ICMPV6_QUOTE_BYTES)];
        let builder = PacketBuilder::ip(ip).icmpv6(kind);
        builder.write(&mut out, quote).ok()?;
    }
    Some(out)
}

fn ip_headers(src: IpAddr, dst: IpAddr, next: IpNumber) -> Option<IpHeaders> {
    match (src, dst) {
        (IpAddr::V4(src), IpAddr::V4(dst)) => {
            let header = Ipv4Header {
                time_to_live: HOP_LIMIT,
                protocol: next,
                source: src.octets(),
                destination: dst.octets(),
                dont_fragment: true,
                fragment_offset: IpFragOffset::ZERO,
                ..Ipv4Header::default()
            };
            Some(IpHeaders::Ipv4(header, Default::default()))
        }
        (IpAddr::V6(src), IpAddr::V6(dst)) => {
            let header = Ipv6Header {
                hop_limit: HOP_LIMIT,
                next_header: next,
                source: src.octets(),
                destination: dst.octets(),
                ..Ipv6Header::default()
            };
            Some(IpHeaders::Ipv6(header, Default::default()))
        }
        _ => None,
    }
}

fn is_icmp(bytes: &[u8]) -> bool {
    let Ok(sliced) = SlicedPacket::from_ip(bytes) else {
        return false;
    };
    matches!(
        sliced.transport,
        Some(TransportSlice::Icmpv4(_) | TransportSlice::Icmpv6(_))
    )
}

fn is_single_host(address: SocketAddr) -> bool {
    match address.ip() {
        IpAddr::V4(ip) => !ip.is_multicast() && !ip.is_broadcast() && !ip.is_unspecified(),
        IpAddr::V6(ip) => !ip.is_multicast() && !ip.is_unspecified(),
    }
}
