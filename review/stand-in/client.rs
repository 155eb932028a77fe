//! Requesters: each opens one flow after the other and sends requests on it.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::packet::{fnv, Packet, ACK, FIN, RST, SYN};
use crate::router::Router;
use crate::target::{Boot, FlowKey, Seen};

/// Times after the first SYN at which copies are sent, and when the attempt ends.
const SYN_TIMES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];
const FIRST_RETRANSMIT: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT: Duration = Duration::from_millis(1_600);

/// How requesters use flows.
#[derive(Clone, Copy)]
pub struct Habit {
    /// Requests on a flow.
    pub requests: u32,
    /// Pause before each request.
    pub pause: Duration,
    /// Time budget of a request.
    pub budget: Duration,
}

/// A reset of the system's own on an open flow whose target lives.
#[derive(Clone, Debug)]
pub struct WrongReset {
    pub at: Instant,
    pub flow: FlowKey,
    pub boot: Boot,
    /// Node that the last packet went to.
    pub node: SocketAddrV4,
    /// Time since the request was sent that the target works on, if there is one.
    pub request_age: Option<Duration>,
}

#[derive(Default)]
pub struct Counts {
    pub opened: AtomicU64,
    pub refused: AtomicU64,
    pub not_opened: AtomicU64,
    pub sent: AtomicU64,
    pub answered: AtomicU64,
    pub reset_by_target: AtomicU64,
    pub reset_by_system: AtomicU64,
    pub timed_out: AtomicU64,
}

/// What all requesters share.
pub struct Shared {
    pub router: Router,
    pub seen: Arc<Mutex<Seen>>,
    pub counts: Counts,
    pub wrong_resets: Mutex<Vec<WrongReset>>,
    pub stopped: AtomicBool,
    pub next_attempt: AtomicU64,
    /// Time of each answer.
    pub answers: Mutex<Vec<Instant>>,
    /// Time that each answered request took.
    pub latencies: Mutex<Vec<Duration>>,
}

struct Client {
    shared: Arc<Shared>,
    socket: UdpSocket,
    zone: String,
    ip: Ipv4Addr,
    route: SocketAddrV4,
    habit: Habit,
    next_port: u16,
}

/// Why a flow ended early.
enum End {
    ResetByTarget,
    ResetBySystem,
    TimedOut,
}

struct Flow {
    key: FlowKey,
    seq: u32,
    acked: u32,
    echo: u32,
    closing: bool,
    node: SocketAddrV4,
    /// When the request was sent that is not answered yet.
    sent_at: Option<Instant>,
}

/// Starts a requester with an address of its own.
pub fn start(
    shared: &Arc<Shared>,
    zone: &str,
    ip: Ipv4Addr,
    port: u16,
    route: SocketAddrV4,
    habit: Habit,
) -> std::io::Result<thread::JoinHandle<()>> {
    let mut client = Client {
        shared: Arc::clone(shared),
        socket: UdpSocket::bind((ip, port))?,
        zone: zone.to_owned(),
        ip,
        route,
        habit,
        next_port: 1_024,
    };
    Ok(thread::spawn(move || client.run()))
}

impl Client {
    fn run(&mut self) {
        while !self.shared.stopped.load(Ordering::Relaxed) {
            self.run_flow();
        }
    }

    fn run_flow(&mut self) {
        let Some(mut flow) = self.open() else {
            thread::sleep(Duration::from_millis(50));
            return;
        };
        for _ in 0..self.habit.requests {
            if self.shared.stopped.load(Ordering::Relaxed) || flow.closing {
                break;
            }
            let counts = &self.shared.counts;
            let result = match self.pause(&mut flow) {
                Some(end) => Err(end),
                None => self.request(&mut flow),
            };
            match result {
                Ok(()) => {
                    count(&counts.answered);
                    self.shared.answers.lock().unwrap().push(Instant::now());
                }
                Err(End::ResetByTarget) => return count(&counts.reset_by_target),
                Err(End::ResetBySystem) => return count(&counts.reset_by_system),
                Err(End::TimedOut) => return count(&counts.timed_out),
            }
        }
        self.send(&mut flow, FIN | ACK, &[]);
    }

