//! Builders of test packets.

use std::net::SocketAddr;

use etherparse::{PacketBuilder, TcpHeader};

/// A TCP packet with the given header and payload.
#[allow(dead_code)]
pub fn tcp(src: SocketAddr, dst: SocketAddr, header: TcpHeader, payload: &[u8]) -> Vec<u8> {
    let header = TcpHeader {
        source_port: src.port(),
        destination_port: dst.port(),
        ..header
    };
    let mut out = Vec::new();
    match (src, dst) {
        (SocketAddr::V4(s), SocketAddr::V4(d)) => {
            PacketBuilder::ipv4(s.ip().octets(), d.ip().octets(), 64)
                .tcp_header(header)
                .write(&mut out, payload)
        }
        (SocketAddr::V6(s), SocketAddr::V6(d)) => {
            PacketBuilder::ipv6(s.ip().octets(), d.ip().octets(), 64)
                .tcp_header(header)
                .write(&mut out, payload)
        }
        _ => unreachable!("both ends are of one family"),
    }
    .unwrap();
    out
}

/// A UDP packet.
#[allow(dead_code)]
pub fn udp(src: SocketAddr, dst: SocketAddr, payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    match (src, dst) {
        (SocketAddr::V4(s), SocketAddr::V4(d)) => {
            PacketBuilder::ipv4(s.ip().octets(), d.ip().octets(), 64)
                .udp(s.port(), d.port())
                .write(&mut out, payload)
        }
        (SocketAddr::V6(s), SocketAddr::V6(d)) => {
            PacketBuilder::ipv6(s.ip().octets(), d.ip().octets(), 64)
                .udp(s.port(), d.port())
                .write(&mut out, payload)
        }
        _ => unreachable!("both ends are of one family"),
    }
    .unwrap();
    out
}
