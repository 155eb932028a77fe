//! A small fake fabric: several cores, a queue of what is under way, a clock.
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

/// What is under way between balancers.
#[derive(Clone, Debug)]
enum Cargo {
    Packet(RelayHeader, Packet),
    Message(FlowMessage),
    Prepared(PlanVersion),
    Event(Event),
}

/// A balancer of the fake fabric.
pub struct Balancer {
    pub core: Core,
    /// Its list of live balancers.
    pub peers: Vec<Peer>,
    pub alive: bool,
    /// Control bytes that it sent.
    pub control_bytes: usize,
}

/// Several balancers, a queue of what is under way between them, a clock.
pub struct Fabric {
    pub now: Duration,
    pub balancers: Vec<Balancer>,
    pub table: Arc<Table>,
    pub plan: Arc<Plan>,
    /// Targets that each caller's packets reached, in order.
    pub reached: HashMap<u32, Vec<TargetId>>,
    /// Last decisions other than forwarding or relaying, by caller.
    pub refused: HashMap<u32, Decision>,
    pub relayed: usize,
    /// Caller whose decisions are printed.
    pub trace: Option<u32>,
    /// Chance that a message or relayed packet is lost, in thousandths.
    pub loss: u32,
    /// Chance that a control message arrives twice, in thousandths.
    pub repeats: u32,
    /// Whether balancers tell each other their counts every second.
    pub shares: bool,
    /// Longest time that a message is under way.
    pub delay: Duration,
    pub rng: ChaCha8Rng,
    queue: BTreeMap<(Duration, u64), (usize, NodeId, Cargo)>,
    queued: u64,
    next_tick: Duration,
    cfg: CoreConfig,
}