    fn open(&mut self) -> Option<Flow> {
        self.next_port = match self.next_port {
            60_000.. => 1_024,
            port => port + 1,
        };
        let key = (SocketAddrV4::new(self.ip, self.next_port), self.route);
        let started = Instant::now();
        let mut flow = Flow {
            key,
            seq: fnv(format!("{started:?}{key:?}").as_bytes()) as u32,
            acked: 0,
            echo: 0,
            closing: false,
            node: self.shared.router.route(&self.zone, &key),
            sent_at: None,
        };
        let counts = &self.shared.counts;
        for (copy, until) in SYN_TIMES.iter().enumerate() {
            flow.acked = copy as u32;
            self.send(&mut flow, SYN, &[]);
            while let Some(packet) = self.receive(&flow, started + *until) {
                if packet.flags & RST != 0 {
                    count(&counts.refused);
                    return None;
                }
                if packet.flags & SYN != 0 {
                    flow.echo = packet.echo;
                    flow.seq = flow.seq.wrapping_add(1);
                    flow.acked = packet.seq.wrapping_add(1);
                    self.send(&mut flow, ACK, &[]);
                    count(&counts.opened);
                    return Some(flow);
                }
            }
        }
        count(&counts.not_opened);
        None
    }

    /// Waits before a request; the end of the flow, if it comes meanwhile.
    fn pause(&self, flow: &mut Flow) -> Option<End> {
        let until = Instant::now() + self.habit.pause;
        while let Some(packet) = self.receive(flow, until) {
            if packet.flags & RST != 0 {
                return Some(self.record_reset(flow, &packet));
            }
        }
        None
    }

    fn request(&self, flow: &mut Flow) -> Result<(), End> {
        let attempt = self.shared.next_attempt.fetch_add(1, Ordering::Relaxed);
        let text = format!("GET / HTTP/1.1\r\nHost: route\r\nX-Attempt-Id: {attempt}\r\n\r\n");
        count(&self.shared.counts.sent);
        let started = Instant::now();
        flow.sent_at = Some(started);
        let mut wait = FIRST_RETRANSMIT;
        let mut next_copy = started;
        while started.elapsed() < self.habit.budget {
            self.send(flow, ACK, text.as_bytes());
            next_copy += wait;
            let until = next_copy.min(started + self.habit.budget);
            while let Some(packet) = self.receive(flow, until) {
                if packet.flags & RST != 0 {
                    return Err(self.record_reset(flow, &packet));
                }
                if packet.flags & SYN != 0 || packet.seq != flow.acked {
                    continue;
                }
                flow.echo = packet.echo;
                flow.seq = flow.seq.wrapping_add(text.len() as u32);
                flow.acked = packet.seq.wrapping_add(packet.data.len() as u32);
                flow.closing = packet.flags & FIN != 0;
                flow.sent_at = None;
                let latency = started.elapsed();
                self.shared.latencies.lock().unwrap().push(latency);
                self.send(flow, ACK, &[]);
                return Ok(());
            }
            wait = (wait * 2).min(MAX_RETRANSMIT);
        }
        Err(End::TimedOut)
    }

    /// Records a reset. One of the system's own is wrong while the flow's target lives.
    fn record_reset(&self, flow: &Flow, packet: &Packet) -> End {
        if !packet.unsigned {
            return End::ResetByTarget;
        }
        let seen = self.shared.seen.lock().unwrap();
        let boot = seen.open.get(&flow.key).copied();
        if let Some(boot) = boot.filter(|boot| seen.alive[*boot]) {
            self.shared.wrong_resets.lock().unwrap().push(WrongReset {
                at: Instant::now(),
                flow: flow.key,
                boot,
                node: flow.node,
                request_age: flow.sent_at.map(|at| at.elapsed()),
            });
        }
        End::ResetBySystem
    }

    /// Receives the next packet of a flow; `None` if none comes until `deadline`.
    fn receive(&self, flow: &Flow, deadline: Instant) -> Option<Packet> {
        let mut buf = [0; 4_096];
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = self.socket.set_read_timeout(Some(left));
            let Ok((length, _)) = self.socket.recv_from(&mut buf) else {
                continue;
            };
            let packet = Packet::decode(&buf[..length]);
            if let Some(packet) = packet.filter(|p| (p.to, p.from) == flow.key) {
                return Some(packet);
            }
        }
    }

    fn send(&self, flow: &mut Flow, flags: u8, data: &[u8]) {
        let packet = Packet {
            seq: flow.seq,
            ack: flow.acked,
            echo: flow.echo,
            data: data.to_vec(),
            ..Packet::new(flags, flow.key.0, flow.key.1)
        };
        flow.node = self.shared.router.route(&self.zone, &flow.key);
        let _ = self.socket.send_to(&packet.encode(), flow.node);
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
