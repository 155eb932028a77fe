//! Forwarding through an intermediary between two balancers that cannot reach
//! each other.

#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod cluster;

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use cluster::{Recorded, identity, key, recorder, start, wait_until};
use sequoiatrail_membership::{Membership, Output, Settings};
use sequoiatrail_peers::{Handlers, Kind, PeerNet};
use sequoiatrail_types::{Clock, FlowHash, NodeId, ServiceId, SystemClock, TargetId};
use sequoiatrail_wire::message::{Body, Datagram, FlowMessage, RelayHeader, RelayStage};
use sequoiatrail_wire::{decode, encode};

const A: NodeId = NodeId(1);
const B: NodeId = NodeId(3);

/// Balancer B over bare sockets, which can be partitioned from A.
struct PartitionablePeer {
    received: Recorded<Datagram>,
    partitioned: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PartitionablePeer {
    fn start(a: &PeerNet, intermediary: &PeerNet) -> Self {
        let (received, log) = recorder();
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&stop);
        let partitioned = Arc::new(AtomicBool::new(false));
        let is_partitioned = Arc::clone(&partitioned);
        let addresses = [a.address().control(), a.address().relay()];
        let seed = intermediary.address().control();
        let thread = std::thread::spawn(move || {
            let sockets = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
            for socket in &sockets {
                let wait = Some(Duration::from_millis(5));
                socket.set_read_timeout(wait).unwrap();
            }
            let [control, relay] = sockets;
            let mut me = identity(B.0);
            me.address.control_port = control.local_addr().unwrap().port();
            me.address.relay_port = relay.local_addr().unwrap().port();
            me.address.bulk_port = 1;
            let mut membership = Membership::new(Settings::default(), me, 1);
            membership.set_seeds(vec![seed]);
            let blocked =
                |peer| is_partitioned.load(Ordering::Relaxed) && addresses.contains(&peer);
            let clock = SystemClock::new();
            let (mut buf, mut serial) = (vec![0; 20_000], 0);
            while !stopping.load(Ordering::Relaxed) {
                let mut outputs = membership.tick(clock.now());
                if let Ok((len, from)) = control.recv_from(&mut buf)
                    && !blocked(from)
                    && let Ok(datagram) = decode(&buf[..len], &key())
                {
                    match &datagram.body {
                        Body::Membership(m) => {
                            let now = clock.now();
                            outputs.extend(membership.handle(now, datagram.from, from, m));
                        }
                        _ => log.lock().unwrap().push(datagram),
                    }
                }
                if let Ok((len, from)) = relay.recv_from(&mut buf)
                    && !blocked(from)
                {
                    let datagram = decode(&buf[..len], &key()).unwrap();
                    log.lock().unwrap().push(datagram);
                }
                for output in outputs {
                    let Output::Send { to, message } = output else {
                        continue;
                    };
                    if blocked(to) {
                        continue;
                    }
                    serial += 1;
                    let body = Body::Membership(message);
                    let from = B;
                    let datagram = Datagram { from, serial, body };
                    control.send_to(&encode(&datagram, &key()), to).unwrap();
                }
            }
        });
        Self {
            received,
            partitioned,
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for PartitionablePeer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn placed() -> FlowMessage {
    FlowMessage::Placed {
        service: ServiceId(1),
        flow: FlowHash(7),
        target: TargetId(2),
    }
}

fn header() -> RelayHeader {
    RelayHeader {
        hops: 1,
        stage: RelayStage::Ask,
        service: ServiceId(1),
        target: TargetId(0),
    }
}

#[test]
fn messages_and_packets_are_forwarded_by_an_intermediary() {
    let a = start(A.0, None, key(), Handlers::default());
    let intermediary = start(2, Some(&a), key(), Handlers::default());
    wait_until("a is known", || intermediary.members().peer(A).is_some());
    let b = PartitionablePeer::start(&a, &intermediary);
    wait_until("a discovers b", || a.members().peer(B).is_some());
    b.partitioned.store(true, Ordering::Relaxed);
    wait_until("a routes to b via the intermediary", || {
        let view = a.members();
        view.peer(B)
            .is_some_and(|p| p.via == Some(intermediary.node()))
    });
    a.send(B, Body::Flow(placed())).unwrap();
    a.relay(B, header(), b"packet").unwrap();
    wait_until("both arrive", || b.received.lock().unwrap().len() == 2);
    let received = b.received.lock().unwrap();
    assert!(received.iter().all(|d| d.from == A));
    let packet = FlowMessage::Relay(header(), b"packet".to_vec());
    for body in [placed(), packet].map(Body::Flow) {
        assert!(received.iter().any(|d| d.body == body));
    }
    assert_eq!(intermediary.stats().kind(Kind::Forward).sent, 1);
    assert_eq!(intermediary.stats().kind(Kind::Relay).sent, 1);
}
