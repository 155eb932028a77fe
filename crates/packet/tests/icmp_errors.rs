//! ICMP errors about packets of a target are attributed to the flow of that target.

mod common;

use std::net::SocketAddr;

use etherparse::{Icmpv4Type, Icmpv6Type, PacketBuilder, TcpHeader, icmpv4};
use sequoiatrail_packet::{Error, parse, reject_reply};

const V4: (&str, &str) = ("198.51.100.1:4000", "192.0.2.1:443");
const V6: (&str, &str) = ("[2001:db8::1]:4000", "[2001:db8::2]:443");

fn endpoints((client, service): (&str, &str)) -> (SocketAddr, SocketAddr) {
    (client.parse().unwrap(), service.parse().unwrap())
}

/// A router's "packet too big" error to `to`, quoting the packet.
fn packet_too_big(to: SocketAddr, quote: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    match to {
        SocketAddr::V4(to) => {
            let kind = icmpv4::DestUnreachableHeader::FragmentationNeeded {
                next_hop_mtu: 1_400,
            };
            PacketBuilder::ipv4([203, 0, 113, 1], to.ip().octets(), 64)
                .icmpv4(Icmpv4Type::DestinationUnreachable(kind))
                .write(&mut out, quote)
        }
        SocketAddr::V6(to) => {
            let router = [0x20, 1, 0xd, 0xb8, 9, 9, 9, 9, 0, 0, 0, 0, 0, 0, 0, 1];
            PacketBuilder::ipv6(router, to.ip().octets(), 64)
                .icmpv6(Icmpv6Type::PacketTooBig { mtu: 1_400 })
                .write(&mut out, quote)
        }
    }
    .unwrap();
    out
}

#[test]
fn an_error_belongs_to_the_flow_whose_packet_it_quotes() {
    for family in [V4, V6] {
        let (client, service) = endpoints(family);
        let sent = common::tcp(service, client, TcpHeader::new(0, 0, 1, 1), &[1; 1_400]);
        let headers = if client.is_ipv4() { 20 } else { 40 };
        // Routers are only required to quote 8 bytes after the IP header.
        for quote in [&sent[..headers + 8], &sent[..548]] {
            let packet = parse(&packet_too_big(service, quote)).unwrap();
            assert_eq!((packet.flow.src, packet.flow.dst), (client, service));
            assert!(!packet.opens_connection());
        }
    }
}

#[test]
fn an_error_that_quotes_a_packet_of_another_sender_is_rejected() {
    let (client, service) = endpoints(V4);
    let other = "192.0.2.2:443".parse().unwrap();
    let sent = common::tcp(other, client, TcpHeader::new(0, 0, 1, 1), &[]);
    assert_eq!(
        parse(&packet_too_big(service, &sent)),
        Err(Error::Malformed)
    );
}

#[test]
fn an_error_gets_no_reply() {
    let (client, service) = endpoints(V4);
    let sent = common::udp(service, client, b"x");
    let error = packet_too_big(service, &sent);
    assert_eq!(reject_reply(&parse(&error).unwrap(), &error), None);
}
