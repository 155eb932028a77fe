//! ICMP errors about packets of a target. Routers send them to the service
//! address, and the target needs them, above all for path MTU discovery.

use std::net::{IpAddr, SocketAddr};

use etherparse::{
    Icmpv4Slice, Icmpv4Type, Icmpv6Slice, Icmpv6Type, IpNumber, LaxNetSlice, LaxSlicedPacket,
};
use sequoiatrail_types::{FlowKey, Protocol};

use crate::{Error, Packet, Result, TcpFields};

/// Length of the ports at the start of a TCP or UDP header, in bytes.
const PORTS_BYTES: usize = 4;

/// Returns the packet quoted by an ICMP error; `None` if the message is not an error.
pub(crate) fn icmpv4_quote<'a>(icmp: &Icmpv4Slice<'a>) -> Option<&'a [u8]> {
    match icmp.icmp_type() {
        Icmpv4Type::DestinationUnreachable(_)
        | Icmpv4Type::TimeExceeded(_)
        | Icmpv4Type::ParameterProblem(_) => Some(icmp.payload()),
        _ => None,
    }
}

/// Returns the packet quoted by an ICMPv6 error; `None` if the message is not an error.
pub(crate) fn icmpv6_quote<'a>(icmp: &Icmpv6Slice<'a>) -> Option<&'a [u8]> {
    match icmp.icmp_type() {
        Icmpv6Type::DestinationUnreachable(_)
        | Icmpv6Type::PacketTooBig { .. }
        | Icmpv6Type::TimeExceeded(_)
        | Icmpv6Type::ParameterProblem(_) => Some(icmp.payload()),
        _ => None,
    }
}

/// Parses the packet quoted by an ICMP error to the address `to`. The error belongs to
/// the flow whose target sent the quoted packet; since it says nothing about the client,
/// the TCP fields are empty.
pub(crate) fn parse(quote: &[u8], to: IpAddr) -> Result<Packet> {
    let sliced = LaxSlicedPacket::from_ip(quote).map_err(|_| Error::Malformed)?;
    let (src, dst, payload) = match &sliced.net {
        Some(LaxNetSlice::Ipv4(ip)) => (
            IpAddr::V4(ip.header().source_addr()),
            IpAddr::V4(ip.header().destination_addr()),
            ip.payload(),
        ),
        Some(LaxNetSlice::Ipv6(ip)) => (
            IpAddr::V6(ip.header().source_addr()),
            IpAddr::V6(ip.header().destination_addr()),
            ip.payload(),
        ),
        _ => return Err(Error::Malformed),
    };
    let [a, b, c, d] = *payload
        .payload
        .first_chunk::<PORTS_BYTES>()
        .ok_or(Error::Malformed)?;
    // The quoted packet was not sent from this address, so the error is forged.
    if payload.fragmented || src != to {
        return Err(Error::Malformed);
    }
    let (protocol, tcp) = match payload.ip_number {
        IpNumber::TCP => (Protocol::Tcp, Some(TcpFields::default())),
        IpNumber::UDP => (Protocol::Udp, None),
        _ => return Err(Error::Transport),
    };
    Ok(Packet {
        flow: FlowKey {
            protocol,
            src: SocketAddr::new(dst, u16::from_be_bytes([c, d])),
            dst: SocketAddr::new(src, u16::from_be_bytes([a, b])),
        },
        tcp,
        payload_bytes: 0,
    })
}
