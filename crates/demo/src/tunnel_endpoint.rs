//! Tunnel endpoint of a fake target.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sequoiatrail_daemon::StopFlag;
use sequoiatrail_packet::parse;
use snafu::ResultExt;

use crate::error::IoSnafu;
use crate::{Ledger, Result};

/// Interval at which the receiving thread checks the stop flag.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Max size of a received packet.
const MAX_PACKET_BYTES: usize = 65_535;

/// Max attempts to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS: usize = 20;

/// Tunnel endpoint of a target. It records received packets and accepts the TCP
/// connections of health probes on the same port.
pub struct TunnelEndpoint {
    addr: SocketAddr,
    /// The kernel completes the handshakes; nothing is read from the connections.
    _probe_listener: TcpListener,
    stop: StopFlag,
    thread: Option<JoinHandle<()>>,
}

impl TunnelEndpoint {
    /// Starts an endpoint at `ip` for the target with this index in the ledger, which
    /// belongs to the service at `service`.
    pub fn start(
        ip: IpAddr,
        index: usize,
        service: SocketAddr,
        ledger: Arc<Ledger>,
    ) -> Result<TunnelEndpoint> {
        let what = "target's socket";
        let (socket, probe_listener) = open(ip).context(IoSnafu { what })?;
        let addr = socket.local_addr().context(IoSnafu { what })?;
        let stop = StopFlag::default();
        let flag = stop.clone();
        let thread = thread::spawn(move || receive(&socket, index, service, &ledger, &flag));
        Ok(TunnelEndpoint {
            addr,
            _probe_listener: probe_listener,
            stop,
            thread: Some(thread),
        })
    }

    /// Address that packets are sent to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for TunnelEndpoint {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed to standard error.
            let _ = thread.join();
        }
    }
}

/// Opens a UDP and a TCP socket on the same port.
fn open(ip: IpAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let socket = UdpSocket::bind((ip, 0))?;
        socket.set_read_timeout(Some(STOP_POLL))?;
        match TcpListener::bind(socket.local_addr()?) {
            Ok(listener) => return Ok((socket, listener)),
            Err(e) if attempt == PORT_ATTEMPTS => return Err(e),
            Err(_) => {}
        }
    }
}

fn receive(
    socket: &UdpSocket,
    index: usize,
    service: SocketAddr,
    ledger: &Ledger,
    stop: &StopFlag,
) {
    let mut buf = vec![0; MAX_PACKET_BYTES];
    while !stop.is_set() {
        let Ok((length, _)) = socket.recv_from(&mut buf) else {
            continue;
        };
        if let Ok(packet) = parse(&buf[..length]) {
            ledger.record_packet(index, &packet, packet.flow.dst == service);
        }
    }
}
