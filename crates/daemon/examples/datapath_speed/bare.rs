//! Baseline forwarders that do not inspect packets, to measure the socket overhead.

use std::array;
use std::io::{IoSlice, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use nix::sys::socket::{
    ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, recvmmsg, sendmmsg,
};
use sequoiatrail_daemon::StopFlag;
use sequoiatrail_settings::DataSettings;
use socket2::{Domain, Protocol, Socket, Type};

/// Name of the thread that forwards one packet per system call.
pub const SINGLE: &str = "bare-single";
/// Name of the thread that forwards packets in batches.
pub const BATCHED: &str = "bare-batched";
/// Maximum number of packets per batch.
const BATCH: usize = 32;
/// Maximum packet size.
const MAX_PACKET_BYTES: usize = 65_535;

/// A running baseline forwarder.
pub struct BaselineForwarder {
    pub addr: SocketAddr,
    pub forwarded: Arc<AtomicU64>,
    stop: StopFlag,
    thread: Option<JoinHandle<()>>,
}

impl BaselineForwarder {
    /// Starts a thread that forwards all packets to `sink`; `name` selects
    /// [`SINGLE`] or [`BATCHED`] mode.
    pub fn start(name: &'static str, sink: SocketAddr) -> std::io::Result<BaselineForwarder> {
        let socket = open_receive_socket()?;
        let out = UdpSocket::bind("127.0.0.1:0")?;
        out.set_nonblocking(true)?;
        let addr = socket.local_addr()?;
        let forwarded = Arc::new(AtomicU64::new(0));
        let stop = StopFlag::default();
        let (count, flag) = (Arc::clone(&forwarded), stop.clone());
        let work = move || match name {
            BATCHED => forward_batches(&socket, &out, sink, &count, &flag),
            _ => forward_singles(&socket, &out, sink, &count, &flag),
        };
        let thread = thread::Builder::new().name(name.into()).spawn(work)?;
        Ok(BaselineForwarder {
            addr,
            forwarded,
            stop,
            thread: Some(thread),
        })
    }
}

fn forward_singles(
    socket: &UdpSocket,
    out: &UdpSocket,
    sink: SocketAddr,
    count: &AtomicU64,
    stop: &StopFlag,
) {
    let mut buf = vec![0; MAX_PACKET_BYTES];
    while !stop.is_set() {
        let Ok((length, _)) = socket.recv_from(&mut buf) else {
            continue;
        };
        let _ = out.send_to(&buf[..length], sink);
        count.fetch_add(1, Ordering::Relaxed);
    }
}

fn forward_batches(
    socket: &UdpSocket,
    out: &UdpSocket,
    sink: SocketAddr,
    count: &AtomicU64,
    stop: &StopFlag,
) {
    let mut buf = vec![0; BATCH * MAX_PACKET_BYTES];
    let mut from = MultiHeaders::<SockaddrStorage>::preallocate(BATCH, None);
    let mut to = MultiHeaders::<SockaddrStorage>::preallocate(BATCH, None);
    while !stop.is_set() {
        let lengths: Vec<usize> = {
            let mut chunks = buf.chunks_exact_mut(MAX_PACKET_BYTES);
            let mut slices: [[IoSliceMut<'_>; 1]; BATCH] =
                array::from_fn(|_| [IoSliceMut::new(chunks.next().unwrap_or_default())]);
            let flags = MsgFlags::MSG_WAITFORONE;
            let Ok(messages) = recvmmsg(
                socket.as_raw_fd(),
                &mut from,
                slices.iter_mut(),
                flags,
                None,
            ) else {
                continue;
            };
            messages.map(|message| message.bytes).collect()
        };
        let slices: Vec<[IoSlice<'_>; 1]> = buf
            .chunks_exact(MAX_PACKET_BYTES)
            .zip(&lengths)
            .map(|(chunk, length)| [IoSlice::new(&chunk[..*length])])
            .collect();
        let sinks = vec![Some(SockaddrStorage::from(sink)); slices.len()];
        let none: [ControlMessage<'_>; 0] = [];
        let flags = MsgFlags::empty();
        let _ = sendmmsg(out.as_raw_fd(), &mut to, slices.iter(), sinks, none, flags);
        count.fetch_add(lengths.len() as u64, Ordering::Relaxed);
    }
}

/// Opens a socket with the same options as the receive sockets of the balancer.
fn open_receive_socket() -> std::io::Result<UdpSocket> {
    let buffer = DataSettings::default().receive_buffer_bytes;
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_recv_buffer_size(buffer)?;
    socket.set_read_timeout(Some(Duration::from_millis(50)))?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket.into())
}

impl Drop for BaselineForwarder {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
