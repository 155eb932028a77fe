//! Parsing of IPv4 and IPv6 packets.

use std::net::{IpAddr, SocketAddr};

use etherparse::{NetSlice, SlicedPacket, TransportSlice};
use sequoiatrail_types::{FlowKey, Protocol};

use crate::{Error, Packet, Result, TcpFields, quoted};

/// Parses an IP packet. An ICMP error is attributed to the flow that it refers
/// to, since it has to reach that flow's target. Never panics on any input.
///
/// # Errors
///
/// Fails on malformed headers, IP fragments, and anything other than TCP, UDP and ICMP errors.
pub fn parse(bytes: &[u8]) -> Result<Packet> {
    let sliced = SlicedPacket::from_ip(bytes).map_err(|_| Error::Malformed)?;
    let (src, dst) = match &sliced.net {
        Some(NetSlice::Ipv4(ip)) => {
            if ip.header().is_fragmenting_payload() {
                return Err(Error::Fragment);
            }
            let header = ip.header();
            (
                IpAddr::V4(header.source_addr()),
                IpAddr::V4(header.destination_addr()),
            )
        }
        Some(NetSlice::Ipv6(ip)) => {
            if ip.is_payload_fragmented() {
                return Err(Error::Fragment);
            }
            let header = ip.header();
            (
                IpAddr::V6(header.source_addr()),
                IpAddr::V6(header.destination_addr()),
            )
        }
        _ => return Err(Error::Malformed),
    };
    let (protocol, ports, tcp, payload) = match &sliced.transport {
        Some(TransportSlice::Tcp(tcp)) => {
            let fields = TcpFields {
                syn: tcp.syn(),
                ack: tcp.ack(),
                fin: tcp.fin(),
                rst: tcp.rst(),
                sequence: tcp.sequence_number(),
                acknowledgement: tcp.acknowledgment_number(),
            };
            let ports = (tcp.source_port(), tcp.destination_port());
            (Protocol::Tcp, ports, Some(fields), tcp.payload().len())
        }
        Some(TransportSlice::Udp(udp)) => {
            let ports = (udp.source_port(), udp.destination_port());
            (Protocol::Udp, ports, None, udp.payload().len())
        }
        Some(TransportSlice::Icmpv4(icmp)) => {
            let quote = quoted::icmpv4_quote(icmp).ok_or(Error::Transport)?;
            return quoted::parse(quote, dst);
        }
        Some(TransportSlice::Icmpv6(icmp)) => {
            let quote = quoted::icmpv6_quote(icmp).ok_or(Error::Transport)?;
            return quoted::parse(quote, dst);
        }
        _ => return Err(Error::Transport),
    };
    Ok(Packet {
        flow: FlowKey {
            protocol,
            src: SocketAddr::new(src, ports.0),
            dst: SocketAddr::new(dst, ports.1),
        },
        tcp,
        payload_bytes: u16::try_from(payload).unwrap_or(u16::MAX),
    })
}
