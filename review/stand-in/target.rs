//! Targets: they take flows, run requests and answer the requesters directly.

use std::collections::HashMap;
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::packet::{Packet, ACK, FIN, RST, SYN};

/// Length of the prefix that names the intended target.
const PREFIX_BYTES: usize = 8;
/// Requests that a target works on at once.
const SLOTS: usize = 3;
/// Longest wait for a packet.
const POLL: Duration = Duration::from_millis(2);

/// Both ends of a flow: requester and route.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

/// A start of a target, numbered over all targets.
pub type Boot = usize;

/// How long a target works on a request.
#[derive(Clone, Copy)]
pub struct Work {
    pub usual: Duration,
    /// On a request that it begins within `cold_for` after its start.
    pub cold: Duration,
    pub cold_for: Duration,
}

/// A SYN that a target took.
#[derive(Clone, Debug)]
pub struct Opening {
    pub at: Instant,
    pub boot: Boot,
    pub flow: FlowKey,
}

/// What targets saw, over all of them.
#[derive(Default)]
pub struct Seen {
    pub openings: Vec<Opening>,
    /// Flows that are open, and at which boot.
    pub open: HashMap<FlowKey, Boot>,
    /// How often each request ran.
    pub runs: HashMap<u64, u32>,
    /// Most requests that waited at a target.
    pub most_waiting: usize,
    /// Whether each boot lives.
    pub alive: Vec<bool>,
    /// Number of packets with a wrong length or sum.
    pub corrupt: u64,
}

/// A running target.
pub struct Target {
    pub id: u64,
    pub boot: Boot,
    pub service: &'static str,
    pub zone: String,
    pub address: SocketAddrV4,
    pub born_ms: u64,
    started: Instant,
    cold_for: Duration,
    seen: Arc<Mutex<Seen>>,
    draining: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct Flow {
    seq: u32,
    open: bool,
    echo: u32,
    /// Sequence number of the last request and its answer.
    last: Option<(u32, Packet)>,
    answered: bool,
    ended: bool,
}

struct Worker {
    id: u64,
    boot: Boot,
    socket: UdpSocket,
    _listener: TcpListener,
    seen: Arc<Mutex<Seen>>,
    draining: Arc<AtomicBool>,
    work: Work,
    started: Instant,
    flows: HashMap<FlowKey, Flow>,
    /// Answers that are being worked on.
    working: Vec<(Instant, FlowKey)>,
    /// Requests that wait for a slot.
    waiting: Vec<FlowKey>,
    reply_port: u16,
}

impl Target {
    pub fn start(
        id: u64,
        service: &'static str,
        zone: &str,
        address: SocketAddrV4,
        reply_port: u16,
        work: Work,
        seen: &Arc<Mutex<Seen>>,
    ) -> std::io::Result<Target> {
        let listener = TcpListener::bind(address)?;
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(POLL))?;
        let boot = {
            let mut seen = seen.lock().unwrap();
            seen.alive.push(true);
            seen.alive.len() - 1
        };
        let draining = Arc::new(AtomicBool::new(false));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut worker = Worker {
            id,
            boot,
            socket,
            _listener: listener,
            seen: Arc::clone(seen),
            draining: Arc::clone(&draining),
            work,
            started: Instant::now(),
            flows: HashMap::new(),
            working: Vec::new(),
            waiting: Vec::new(),
            reply_port,
        };
        let stop = Arc::clone(&stopped);
        let thread = thread::spawn(move || worker.run(&stop));
        let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        Ok(Target {
            id,
            boot,
            service,
            zone: zone.to_owned(),
            address,
            born_ms: since.as_millis() as u64,
            started: Instant::now(),
            cold_for: work.cold_for,
            seen: Arc::clone(seen),
            draining,
            stopped,
            thread: Some(thread),
        })
    }

    /// Name of its entry.
    pub fn name(&self) -> String {
        format!("i-{:x}", self.id)
    }

    /// Its entry.
    pub fn entry(&self) -> Vec<u8> {
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let cold_ms = self
            .cold_for
            .saturating_sub(self.started.elapsed())
            .as_millis();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"max_concurrent_requests\":{SLOTS},\"lifecycle_state\":\"{state}\",\
             \"warmup_remaining_ms\":{cold_ms},\"sequence\":4,\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        )
        .into_bytes()
    }