/// Number of a balancer of the fabric.
pub fn node(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

impl Fabric {
    /// `n` balancers that all know `targets` equal targets and a plan for them.
    pub fn new(n: usize, targets: u8, seed: u64) -> Fabric {
        Self::with(n, rows(targets), seed, CoreConfig::default())
    }

    /// `n` balancers with a table of these rows.
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
            repeats: 0,
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

    /// Adds a balancer that knows the table and the plan.
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
        self.give(index, Event::Table(self.table.clone()));
        self.set_members(&peers);
        self.give(index, Event::Plan(self.plan.clone()));
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

    /// Tells every balancer who lives.
    pub fn set_members(&mut self, peers: &[Peer]) {
        for index in self.live() {
            self.balancers[index].peers = peers.to_vec();
            self.give(index, Event::Peers(peers.to_vec()));
        }
    }

    /// Marks a balancer as ready everywhere.
    pub fn set_ready(&mut self, index: usize) {
        let mut peers = self.live_peers();
        let peer = peers.iter_mut().find(|p| p.node == node(index)).unwrap();
        peer.ready = true;
        self.set_members(&peers);
    }

    /// Lets a balancer join: it gets a snapshot from another one, then it is ready.
    pub fn join(&mut self, from: usize) -> usize {
        let index = self.add(false);
        assert!(self.import(index, from));
        self.set_ready(index);
        index
    }

    /// Hands a snapshot of one balancer to another.
    pub fn import(&mut self, index: usize, from: usize) -> bool {
        let snapshot = self.balancers[from].core.snapshot_for(node(index));
        self.balancers[index]
            .core
            .import_snapshot(self.now, snapshot)
    }

    /// Lets a balancer leave: it tells the others what it knows for at most
    /// `limit`, then they drop it from their lists.
    pub fn leave(&mut self, index: usize, limit: Duration) {
        self.balancers[index].core.leave();
        let end = self.now + limit;
        while self.balancers[index].core.queued_messages() > 0 && self.now < end {
            self.run(TICK);
        }
        self.kill(index, Duration::ZERO);
    }

    /// The list of live balancers with what they have prepared.
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

    /// Makes the next table and keeps it for [`Fabric::give`].
    pub fn edit(&mut self, rows: &[Row]) -> Arc<Table> {
        self.table = Arc::new(table(&self.table, rows));
        self.table.clone()
    }

    /// Makes the next plan for the table.
    pub fn replan(&mut self) -> Arc<Plan> {
        self.plan = Arc::new(plan(&self.plan, &self.table));
        self.plan.clone()
    }

    /// Makes the next plan with one bucket moved to a target.
    pub fn move_bucket(&mut self, bucket: usize, target: TargetId) -> Arc<Plan> {
        let mut plan = Plan::clone(&self.plan);
        plan.version = PlanVersion(plan.version.0 + 1);
        plan.buckets[bucket].target = target;
        plan.buckets[bucket].since = plan.version;
        self.plan = Arc::new(plan);
        self.plan.clone()
    }

    /// Gives an event to a balancer at once.
    pub fn give(&mut self, index: usize, event: Event) {
        let actions = self.balancers[index].core.handle(self.now, event);
        self.act(index, actions);
    }

    /// Gives an event to a balancer after `delay`.
    pub fn give_later(&mut self, index: usize, delay: Duration, event: Event) {
        self.queue_up(delay, index, node(index), Cargo::Event(event));
    }

    /// Gives an event to all live balancers at once.
    pub fn give_all(&mut self, event: &Event) {
        for index in self.live() {
            self.give(index, event.clone());
        }
    }

    /// Bucket of a caller's flow.
    pub fn bucket(&self, caller: u32) -> usize {
        let hasher = FlowHasher::new(self.table.seed);
        hasher.hash(SERVICE, &key(caller)).bucket(BUCKETS)
    }

    /// The first caller from `from` on whose flow is in the bucket.
    pub fn caller_in(&self, bucket: usize, from: u32) -> u32 {
        (from..).find(|c| self.bucket(*c) == bucket).unwrap()
    }

    /// A packet from the fabric at a balancer.
    pub fn send(&mut self, index: usize, packet: Packet) {
        self.decide(index, packet, Via::Fabric);
    }

    /// A packet from the fabric at a random live balancer.
    pub fn spray(&mut self, packet: Packet) {
        let live = self.live();
        let index = live[self.rng.random_range(0..live.len())];
        self.send(index, packet);
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let arrival = self.queue.first_key_value().map(|(k, _)| *k);
            match arrival {
                Some(at) if at.0 <= end.min(self.next_tick) => self.arrive(at),
                _ if self.next_tick <= end => self.tick(),
                _ => break,
            }
        }
        self.now = end;
    }

    /// Targets that the caller's packets reached, each once.
    pub fn targets(&self, caller: u32) -> Vec<TargetId> {
        let mut targets = self.reached.get(&caller).cloned().unwrap_or_default();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Open buckets over all live balancers.
    pub fn open_buckets(&self) -> usize {
        let open = |i: usize| self.balancers[i].core.open_buckets(SERVICE);
        self.live().into_iter().map(open).sum()
    }

    /// Moves the first `n` buckets to a target at all balancers.
    pub fn move_buckets(&mut self, n: usize, target: TargetId) {
        for bucket in 0..n {
            self.move_bucket(bucket, target);
        }
        self.give_all(&Event::Plan(self.plan.clone()));
    }

    /// Opens `callers` and sends `packets` packets of each, sprayed.
    pub fn flows(&mut self, callers: Range<u32>, packets: u32) {
        for caller in callers.clone() {
            self.spray(syn(caller));
        }
        self.run(ms(10));
        for sequence in 1..packets {
            for caller in callers.clone() {
                self.spray(data(caller, sequence));
            }
            self.run(ms(10));
        }
    }

    /// Sends a packet of each flow to every balancer; all keep their target.
    pub fn check(&mut self, callers: Range<u32>, what: &str) {
        for caller in callers {
            let before = self.targets(caller);
            assert_eq!(before.len(), 1, "{what}: caller {caller}");
            for index in self.live() {
                self.send(index, data(caller, 1 << 16));
                self.run(ms(3));
            }
            assert_eq!(self.targets(caller), before, "{what}: caller {caller}");
        }
    }
}
