//! Simulated network with seeded delays, loss, duplication, partitions and pauses.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_membership::{Event, Identity, Membership, Output, Settings};
use sequoiatrail_types::{FailureDomain, NodeId};
use sequoiatrail_wire::message::{Body, Datagram, Membership as Message, PeerAddress};
use sequoiatrail_wire::{Key, encode};

/// Interval between two ticks of a balancer.
const TICK: Duration = Duration::from_millis(50);
/// Size of the IPv4 and UDP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// Network conditions for datagrams.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplication: f64,
    /// Minimum and maximum delay; datagrams may be reordered.
    pub delay: (Duration, Duration),
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            delay: (Duration::from_micros(200), Duration::from_micros(1_500)),
        }
    }
}

/// A simulated balancer.
pub struct Node {
    pub membership: Membership,
    pub sent_bytes: u64,
    /// Time spent in the detector.
    pub cpu_time: Duration,
    /// Events of the detector with their times.
    pub events: Vec<(Duration, Event)>,
    side: u8,
    tick_at: Duration,
    paused_until: Duration,
}

struct Packet {
    from: NodeId,
    source: SocketAddr,
    to: usize,
    message: Message,
}

/// The network with its balancers; balancer `i` has the address [`address`]`(i)`.
pub struct Network {
    pub now: Duration,
    pub conditions: Conditions,
    pub nodes: Vec<Option<Node>>,
    settings: Settings,
    rng: ChaCha8Rng,
    key: Key,
    /// Packets in flight by arrival time and number; the key is reversed for removal in order.
    in_flight: BTreeMap<Reverse<(Duration, u64)>, Packet>,
    packet_count: u64,
    metering: bool,
    /// Pair of balancers that cannot reach each other.
    blocked_pair: Option<(usize, usize)>,
}

/// The address of balancer `i`.
pub fn address(i: usize) -> PeerAddress {
    PeerAddress {
        ip: IpAddr::V4(Ipv4Addr::new(10, 0, (i / 250) as u8, (i % 250) as u8 + 1)),
        control_port: 7_000,
        relay_port: 7_001,
        bulk_port: 7_002,
    }
}

impl Network {
    /// Starts `n` balancers with each other's addresses as seeds, two per failure domain, and
    /// runs them for `settle`.
    pub fn new(n: usize, seed: u64, settle: Duration) -> Self {
        let mut net = Self {
            now: Duration::ZERO,
            conditions: Conditions::default(),
            nodes: Vec::new(),
            settings: Settings::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            key: Key::new(&[7; 32]).unwrap(),
            in_flight: BTreeMap::new(),
            packet_count: 0,
            metering: false,
            blocked_pair: None,
        };
        for i in 0..n {
            let node = net.node(i, n);
            net.nodes.push(Some(node));
        }
        net.run(settle);
        net
    }

    fn node(&mut self, i: usize, n: usize) -> Node {
        let me = Identity {
            node: NodeId(self.rng.random_range(1..=u64::MAX)),
            domain: FailureDomain((i / 2) as u16),
            address: address(i),
        };
        let mut membership = Membership::new(self.settings.clone(), me, self.rng.random());
        membership.set_seeds((0..n).map(|j| address(j).control()).collect());
        Node {
            membership,
            sent_bytes: 0,
            cpu_time: Duration::ZERO,
            events: Vec::new(),
            side: 0,
            tick_at: self.now + TICK.mul_f64(self.rng.random()),
            paused_until: Duration::ZERO,
        }
    }

    /// Resets the counters and starts counting sent bytes.
    pub fn start_metering(&mut self) {
        self.metering = true;
        for node in self.nodes.iter_mut().flatten() {
            node.sent_bytes = 0;
            node.cpu_time = Duration::ZERO;
        }
    }

    pub fn id(&self, i: usize) -> NodeId {
        self.balancer(i).local_id()
    }

    pub fn balancer(&self, i: usize) -> &Membership {
        &self.nodes[i].as_ref().unwrap().membership
    }

    pub fn with_balancer(&mut self, i: usize, f: impl FnOnce(&mut Membership)) {
        f(&mut self.nodes[i].as_mut().unwrap().membership);
    }

    /// Stops a balancer without a leave.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    /// Starts a new process at the address of balancer `i`.
    pub fn restart(&mut self, i: usize) {
        let n = self.nodes.len();
        let node = self.node(i, n);
        self.nodes[i] = Some(node);
    }

    /// Pauses a balancer's process; datagrams queue in its socket.
    pub fn pause(&mut self, i: usize, time: Duration) {
        self.nodes[i].as_mut().unwrap().paused_until = self.now + time;
    }

