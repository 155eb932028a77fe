//! Load generator that saturates a forwarder.

use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use crate::packets::Template;

/// Number of sending threads.
const SENDERS: u32 = 2;
/// Packets between checks of the elapsed time.
const BATCH: u32 = 64;

/// Flows of the generated packets.
#[derive(Clone, Copy)]
pub enum Flows {
    /// Data packets, cycling through this number of flows.
    Known(u32),
    /// SYN packets, each of a new flow; flows are numbered from this value.
    New(u32),
}

/// Sends to `to` at the maximum rate for `time`.
pub fn run(to: SocketAddr, flows: Flows, time: Duration) -> std::io::Result<()> {
    thread::scope(|scope| {
        let senders: Vec<_> = (0..SENDERS)
            .map(|sender| scope.spawn(move || send(to, flows, sender, time)))
            .collect();
        senders.into_iter().try_for_each(|s| match s.join() {
            Ok(sent) => sent,
            Err(panic) => std::panic::resume_unwind(panic),
        })
    })
}

fn send(to: SocketAddr, flows: Flows, sender: u32, time: Duration) -> std::io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let mut template = match flows {
        Flows::Known(_) => Template::data(),
        Flows::New(_) => Template::first_packet(),
    };
    let start = Instant::now();
    let mut n = sender;
    while start.elapsed() < time {
        for _ in 0..BATCH {
            let flow = match flows {
                Flows::Known(count) => n % count,
                Flows::New(first) => first + n,
            };
            socket.send_to(template.flow(flow), to)?;
            n += SENDERS;
        }
    }
    Ok(())
}
