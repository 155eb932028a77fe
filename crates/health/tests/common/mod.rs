//! In-memory simulation of a few balancers that check the same targets.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sequoiatrail_health::{Balancer, Health, HealthEvent, HealthSettings, Probe, ProbeOutcome};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, NodeId, Protocol, TargetId};
use sequoiatrail_wire::message::Observation;

/// Simulated time per step.
pub const STEP: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

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

/// Balancers, their pending probes and the injected faults.
pub struct World {
    pub now: Duration,
    pub health: Vec<Health>,
    pub balancers: Vec<Balancer>,
    /// Targets that do not answer probes.
    pub unresponsive: BTreeSet<TargetId>,
    /// Pairs of balancer and target between which probes are lost.
    pub blocked: BTreeSet<(usize, TargetId)>,
    /// New flows of each target per step and balancer: answered, unanswered.
    pub flows: BTreeMap<TargetId, (u32, u32)>,
    /// Returns whether the next message is lost.
    pub is_lost: Box<dyn FnMut() -> bool>,
    pub events: Vec<(Duration, usize, HealthEvent)>,
    pub messages: usize,
    pub probes: usize,
    pending: Vec<(Duration, usize, Probe, ProbeOutcome)>,
}

impl World {
    pub fn new(n: u16, table: &Table) -> World {
        World::with_settings(n, table, HealthSettings::default())
    }

    pub fn with_settings(n: u16, table: &Table, settings: HealthSettings) -> World {
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
            unresponsive: BTreeSet::new(),
            blocked: BTreeSet::new(),
            flows: BTreeMap::new(),
            is_lost: Box::new(|| false),
            events: Vec::new(),
            messages: 0,
            probes: 0,
            pending: Vec::new(),
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

    /// Times at which any balancer marked a target down.
    pub fn down_times(&self, target: TargetId) -> Vec<Duration> {
        let is_down_event =
            |e: &HealthEvent| matches!(e, HealthEvent::Down { target: t, .. } if *t == target);
        self.events
            .iter()
            .filter(|(_, _, e)| is_down_event(e))
            .map(|(at, _, _)| *at)
            .collect()
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for i in 0..self.health.len() {
            for probe in self.health[i].due_probes(now) {
                self.probes += 1;
                let reachable = !self.unresponsive.contains(&probe.target)
                    && !self.blocked.contains(&(i, probe.target));
                let (at, outcome) = match reachable {
                    true => (now, ProbeOutcome::Answered { load: Some(500) }),
                    false => (now + PROBE_TIMEOUT, ProbeOutcome::Failed),
                };
                self.pending.push((at, i, probe, outcome));
            }
            for (target, (answered, unanswered)) in &self.flows {
                self.health[i].record_flows(now, *target, *answered, *unanswered);
            }
        }
        let (done, pending) = self.pending.drain(..).partition(|(at, ..)| *at <= now);
        self.pending = pending;
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
        let sent: Vec<(usize, Vec<Observation>)> = self
            .health
            .iter_mut()
            .map(|h| h.outgoing_observations(self.now))
            .enumerate()
            .collect();
        for (from, observations) in sent {
            self.messages += observations.len();
            for to in (0..self.health.len()).filter(|to| *to != from) {
                let node = self.balancers[from].node;
                for observation in observations.iter().filter(|_| !(self.is_lost)()) {
                    self.health[to].record_observation(self.now, node, *observation);
                }
            }
        }
    }
}
