//! ICMP errors about packets of a target: routers send them to the service's
//! address, and the target needs them, above all to learn the path's MTU.

use std::net::{IpAddr, SocketAddr};

use etherparse::{
    Icmpv4Slice, Icmpv4Type, Icmpv6Slice, Icmpv6Type, IpNumber, LaxNetSlice, LaxSlicedPacket,
};
use sequoiatrail_types::{FlowKey, Protocol};

use crate::{Error, Packet, Result, TcpFields};

/// Bytes of a TCP or UDP header that hold the ports.
const PORTS_BYTES: usize = 4;

/// The packet that an ICMP error quotes, if the message is an error.
pub(crate) fn of_icmpv4<'a>(icmp: &Icmpv4Slice<'a>) -> Option<&'a [u8]> {
    match icmp.icmp_type() {
        Icmpv4Type::DestinationUnreachable(_)
        | Icmpv4Type::TimeExceeded(_)
        | Icmpv4Type::ParameterProblem(_) => Some(icmp.payload()),
        _ => None,
    }
}

/// The packet that an ICMPv6 error quotes, if the message is an error.
pub(crate) fn of_icmpv6<'a>(icmp: &Icmpv6Slice<'a>) -> Option<&'a [u8]> {
    match icmp.icmp_type() {
        Icmpv6Type::DestinationUnreachable(_)
        | Icmpv6Type::PacketTooBig { .. }
        | Icmpv6Type::TimeExceeded(_)
        | Icmpv6Type::ParameterProblem(_) => Some(icmp.payload()),
        _ => None,
    }
}

/// The facts of an ICMP error sent to `to`: it belongs to the flow whose
/// target sent the quoted packet, and shows nothing about the caller's side.
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
    // A quote of a packet that this address did not send is forged.
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
