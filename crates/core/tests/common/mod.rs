//! A simulated network fabric: several cores, a queue of messages in flight and
//! a virtual clock.
#![allow(dead_code)]

mod delivery;
mod traffic;

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_core::{Core, CoreConfig, Decision, Event, Peer, Via};
use sequoiatrail_packet::Packet;
use sequoiatrail_plan::Plan;
use sequoiatrail_table::{Row, Table};
use sequoiatrail_types::{FailureDomain, FlowHasher, HashSeed, NodeId, PlanVersion, TargetId};
use sequoiatrail_wire::message::{FlowMessage, RelayHeader};

use delivery::TICK;
pub use traffic::*;

/// Something in flight between balancers.
#[derive(Clone, Debug)]
enum Item {
    Packet(RelayHeader, Packet),
    Message(FlowMessage),
    Prepared(PlanVersion),
    Event(Event),
}

/// A balancer of the simulated fabric.
pub struct Balancer {
    pub core: Core,
    /// Its list of live balancers.
    pub peers: Vec<Peer>,
    pub alive: bool,
    /// Control bytes sent so far.
    pub control_bytes: usize,
}

/// A simulated fabric with several balancers.
pub struct Fabric {
    pub now: Duration,
    pub balancers: Vec<Balancer>,
    pub table: Arc<Table>,
    pub plan: Arc<Plan>,
    /// Targets reached by the packets of each client, in order.
    pub reached: HashMap<u32, Vec<TargetId>>,
    /// Last decision other than forwarding or relaying, by client.
    pub refused: HashMap<u32, Decision>,
    pub relayed: usize,
    /// Client whose decisions are printed.
    pub trace: Option<u32>,
    /// Loss rate of messages and relayed packets, in thousandths.
    pub loss: u32,
    /// Duplication rate of control messages, in thousandths.
    pub duplicates: u32,
    /// Whether the balancers exchange their flow counts every second.
    pub shares: bool,
    /// Maximum delay of a message.
    pub delay: Duration,
    pub rng: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), (usize, NodeId, Item)>,
    queued: u64,
    next_tick: Duration,
    cfg: CoreConfig,
}

