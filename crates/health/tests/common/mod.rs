//! A few balancers that look at the same targets, without sockets.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sequoiatrail_health::{Balancer, Health, HealthEvent, HealthSettings, Probe, ProbeOutcome};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, NodeId, Protocol, TargetId};
use sequoiatrail_wire::message::Observation;

/// Time between two steps.
pub const STEP: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_millis(500);

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn row(number: u32, domains: u32) -> Row {
    Row {
        service: "crew".into(),
        owner: String::new(),
        address: [192, 0, 2, 1].into(),
        port: 443,
        protocol: Protocol::Tcp,
        target: format!("t{number}"),
        target_address: ([10, 0, 0, number as u8], 5555).into(),
        failure_domain: FailureDomain((number % domains) as u16),
        weight: 1,
        max_connections: 0,
        slots: 0,
        state: TargetState::Started,
        drain_limit_s: 0,
    }
}

pub fn table(targets: u32) -> Table {
    let rows: Vec<Row> = (0..targets).map(|n| row(n, 3)).collect();
    Table::default()
        .with_rows(&rows, EditId::default())
        .unwrap()
}

pub fn edit(table: &Table, change: impl FnOnce(&mut Vec<Row>)) -> Table {
    let mut rows = table.rows();
    change(&mut rows);
    table.with_rows(&rows, EditId::default()).unwrap()
}

pub fn balancers(n: u16) -> Vec<Balancer> {
    let balancer = |i| Balancer {
        node: NodeId(u64::from(i) + 1),
        domain: FailureDomain(i % 3),
    };
    (0..n).map(balancer).collect()
}

/// Balancers, their probes on the way and the faults of the world.
pub struct World {
    pub now: Duration,
    pub health: Vec<Health>,
    pub balancers: Vec<Balancer>,
    /// Targets that do not answer probes.
    pub silent: BTreeSet<TargetId>,
    /// Pairs of balancer and target between which probes get lost.
    pub cut: BTreeSet<(usize, TargetId)>,
    /// Flows in a step of each target at each balancer: progressed, stalled.
    pub flows: BTreeMap<TargetId, (u32, u32)>,
    /// Says whether a message gets lost.
    pub lose: Box<dyn FnMut() -> bool>,
    pub events: Vec<(Duration, usize, HealthEvent)>,
    pub messages: usize,
    pub probes: usize,
    waiting: Vec<(Duration, usize, Probe, ProbeOutcome)>,
}

impl World {
    pub fn new(n: u16, table: &Table) -> World {
        World::with(n, table, HealthSettings::default())
    }

    pub fn with(n: u16, table: &Table, settings: HealthSettings) -> World {
        let balancers = balancers(n);
        let start = |b: &Balancer| {
            let mut health = Health::new(b.node, settings);
            health.set_table(secs(0), table);
            health.set_live(secs(0), &balancers);
            health
        };
        World {
            now: secs(0),
            health: balancers.iter().map(start).collect(),
            balancers: balancers.clone(),
            silent: BTreeSet::new(),
            cut: BTreeSet::new(),
            flows: BTreeMap::new(),
            lose: Box::new(|| false),
            events: Vec::new(),
            messages: 0,
            probes: 0,
            waiting: Vec::new(),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn down_at(&self, balancer: usize) -> Vec<TargetId> {
        self.health[balancer].down().collect()
    }

    /// Times at which a target went down anywhere.
    pub fn downs(&self, target: TargetId) -> Vec<Duration> {
        let went_down =
            |e: &HealthEvent| matches!(e, HealthEvent::Down { target: t, .. } if *t == target);
        self.events
            .iter()
            .filter(|(_, _, e)| went_down(e))
            .map(|(at, _, _)| *at)
            .collect()
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for i in 0..self.health.len() {
            for probe in self.health[i].due_probes(now) {
                self.probes += 1;
                let answers =
                    !self.silent.contains(&probe.target) && !self.cut.contains(&(i, probe.target));
                let (at, outcome) = match answers {
                    true => (now, ProbeOutcome::Answered { load: Some(500) }),
                    false => (now + TIMEOUT, ProbeOutcome::Failed),
                };
                self.waiting.push((at, i, probe, outcome));
            }
            for (target, (progressed, stalled)) in &self.flows {
                self.health[i].record_flows(now, *target, *progressed, *stalled);
            }
        }
        let (done, waiting) = self.waiting.drain(..).partition(|(at, ..)| *at <= now);
        self.waiting = waiting;
        for (_, i, probe, outcome) in done {
            self.health[i].record_probe(now, probe, outcome);
        }
        self.exchange();
        for (i, health) in self.health.iter_mut().enumerate() {
            let events = health.tick(now);
            self.events.extend(events.into_iter().map(|e| (now, i, e)));
        }
    }

    fn exchange(&mut self) {
        let told: Vec<(usize, Vec<Observation>)> = self
            .health
            .iter_mut()
            .map(|h| h.outgoing_observations(self.now))
            .enumerate()
            .collect();
        for (from, news) in told {
            self.messages += news.len();
            for to in (0..self.health.len()).filter(|to| *to != from) {
                let node = self.balancers[from].node;
                for observation in news.iter().filter(|_| !(self.lose)()) {
                    self.health[to].record_observation(self.now, node, *observation);
                }
            }
        }
    }
}
