//! The platform's routers: they hash flows over the nodes in rotation.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::packet::fnv;
use crate::target::FlowKey;

/// Interval between two readiness checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Misses in a row after which a node is out of rotation.
const MAX_MISSES: u32 = 2;

struct Node {
    zone: String,
    packets: SocketAddrV4,
    readiness: SocketAddrV4,
    in_rotation: AtomicBool,
}

/// All routers, which see the same nodes.
#[derive(Clone)]
pub struct Router {
    nodes: Arc<Vec<Node>>,
}

impl Router {
    /// Starts to check the nodes: zone, address for packets, address for readiness.
    pub fn start(nodes: impl Iterator<Item = (String, SocketAddrV4, SocketAddrV4)>) -> Router {
        let nodes = nodes.map(|(zone, packets, readiness)| Node {
            zone,
            packets,
            readiness,
            in_rotation: AtomicBool::new(false),
        });
        let nodes: Arc<Vec<Node>> = Arc::new(nodes.collect());
        for n in 0..nodes.len() {
            let nodes = Arc::clone(&nodes);
            // Each node is checked at times of its own.
            let delay = CHECK_INTERVAL * n as u32 / nodes.len() as u32;
            thread::spawn(move || {
                thread::sleep(delay);
                check(&nodes[n]);
            });
        }
        Router { nodes }
    }

    /// Number of nodes in rotation.
    pub fn in_rotation(&self) -> usize {
        let nodes = self.nodes.iter();
        nodes
            .filter(|n| n.in_rotation.load(Ordering::Relaxed))
            .count()
    }

    /// The node for a packet of a flow, whose requester is in `zone`.
    pub fn route(&self, zone: &str, flow: &FlowKey) -> SocketAddrV4 {
        let own: Vec<&Node> = self.nodes.iter().filter(|n| n.zone == zone).collect();
        let ready = |nodes: &[&Node]| -> Vec<SocketAddrV4> {
            let ready = nodes
                .iter()
                .filter(|n| n.in_rotation.load(Ordering::Relaxed));
            ready.map(|n| n.packets).collect()
        };
        let mut choice = ready(&own);
        if choice.is_empty() {
            choice = ready(&self.nodes.iter().collect::<Vec<_>>());
        } else if 2 * choice.len() < own.len() {
            choice = own.iter().map(|n| n.packets).collect();
        }
        if choice.is_empty() {
            choice = own.iter().map(|n| n.packets).collect();
        }
        let hash = fnv(format!("{flow:?}").as_bytes());
        choice[(hash % choice.len() as u64) as usize]
    }
}

fn check(node: &Node) {
    let mut misses = 0;
    loop {
        let started = Instant::now();
        misses = match is_ready(node.readiness) {
            true => 0,
            false => misses + 1,
        };
        if misses == 0 {
            node.in_rotation.store(true, Ordering::Relaxed);
        } else if misses >= MAX_MISSES {
            node.in_rotation.store(false, Ordering::Relaxed);
        }
        thread::sleep(CHECK_INTERVAL.saturating_sub(started.elapsed()));
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), CHECK_TIMEOUT) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(CHECK_TIMEOUT));
    let request = "GET /sequoiatrail/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    let mut head = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut head).is_ok()
        && head.ends_with(b"200")
}