    /// Begins to drain: each flow is closed after its next answer.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Ends the target; its flows are lost.
    pub fn stop(&mut self) {
        self.seen.lock().unwrap().alive[self.boot] = false;
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Worker {
    fn run(&mut self, stopped: &AtomicBool) {
        let mut buf = [0; 4_096];
        while !stopped.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buf) {
                self.receive(&buf[..length]);
            }
            self.answer_due();
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Some((prefix, packet)) = bytes.split_first_chunk::<PREFIX_BYTES>() else {
            return;
        };
        let intended = u64::from_be_bytes(*prefix);
        if intended != self.id && intended != 0 {
            return;
        }
        let Some(packet) = Packet::decode(packet) else {
            self.seen.lock().unwrap().corrupt += 1;
            return;
        };
        let key = (packet.from, packet.to);
        if packet.flags & RST != 0 {
            self.end(&key);
            self.flows.remove(&key);
        } else if packet.flags & SYN != 0 {
            self.receive_syn(key, &packet);
        } else if self.flows.contains_key(&key) {
            self.receive_on_flow(key, &packet);
        } else {
            self.send(Packet {
                flags: RST,
                seq: packet.ack,
                echo: packet.echo,
                ..Packet::new(RST, packet.to, packet.from)
            });
        }
    }

    fn receive_syn(&mut self, key: FlowKey, packet: &Packet) {
        let now = Instant::now();
        let seed = crate::packet::fnv(format!("{now:?}{key:?}").as_bytes()) as u32;
        let new = || Flow {
            seq: seed,
            open: false,
            echo: packet.echo,
            last: None,
            answered: true,
            ended: false,
        };
        let flow = self.flows.entry(key).or_insert_with(new);
        if flow.open {
            return;
        }
        flow.echo = packet.echo;
        let seq = flow.seq;
        self.seen.lock().unwrap().openings.push(Opening {
            at: now,
            boot: self.boot,
            flow: key,
        });
        self.send(Packet {
            seq,
            ack: packet.seq.wrapping_add(1),
            echo: packet.echo,
            ..Packet::new(SYN | ACK, packet.to, packet.from)
        });
    }

    fn receive_on_flow(&mut self, key: FlowKey, packet: &Packet) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.echo = packet.echo;
        if !flow.open {
            if packet.ack != flow.seq.wrapping_add(1) {
                return;
            }
            flow.open = true;
            flow.seq = packet.ack;
            self.seen.lock().unwrap().open.insert(key, self.boot);
        }
        if packet.flags & FIN != 0 {
            let ack = packet.seq.wrapping_add(packet.data.len() as u32 + 1);
            flow.ended = true;
            let reply = Packet {
                seq: flow.seq,
                ack,
                echo: flow.echo,
                ..Packet::new(ACK | FIN, packet.to, packet.from)
            };
            self.end(&key);
            self.send(reply);
            return;
        }
        if packet.data.is_empty() || flow.ended {
            return;
        }
        match &flow.last {
            // A copy of the last request: the answer is sent again if it is ready.
            Some((seq, answer)) if *seq == packet.seq => {
                let answer = answer.clone();
                if flow.answered {
                    self.send(answer);
                }
            }
            _ => self.run_request(key, packet),
        }
    }

    fn run_request(&mut self, key: FlowKey, packet: &Packet) {
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let attempt = text.lines().find_map(|l| l.strip_prefix("X-Attempt-Id: "));
        let attempt = attempt.and_then(|text| text.trim().parse().ok());
        let attempt = attempt.unwrap_or(0);
        *self.seen.lock().unwrap().runs.entry(attempt).or_default() += 1;
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let closes = match self.draining.load(Ordering::Relaxed) {
            true => FIN,
            false => 0,
        };
        let body = format!("{attempt}");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let answer = Packet {
            seq: flow.seq,
            ack: packet.seq.wrapping_add(packet.data.len() as u32),
            echo: flow.echo,
            data: (head + &body).into_bytes(),
            ..Packet::new(ACK | closes, packet.to, packet.from)
        };
        flow.seq = flow.seq.wrapping_add(answer.data.len() as u32);
        flow.last = Some((packet.seq, answer));
        flow.answered = false;
        self.waiting.push(key);
        self.work_on_waiting();
    }

    /// Begins to work on requests that wait, as far as slots are free.
    fn work_on_waiting(&mut self) {
        let free = SLOTS.saturating_sub(self.working.len());
        let work = match self.started.elapsed() < self.work.cold_for {
            true => self.work.cold,
            false => self.work.usual,
        };
        let due = Instant::now() + work;
        let begun = self.waiting.drain(..free.min(self.waiting.len()));
        self.working.extend(begun.map(|key| (due, key)));
        let mut seen = self.seen.lock().unwrap();
        seen.most_waiting = seen.most_waiting.max(self.waiting.len());
    }

    fn answer_due(&mut self) {
        let now = Instant::now();
        let (due, rest): (Vec<_>, Vec<_>) = self.working.drain(..).partition(|(at, _)| *at <= now);
        self.working = rest;
        if !due.is_empty() {
            self.work_on_waiting();
        }
        for (_, key) in due {
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            flow.answered = true;
            let answer = flow.last.as_ref().map(|(_, answer)| answer.clone());
            if let Some(answer) = answer {
                if answer.flags & FIN != 0 {
                    self.end(&key);
                }
                self.send(answer);
            }
        }
    }

    /// Records that a flow is no longer open.
    fn end(&self, key: &FlowKey) {
        let mut seen = self.seen.lock().unwrap();
        if seen.open.get(key) == Some(&self.boot) {
            seen.open.remove(key);
        }
    }

    fn send(&self, packet: Packet) {
        let to = SocketAddrV4::new(*packet.to.ip(), self.reply_port);
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}
