//! Rejected packets get the reply that their protocol defines.

mod common;

use std::net::SocketAddr;

use etherparse::{Icmpv4Type, Icmpv6Type, SlicedPacket, TcpHeader, TransportSlice, icmpv4, icmpv6};
use sequoiatrail_packet::{parse, reject_reply};

const V4: (&str, &str) = ("198.51.100.1:4000", "192.0.2.1:443");
const V6: (&str, &str) = ("[2001:db8::1]:4000", "[2001:db8::2]:443");

fn endpoints((src, dst): (&str, &str)) -> (SocketAddr, SocketAddr) {
    (src.parse().unwrap(), dst.parse().unwrap())
}

fn reset_reply(family: (&str, &str), header: TcpHeader, payload: &[u8]) -> Option<TcpHeader> {
    let (src, dst) = endpoints(family);
    let bytes = common::tcp(src, dst, header, payload);
    let out = reject_reply(&parse(&bytes).unwrap(), &bytes)?;
    let back = parse(&out).unwrap();
    assert_eq!((back.flow.src, back.flow.dst), (dst, src));
    let sliced = SlicedPacket::from_ip(&out).unwrap();
    let Some(TransportSlice::Tcp(tcp)) = sliced.transport else {
        panic!("not TCP");
    };
    let expected = match sliced.net.unwrap() {
        etherparse::NetSlice::Ipv4(ip) => {
            let header = ip.header().to_header();
            assert_eq!(header.header_checksum, header.calc_header_checksum());
            tcp.calc_checksum_ipv4(ip.header().source(), ip.header().destination())
        }
        etherparse::NetSlice::Ipv6(ip) => {
            tcp.calc_checksum_ipv6(ip.header().source(), ip.header().destination())
        }
        _ => panic!("not IP"),
    };
    assert_eq!(tcp.checksum(), expected.unwrap());
    Some(tcp.to_header())
}

#[test]
fn a_syn_is_reset_by_acknowledging_it() {
    for family in [V4, V6] {
        let mut syn = TcpHeader::new(0, 0, u32::MAX, 1_000);
        syn.syn = true;
        let reset = reset_reply(family, syn, b"early data").unwrap();
        assert!(reset.rst && reset.ack);
        assert_eq!(reset.sequence_number, 0);
        // Sequence number, plus one for SYN, plus the payload, modulo 2^32.
        assert_eq!(reset.acknowledgment_number, 10);
    }
}

#[test]
fn a_segment_with_ack_is_reset_at_its_acknowledgement_number() {
    for family in [V4, V6] {
        let mut data = TcpHeader::new(0, 0, 500, 1_000);
        data.ack = true;
        data.acknowledgment_number = 77;
        let reset = reset_reply(family, data, b"data").unwrap();
        assert!(reset.rst && !reset.ack);
        assert_eq!(reset.sequence_number, 77);
        assert_eq!(reset.acknowledgment_number, 0);
    }
}

#[test]
fn a_reset_gets_no_reply() {
    let mut rst = TcpHeader::new(0, 0, 500, 1_000);
    rst.rst = true;
    assert_eq!(reset_reply(V4, rst, b""), None);
}

#[test]
fn a_rejected_datagram_gets_a_port_unreachable_error_that_quotes_it() {
    for family in [V4, V6] {
        let (src, dst) = endpoints(family);
        let bytes = common::udp(src, dst, &[7; 1_400]);
        let out = reject_reply(&parse(&bytes).unwrap(), &bytes).unwrap();
        let sliced = SlicedPacket::from_ip(&out).unwrap();
        let quote = match sliced.transport.unwrap() {
            TransportSlice::Icmpv4(icmp) => {
                let port = icmpv4::DestUnreachableHeader::Port;
                assert_eq!(icmp.icmp_type(), Icmpv4Type::DestinationUnreachable(port));
                assert!(out.len() <= 576, "{}", out.len());
                icmp.payload().to_vec()
            }
            TransportSlice::Icmpv6(icmp) => {
                let port = icmpv6::DestUnreachableCode::Port;
                assert_eq!(icmp.icmp_type(), Icmpv6Type::DestinationUnreachable(port));
                assert!(out.len() <= 1_280, "{}", out.len());
                icmp.payload().to_vec()
            }
            _ => panic!("not ICMP"),
        };
        assert!(bytes.starts_with(&quote) && quote.len() >= 48);
    }
}

#[test]
fn an_address_that_is_not_a_single_host_gets_no_reply() {
    let dst = "192.0.2.1:443".parse().unwrap();
    for src in [
        "224.0.0.1:9",
        "255.255.255.255:9",
        "0.0.0.0:9",
        "198.51.100.1:0",
    ] {
        let bytes = common::udp(src.parse().unwrap(), dst, b"x");
        assert_eq!(reject_reply(&parse(&bytes).unwrap(), &bytes), None, "{src}");
    }
}
