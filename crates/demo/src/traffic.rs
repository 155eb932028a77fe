//! Traffic generator: many client flows, sprayed over the balancers as by a fabric.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use etherparse::{IpHeaders, Ipv4Header, Ipv6Header, PacketBuilder, PacketBuilderStep};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_daemon::StopFlag;
use sequoiatrail_packet::parse;
use sequoiatrail_types::{FlowKey, Protocol};
use snafu::ResultExt;

use crate::error::IoSnafu;
use crate::{Ledger, Result};

/// Interval between two bursts of packets.
const BURST_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which a first packet that reached no target is retransmitted.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Payload of each packet.
const PAYLOAD: [u8; 64] = [7; 64];
/// Hop limit of the packets.
const HOP_LIMIT: u8 = 64;
/// Max size of a response.
const MAX_RESPONSE_BYTES: usize = 2_048;

/// Configuration of a traffic generator.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// Destinations of the flows, in round-robin order.
    pub services: Vec<SocketAddr>,
    /// Protocol of the services.
    pub protocol: Protocol,
    /// New flows per second.
    pub flows_per_second: u32,
    /// Data packets per second over all open flows.
    pub packets_per_second: u32,
    /// Seed for the order of packets and the choice of balancers.
    pub seed: u64,
}

impl Default for TrafficConfig {
    fn default() -> Self {
        Self {
            services: Vec::new(),
            protocol: Protocol::Tcp,
            flows_per_second: 200,
            packets_per_second: 5_000,
            seed: 1,
        }
    }
}

/// A running traffic generator.
pub struct TrafficGenerator {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    /// Balancers that packets are sprayed over.
    ingress_addresses: Mutex<Vec<SocketAddr>>,
    sent: AtomicU64,
    refused: AtomicU64,
    stop: StopFlag,
}

impl TrafficGenerator {
    /// Starts sending packets to the given balancers.
    pub fn start(
        cfg: TrafficConfig,
        ingress_addresses: Vec<SocketAddr>,
        ledger: Arc<Ledger>,
    ) -> Result<TrafficGenerator> {
        let what = "client socket";
        let any = match ingress_addresses.first() {
            Some(SocketAddr::V6(_)) => SocketAddr::from((Ipv6Addr::LOCALHOST, 0)),
            _ => SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        };
        let socket = UdpSocket::bind(any).context(IoSnafu { what })?;
        socket.set_nonblocking(true).context(IoSnafu { what })?;
        let shared = Arc::new(Shared {
            ingress_addresses: Mutex::new(ingress_addresses),
            ..Shared::default()
        });
        let generator = Generator {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            socket,
            ledger,
            shared: Arc::clone(&shared),
            opening: Vec::new(),
            open: Vec::new(),
            opened: 0,
        };
        let thread = thread::spawn(move || generator.run());
        Ok(TrafficGenerator {
            shared,
            thread: Some(thread),
        })
    }

    /// Changes the balancers that packets are sprayed over.
    pub fn set_balancers(&self, ingress_addresses: Vec<SocketAddr>) {
        let mut current = self
            .shared
            .ingress_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = ingress_addresses;
    }

    /// Packets sent so far.
    pub fn sent(&self) -> u64 {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Responses that refused or reset a flow.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Stops the generator and waits for its thread.
    pub fn stop(&mut self) {
        self.shared.stop.set();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed to standard error.
            let _ = thread.join();
        }
    }
}

impl Drop for TrafficGenerator {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A client flow.
#[derive(Clone, Copy)]
struct Flow {
    key: FlowKey,
    /// Sequence number of the next byte.
    sequence: u32,
    /// When its first packet was last sent.
    last_sent: Instant,
}

struct Generator {
    cfg: TrafficConfig,
    rng: ChaCha8Rng,
    socket: UdpSocket,
    ledger: Arc<Ledger>,
    shared: Arc<Shared>,
    /// Flows whose first packet has not reached a target yet.
    opening: Vec<Flow>,
    /// Flows whose first packet has reached a target.
    open: Vec<Flow>,
    opened: u32,
}

impl Generator {
    fn run(mut self) {
        let start = Instant::now();
        let mut data = 0;
        while !self.shared.stop.is_set() {
            let elapsed = start.elapsed().as_secs_f64();
            let flows_due = (elapsed * f64::from(self.cfg.flows_per_second)) as u32;
            let data_due = (elapsed * f64::from(self.cfg.packets_per_second)) as u64;
            while self.opened < flows_due {
                self.open_flow();
            }
            self.advance_opening();
            while data < data_due {
                data += 1;
                self.send_data();
            }
            self.receive_responses();
            thread::sleep(BURST_INTERVAL);
        }
    }