/// Node ID of a balancer of the fabric.
pub fn node(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

impl Fabric {
    /// Creates `n` balancers that all have a table of `targets` equal targets
    /// and a plan for it.
    pub fn new(n: usize, targets: u8, seed: u64) -> Fabric {
        Self::with(n, rows(targets), seed, CoreConfig::default())
    }

    /// Creates `n` balancers with a table of these rows.
    pub fn with(n: usize, rows: Vec<Row>, seed: u64, cfg: CoreConfig) -> Fabric {
        let table = Arc::new(table(&Table::with_seed(HashSeed(1, 2)), &rows));
        let plan = Arc::new(plan(&Plan::empty(SERVICE, BUCKETS), &table));
        let mut fabric = Fabric {
            now: Duration::from_secs(1),
            balancers: Vec::new(),
            table,
            plan,
            reached: HashMap::new(),
            refused: HashMap::new(),
            relayed: 0,
            trace: None,
            loss: 0,
            duplicates: 0,
            shares: false,
            delay: Duration::from_millis(2),
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            queued: 0,
            next_tick: Duration::from_secs(1),
            cfg,
        };
        for _ in 0..n {
            fabric.add(true);
        }
        fabric.run(Duration::from_millis(200));
        fabric
    }

    /// Adds a balancer that has the table and the plan.
    pub fn add(&mut self, ready: bool) -> usize {
        let index = self.balancers.len();
        let mut peers = self.live_peers();
        peers.push(Peer {
            node: node(index),
            domain: FailureDomain(1),
            ready,
            prepared: Vec::new(),
        });
        self.balancers.push(Balancer {
            core: Core::new(self.cfg.clone(), node(index)),
            peers: Vec::new(),
            alive: true,
            control_bytes: 0,
        });
        self.deliver(index, Event::Table(self.table.clone()));
        self.set_members(&peers);
        self.deliver(index, Event::Plan(self.plan.clone()));
        index
    }

    /// Kills a balancer; the others learn of it after `detection`.
    pub fn kill(&mut self, index: usize, detection: Duration) {
        self.balancers[index].alive = false;
        self.queue.retain(|_, (to, ..)| *to != index);
        self.run(detection);
        let peers = self.live_peers();
        self.set_members(&peers);
    }

    /// Delivers a list of live balancers to every balancer.
    pub fn set_members(&mut self, peers: &[Peer]) {
        for index in self.live() {
            self.balancers[index].peers = peers.to_vec();
            self.deliver(index, Event::Peers(peers.to_vec()));
        }
    }

    /// Marks a balancer as ready everywhere.
    pub fn set_ready(&mut self, index: usize) {
        let mut peers = self.live_peers();
        let peer = peers.iter_mut().find(|p| p.node == node(index)).unwrap();
        peer.ready = true;
        self.set_members(&peers);
    }

    /// Adds a balancer that imports a snapshot of another one and then becomes
    /// ready.
    pub fn join(&mut self, from: usize) -> usize {
        let index = self.add(false);
        assert!(self.import_snapshot(index, from));
        self.set_ready(index);
        index
    }

    /// Imports a snapshot of one balancer into another.
    pub fn import_snapshot(&mut self, index: usize, from: usize) -> bool {
        let snapshot = self.balancers[from].core.snapshot_for(node(index));
        self.balancers[index]
            .core
            .import_snapshot(self.now, snapshot)
    }

    /// Removes a balancer after it has handed its flows over for at most
    /// `limit`.
    pub fn leave(&mut self, index: usize, limit: Duration) {
        self.balancers[index].core.leave();
        let end = self.now + limit;
        while self.balancers[index].core.queued_messages() > 0 && self.now < end {
            self.run(TICK);
        }
        self.kill(index, Duration::ZERO);
    }

    /// The live balancers and the plans they have prepared.
    pub fn live_peers(&self) -> Vec<Peer> {
        let Some(first) = self.live().first().copied() else {
            return Vec::new();
        };
        let mut peers = self.balancers[first].peers.clone();
        peers.retain(|p| self.live().iter().any(|i| node(*i) == p.node));
        for peer in &mut peers {
            let core = &self.balancers[peer.node.0 as usize - 1].core;
            let version = core.plan_version(SERVICE);
            peer.prepared = version.map(|v| (SERVICE, v)).into_iter().collect();
        }
        peers
    }

    /// Indexes of the live balancers.
    pub fn live(&self) -> Vec<usize> {
        let all = 0..self.balancers.len();
        all.filter(|i| self.balancers[*i].alive).collect()
    }

    /// Creates the next table and keeps it as the current one.
    pub fn edit(&mut self, rows: &[Row]) -> Arc<Table> {
        self.table = Arc::new(table(&self.table, rows));
        self.table.clone()
    }

    /// Creates the next plan for the current table.
    pub fn replan(&mut self) -> Arc<Plan> {
        self.plan = Arc::new(plan(&self.plan, &self.table));
        self.plan.clone()
    }

    /// Creates the next plan with one bucket moved to a target.
    pub fn move_bucket(&mut self, bucket: usize, target: TargetId) -> Arc<Plan> {
        let mut plan = Plan::clone(&self.plan);
        plan.version = PlanVersion(plan.version.0 + 1);
        plan.buckets[bucket].target = target;
        plan.buckets[bucket].since = plan.version;
        self.plan = Arc::new(plan);
        self.plan.clone()
    }

    /// Delivers an event to a balancer at once.
    pub fn deliver(&mut self, index: usize, event: Event) {
        let actions = self.balancers[index].core.handle(self.now, event);
        self.apply_actions(index, actions);
    }

    /// Delivers an event to a balancer after `delay`.
    pub fn deliver_later(&mut self, index: usize, delay: Duration, event: Event) {
        self.enqueue(delay, index, node(index), Item::Event(event));
    }

    /// Delivers an event to all live balancers at once.
    pub fn deliver_to_all(&mut self, event: &Event) {
        for index in self.live() {
            self.deliver(index, event.clone());
        }
    }

    /// Bucket of a client's flow.
    pub fn bucket(&self, client: u32) -> usize {
        let hasher = FlowHasher::new(self.table.seed);
        hasher.hash(SERVICE, &key(client)).bucket(BUCKETS)
    }

    /// The first client numbered `from` or higher whose flow is in the bucket.
    pub fn client_in(&self, bucket: usize, from: u32) -> u32 {
        (from..).find(|c| self.bucket(*c) == bucket).unwrap()
    }

    /// Sends a packet from the fabric to a balancer.
    pub fn send(&mut self, index: usize, packet: Packet) {
        self.decide(index, packet, Via::Fabric);
    }

    /// Sends a packet from the fabric to a random live balancer.
    pub fn spray(&mut self, packet: Packet) {
        let live = self.live();
        let index = live[self.rng.random_range(0..live.len())];
        self.send(index, packet);
    }

    /// Advances the clock, running ticks and deliveries in order.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let arrival = self.queue.first_key_value().map(|(k, _)| *k);
            match arrival {
                Some(at) if at.0 <= end.min(self.next_tick) => self.deliver_next(at),
                _ if self.next_tick <= end => self.tick(),
                _ => break,
            }
        }
        self.now = end;
    }

    /// Distinct targets reached by the client's packets.
    pub fn targets(&self, client: u32) -> Vec<TargetId> {
        let mut targets = self.reached.get(&client).cloned().unwrap_or_default();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Number of open buckets over all live balancers.
    pub fn open_buckets(&self) -> usize {
        let open = |i: usize| self.balancers[i].core.open_buckets(SERVICE);
        self.live().into_iter().map(open).sum()
    }

    /// Moves the first `n` buckets to a target on all balancers.
    pub fn move_buckets(&mut self, n: usize, target: TargetId) {
        for bucket in 0..n {
            self.move_bucket(bucket, target);
        }
        self.deliver_to_all(&Event::Plan(self.plan.clone()));
    }

    /// Opens a flow for each of `clients` and sends `packets` packets of each
    /// to random balancers.
    pub fn run_flows(&mut self, clients: Range<u32>, packets: u32) {
        for client in clients.clone() {
            self.spray(syn(client));
        }
        self.run(ms(10));
        for sequence in 1..packets {
            for client in clients.clone() {
                self.spray(data(client, sequence));
            }
            self.run(ms(10));
        }
    }

    /// Sends a packet of each flow to every balancer and asserts that its
    /// target does not change.
    pub fn assert_targets_kept(&mut self, clients: Range<u32>, what: &str) {
        for client in clients {
            let before = self.targets(client);
            assert_eq!(before.len(), 1, "{what}: client {client}");
            for index in self.live() {
                self.send(index, data(client, 1 << 16));
                self.run(ms(3));
            }
            assert_eq!(self.targets(client), before, "{what}: client {client}");
        }
    }
}
