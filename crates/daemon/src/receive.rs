//! Threads that receive packets from the fabric.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use snafu::ResultExt;
use socket2::{Domain, Protocol, Socket, Type};

use crate::Result;
use crate::batch::{RecvBatch, SendBatch};
use crate::error::SocketSnafu;
use crate::forward::Forwarder;
use crate::stop::StopFlag;

/// Interval at which receiving threads check the stop flag.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Opens `threads` `SO_REUSEPORT` sockets on one port, so that the kernel
/// distributes flows among them. Port 0 selects one free port for all of them.
pub(crate) fn open(listen: SocketAddr, threads: usize, buffer: usize) -> Result<Vec<UdpSocket>> {
    let mut listen = listen;
    let mut sockets = Vec::with_capacity(threads);
    for _ in 0..threads {
        let socket = open_one(listen, buffer).context(SocketSnafu {
            purpose: "data.listen",
            address: listen,
        })?;
        if let Ok(bound) = socket.local_addr() {
            listen = bound;
        }
        sockets.push(socket);
    }
    Ok(sockets)
}

fn open_one(listen: SocketAddr, buffer: usize) -> io::Result<UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(listen),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_reuse_port(true)?;
    // The kernel may grant less than requested, which is still sufficient to run.
    let _ = socket.set_recv_buffer_size(buffer);
    socket.set_read_timeout(Some(STOP_POLL))?;
    socket.bind(&listen.into())?;
    Ok(socket.into())
}

/// Receives and forwards packets until `stop` is set.
pub(crate) fn run(socket: &UdpSocket, forwarder: &Forwarder, stop: &StopFlag) -> io::Result<()> {
    let mut recv_batch = RecvBatch::new();
    let mut send_batch = SendBatch::new();
    while !stop.is_set() {
        match recv_batch.receive(socket) {
            Ok(()) => forwarder.handle_fabric_packets(recv_batch.datagrams(), &mut send_batch),
            Err(e) if is_transient(&e) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Returns whether receiving can continue after this error.
pub(crate) fn is_transient(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        ErrorKind::WouldBlock
            | ErrorKind::TimedOut
            | ErrorKind::Interrupted
            | ErrorKind::ConnectionRefused
    )
}