    fn open_flow(&mut self) {
        let n = self.opened;
        self.opened += 1;
        let dst = self.cfg.services[n as usize % self.cfg.services.len()];
        let host = match dst {
            SocketAddr::V4(_) => IpAddr::from([198, 18, (n >> 8) as u8, n as u8]),
            SocketAddr::V6(_) => Ipv6Addr::new(0x2001, 0xdb8, 1, 0, 0, 0, 0, n as u16).into(),
        };
        let src = SocketAddr::new(host, 1_024 + (n >> 16) as u16);
        let flow = Flow {
            key: FlowKey {
                protocol: self.cfg.protocol,
                src,
                dst,
            },
            sequence: self.rng.random(),
            last_sent: Instant::now(),
        };
        self.spray(&first_packet(&flow));
        self.opening.push(flow);
    }

    /// Marks flows as open and retransmits first packets. The ledger shows whether a
    /// target was reached, because its response would bypass the balancers.
    fn advance_opening(&mut self) {
        let mut pending = std::mem::take(&mut self.opening);
        let ledger = Arc::clone(&self.ledger);
        pending.retain(|flow| {
            let known = ledger.has_seen(&flow.key);
            if known {
                self.open.push(Flow {
                    sequence: flow.sequence.wrapping_add(1),
                    ..*flow
                });
            }
            !known
        });
        for flow in &mut pending {
            if flow.last_sent.elapsed() >= RETRANSMIT_TIMEOUT {
                flow.last_sent = Instant::now();
                self.spray(&first_packet(flow));
            }
        }
        self.opening = pending;
    }

    fn send_data(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.open.len());
        let flow = &mut self.open[index];
        let packet = data_packet(flow);
        flow.sequence = flow.sequence.wrapping_add(PAYLOAD.len() as u32);
        self.spray(&packet);
    }

    fn spray(&mut self, packet: &[u8]) {
        let ingress_addresses = self
            .shared
            .ingress_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if ingress_addresses.is_empty() {
            return;
        }
        let to = ingress_addresses[self.rng.random_range(0..ingress_addresses.len())];
        drop(ingress_addresses);
        if self.socket.send_to(packet, to).is_ok() {
            self.shared.sent.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn receive_responses(&mut self) {
        let mut buf = [0; MAX_RESPONSE_BYTES];
        while let Ok((length, _)) = self.socket.recv_from(&mut buf) {
            let Ok(packet) = parse(&buf[..length]) else {
                continue;
            };
            if packet.tcp.is_some_and(|tcp| tcp.rst) {
                self.shared.refused.fetch_add(1, Ordering::Relaxed);
                self.ledger.record_reset(FlowKey {
                    src: packet.flow.dst,
                    dst: packet.flow.src,
                    ..packet.flow
                });
            }
        }
    }
}

fn first_packet(flow: &Flow) -> Vec<u8> {
    match flow.key.protocol {
        Protocol::Tcp => tcp_packet(flow, true, &[]),
        Protocol::Udp => udp_packet(flow),
    }
}

fn data_packet(flow: &Flow) -> Vec<u8> {
    match flow.key.protocol {
        Protocol::Tcp => tcp_packet(flow, false, &PAYLOAD),
        Protocol::Udp => udp_packet(flow),
    }
}

fn tcp_packet(flow: &Flow, opens: bool, payload: &[u8]) -> Vec<u8> {
    let (src, dst) = (flow.key.src, flow.key.dst);
    let builder = ip(flow).tcp(src.port(), dst.port(), flow.sequence, u16::MAX);
    let builder = if opens { builder.syn() } else { builder.ack(1) };
    let mut out = Vec::with_capacity(builder.size(payload.len()));
    // Writing to a vector cannot fail.
    let _ = builder.write(&mut out, payload);
    out
}

fn udp_packet(flow: &Flow) -> Vec<u8> {
    let builder = ip(flow).udp(flow.key.src.port(), flow.key.dst.port());
    let mut out = Vec::with_capacity(builder.size(PAYLOAD.len()));
    // Writing to a vector cannot fail.
    let _ = builder.write(&mut out, &PAYLOAD);
    out
}

fn ip(flow: &Flow) -> PacketBuilderStep<IpHeaders> {
    let headers = match (flow.key.src, flow.key.dst) {
        (SocketAddr::V6(src), SocketAddr::V6(dst)) => {
            let header = Ipv6Header {
                hop_limit: HOP_LIMIT,
                source: src.ip().octets(),
                destination: dst.ip().octets(),
                ..Ipv6Header::default()
            };
            IpHeaders::Ipv6(header, Default::default())
        }
        (src, dst) => {
            let header = Ipv4Header {
                time_to_live: HOP_LIMIT,
                source: ipv4_octets(src),
                destination: ipv4_octets(dst),
                ..Ipv4Header::default()
            };
            IpHeaders::Ipv4(header, Default::default())
        }
    };
    PacketBuilder::ip(headers)
}

/// Octets of an IPv4 address; both ends of a flow have the address family of its
/// service.
fn ipv4_octets(address: SocketAddr) -> [u8; 4] {
    match address {
        SocketAddr::V4(v4) => v4.ip().octets(),
        SocketAddr::V6(_) => [0; 4],
    }
}
