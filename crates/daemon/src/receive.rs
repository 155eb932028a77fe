//! Threads that receive packets of the fabric.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use snafu::ResultExt;
use socket2::{Domain, Protocol, Socket, Type};

use crate::Result;
use crate::batch::{Inbox, Outbox};
use crate::error::SocketSnafu;
use crate::forward::Forwarder;
use crate::stop::StopFlag;

/// Longest time until a receiving thread notices that it has to end.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Opens `threads` sockets on one port, between which the system spreads the
/// flows. Port 0 takes a free port for all of them.
pub(crate) fn open(listen: SocketAddr, threads: usize, buffer: usize) -> Result<Vec<UdpSocket>> {
    let mut listen = listen;
    let mut sockets = Vec::with_capacity(threads);
    for _ in 0..threads {
        let socket = open_one(listen, buffer).context(SocketSnafu {
            what: "data.listen",
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
    // The system grants what its limit allows; that is enough to run.
    let _ = socket.set_recv_buffer_size(buffer);
    socket.set_read_timeout(Some(STOP_POLL))?;
    socket.bind(&listen.into())?;
    Ok(socket.into())
}

/// Receives and forwards packets until told to end.
pub(crate) fn run(socket: &UdpSocket, forwarder: &Forwarder, stop: &StopFlag) -> io::Result<()> {
    let mut inbox = Inbox::new();
    let mut outbox = Outbox::new();
    while !stop.is_set() {
        match inbox.receive(socket) {
            Ok(()) => forwarder.take_from_fabric(inbox.datagrams(), &mut outbox),
            Err(e) if is_transient(&e) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Whether receiving can go on after an error.
pub(crate) fn is_transient(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        ErrorKind::WouldBlock
            | ErrorKind::TimedOut
            | ErrorKind::Interrupted
            | ErrorKind::ConnectionRefused
    )
}
