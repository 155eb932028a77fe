//! Batched receiving and sending with `recvmmsg` and `sendmmsg`.

use std::array;
use std::io::{self, IoSlice, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;

use nix::sys::socket::{
    ControlMessage, MsgFlags, MultiHeaders, SockaddrLike, SockaddrStorage, recvmmsg, sendmmsg,
};

/// Maximum number of datagrams per system call.
pub(crate) const BATCH: usize = 32;
/// Maximum size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Receive buffers of one thread.
pub(crate) struct RecvBatch {
    buf: Vec<u8>,
    headers: MultiHeaders<SockaddrStorage>,
    /// Length and sender of each datagram from the last call.
    received: Vec<(usize, SocketAddr)>,
}

impl RecvBatch {
    pub fn new() -> Self {
        Self {
            buf: vec![0; BATCH * MAX_DATAGRAM_BYTES],
            headers: MultiHeaders::preallocate(BATCH, None),
            received: Vec::with_capacity(BATCH),
        }
    }

    /// Waits for a datagram, and also receives those already queued, up to [`BATCH`].
    pub fn receive(&mut self, socket: &UdpSocket) -> io::Result<()> {
        self.received.clear();
        let mut chunks = self.buf.chunks_exact_mut(MAX_DATAGRAM_BYTES);
        let mut slices: [[IoSliceMut<'_>; 1]; BATCH] =
            array::from_fn(|_| [IoSliceMut::new(chunks.next().unwrap_or_default())]);
        let received = recvmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter_mut(),
            MsgFlags::MSG_WAITFORONE,
            None,
        )?;
        for message in received {
            // A datagram without a valid sender address is handled like any other.
            let from = message.address.as_ref().and_then(socket_addr);
            let from = from.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)));
            self.received.push((message.bytes, from));
        }
        Ok(())
    }

    /// Returns the datagrams from the last call with their senders.
    pub fn datagrams(&self) -> impl Iterator<Item = (&[u8], SocketAddr)> {
        let chunks = self.buf.chunks_exact(MAX_DATAGRAM_BYTES);
        let datagrams = chunks.zip(&self.received);
        datagrams.map(|(buf, (length, from))| (&buf[..*length], *from))
    }
}

/// Send headers of one thread.
pub(crate) struct SendBatch {
    headers: MultiHeaders<SockaddrStorage>,
}

impl SendBatch {
    pub fn new() -> Self {
        Self {
            headers: MultiHeaders::preallocate(BATCH, None),
        }
    }

    /// Sends up to [`BATCH`] datagrams; calls `failed` for each that cannot be sent.
    pub fn send(
        &mut self,
        socket: &UdpSocket,
        datagrams: &[(&[u8], SocketAddr)],
        mut failed: impl FnMut(SocketAddr, io::Error),
    ) {
        let mut rest = datagrams;
        while let Some((_, first)) = rest.first() {
            let sent = match self.send_some(socket, rest) {
                Ok(sent) => sent,
                Err(e) => {
                    failed(*first, e);
                    1
                }
            };
            rest = &rest[sent.clamp(1, rest.len())..];
        }
    }

    fn send_some(
        &mut self,
        socket: &UdpSocket,
        datagrams: &[(&[u8], SocketAddr)],
    ) -> io::Result<usize> {
        let slices: Vec<[IoSlice<'_>; 1]> = datagrams
            .iter()
            .map(|(bytes, _)| [IoSlice::new(bytes)])
            .collect();
        let addresses: Vec<Option<SockaddrStorage>> = datagrams
            .iter()
            .map(|(_, to)| Some(SockaddrStorage::from(*to)))
            .collect();
        let none: [ControlMessage<'_>; 0] = [];
        let sent = sendmmsg(
            socket.as_raw_fd(),
            &mut self.headers,
            slices.iter(),
            addresses,
            none,
            MsgFlags::empty(),
        )?;
        Ok(sent.count())
    }
}

fn socket_addr(address: &SockaddrStorage) -> Option<SocketAddr> {
    match address.family()? {
        nix::sys::socket::AddressFamily::Inet => {
            Some(SocketAddr::V4((*address.as_sockaddr_in()?).into()))
        }
        nix::sys::socket::AddressFamily::Inet6 => {
            Some(SocketAddr::V6((*address.as_sockaddr_in6()?).into()))
        }
        _ => None,
    }
}