    /// Partitions the network; balancers on different sides cannot reach each other.
    pub fn partition(&mut self, side_of: impl Fn(usize) -> u8) {
        for (i, node) in self.nodes.iter_mut().enumerate() {
            if let Some(node) = node {
                node.side = side_of(i);
            }
        }
    }

    /// Drops all datagrams between two balancers.
    pub fn block_pair(&mut self, i: usize, j: usize) {
        self.blocked_pair = Some((i, j));
    }

    pub fn heal(&mut self) {
        self.blocked_pair = None;
        self.partition(|_| 0);
    }

    pub fn leave(&mut self, i: usize) {
        let now = self.now;
        let node = self.nodes[i].as_mut().unwrap();
        let outputs = node.membership.leave(now);
        self.apply_outputs(i, outputs);
    }

    pub fn members(&self, i: usize) -> Vec<NodeId> {
        self.balancer(i).members().map(|m| m.node()).collect()
    }

    /// The events of balancer `i` since `since`.
    pub fn events(&self, i: usize, since: Duration) -> Vec<Event> {
        let events = self.nodes[i].as_ref().unwrap().events.iter();
        events
            .filter(|(t, _)| *t >= since)
            .map(|(_, e)| *e)
            .collect()
    }

    /// Whether the members seen by each running balancer are exactly the other running ones.
    pub fn converged(&self) -> bool {
        let running: Vec<_> = self.nodes.iter().flatten().collect();
        let mut all: Vec<_> = running.iter().map(|n| n.membership.local_id()).collect();
        all.sort_unstable();
        running.iter().all(|n| {
            let mut seen: Vec<_> = n.membership.members().map(|m| m.node()).collect();
            seen.push(n.membership.local_id());
            seen.sort_unstable();
            seen == all
        })
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs until `done`, checked every 5 ms, or until `limit` has passed; returns the elapsed
    /// time, or `None` on a timeout.
    pub fn wait_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        self.run_until(start + limit, &done);
        done(self).then(|| self.now - start)
    }

    fn run_until(&mut self, end: Duration, done: impl Fn(&Self) -> bool) {
        while self.now < end && !done(self) {
            let next = self.now + Duration::from_millis(5);
            while let Some(Reverse((at, number))) = self.in_flight.last_key_value().map(|(k, _)| *k)
            {
                if at > next {
                    break;
                }
                let packet = self.in_flight.remove(&Reverse((at, number))).unwrap();
                self.now = self.now.max(at);
                self.deliver(packet);
            }
            self.now = next;
            for i in 0..self.nodes.len() {
                self.tick(i);
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let Some(node) = &mut self.nodes[i] else {
            return;
        };
        if now < node.tick_at || now < node.paused_until {
            return;
        }
        node.tick_at = now + TICK;
        let start = Instant::now();
        let outputs = node.membership.tick(now);
        node.cpu_time += start.elapsed();
        self.apply_outputs(i, outputs);
    }

    fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        let Some(node) = &mut self.nodes[packet.to] else {
            return;
        };
        if now < node.paused_until {
            let at = node.paused_until;
            self.schedule(at, packet);
            return;
        }
        let start = Instant::now();
        let outputs = node
            .membership
            .handle(now, packet.from, packet.source, &packet.message);
        node.cpu_time += start.elapsed();
        self.apply_outputs(packet.to, outputs);
    }

    fn apply_outputs(&mut self, i: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(i, to, message),
                Output::Event(event) => {
                    let now = self.now;
                    self.nodes[i].as_mut().unwrap().events.push((now, event));
                }
            }
        }
    }

    fn send(&mut self, i: usize, to: SocketAddr, message: Message) {
        let node = self.nodes[i].as_mut().unwrap();
        let (from, side) = (node.membership.local_id(), node.side);
        if self.metering {
            let body = Body::Membership(message.clone());
            let serial = 1_000_000;
            let datagram = Datagram { from, serial, body };
            node.sent_bytes += encode(&datagram, &self.key).len() as u64 + HEADER_BYTES;
        }
        let to = (0..self.nodes.len()).find(|j| address(*j).control() == to);
        let Some(to) = to else { return };
        let blocked = self.nodes[to].as_ref().is_some_and(|n| n.side != side);
        let blocked = blocked || [Some((i, to)), Some((to, i))].contains(&self.blocked_pair);
        if blocked || self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.conditions.duplication));
        for _ in 0..copies {
            let delay = self
                .rng
                .random_range(self.conditions.delay.0..=self.conditions.delay.1);
            let packet = Packet {
                from,
                source: address(i).control(),
                to,
                message: message.clone(),
            };
            self.schedule(self.now + delay, packet);
        }
    }

    fn schedule(&mut self, at: Duration, packet: Packet) {
        self.packet_count += 1;
        self.in_flight
            .insert(Reverse((at, self.packet_count)), packet);
    }
}
