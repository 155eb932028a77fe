//! Egress sockets.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use crate::batch::SendBatch;

/// Per-thread sockets for packets to targets and clients. Sending never blocks:
/// packets that do not fit the socket buffer are lost, as on a congested link.
#[derive(Debug)]
pub(crate) struct Egress {
    v4: Option<UdpSocket>,
    v6: Option<UdpSocket>,
}

impl Egress {
    /// Opens sockets that send from `local` where its address family allows it. If
    /// the VM lacks the other family, sending to addresses of it fails.
    pub fn new(local: IpAddr) -> io::Result<Self> {
        let (v4, v6) = match local {
            IpAddr::V4(ip) => (
                open(ip.into()).map(Some)?,
                open(Ipv6Addr::UNSPECIFIED.into()).ok(),
            ),
            IpAddr::V6(ip) => (
                open(Ipv4Addr::UNSPECIFIED.into()).ok(),
                open(ip.into()).map(Some)?,
            ),
        };
        Ok(Self { v4, v6 })
    }

    /// Sends up to [`BATCH`](crate::batch::BATCH) datagrams of any family; calls
    /// `failed` for each that cannot be sent.
    pub fn send_all(
        &self,
        batch: &mut SendBatch,
        datagrams: &mut [(&[u8], SocketAddr)],
        mut failed: impl FnMut(SocketAddr, io::Error),
    ) {
        datagrams.sort_by_key(|(_, to)| to.is_ipv6());
        let v4_count = datagrams.partition_point(|(_, to)| to.is_ipv4());
        let (v4, v6) = datagrams.split_at(v4_count);
        for (socket, datagrams) in [(&self.v4, v4), (&self.v6, v6)] {
            if let Some(socket) = socket {
                batch.send(socket, datagrams, &mut failed);
                continue;
            }
            for (_, to) in datagrams {
                failed(*to, ErrorKind::AddrNotAvailable.into());
            }
        }
    }

    /// Sends one datagram.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let socket = if to.is_ipv4() { &self.v4 } else { &self.v6 };
        let Some(socket) = socket else {
            return Err(ErrorKind::AddrNotAvailable.into());
        };
        match socket.send_to(bytes, to) {
            // Reports an ICMP error of an earlier datagram; this one was not sent.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                socket.send_to(bytes, to).map(drop)
            }
            sent => sent.map(drop),
        }
    }
}

fn open(local: IpAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((local, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
