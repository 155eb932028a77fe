//! Simulation of targets, their flows and the planner in steps of one second.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_health::{Health, HealthSettings, Load, LoadSettings};
use sequoiatrail_plan::{Factors, Planner, PlannerSettings, Plans};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, FlowHash, NodeId, Protocol, ServiceId, TargetId};
use sequoiatrail_wire::message::{Observation, Share};

const NODE: NodeId = NodeId(1);
const SERVICE: ServiceId = ServiceId(0);
/// Seconds between two load reports of a target, and between two flow counts.
const REPORT_INTERVAL_S: u64 = 10;
/// Age in seconds of a report when it arrives.
const REPORT_LAG_S: usize = 10;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub targets: u32,
    /// Open flows per target at the start, maintained by new arrivals.
    pub flows: u32,
    /// Mean lifetime of a flow.
    pub mean_lifetime_s: f64,
    /// Capacity of target 0 relative to the others.
    pub capacity: f64,
    /// Load that target 0 reports instead of its real one.
    pub false_report: Option<u16>,
    /// Number of targets, from 0 on, that are stopped at first and return without
    /// flows after 60 s.
    pub returning: u32,
}

/// One run of a scenario.
pub struct World {
    scenario: Scenario,
    now: u64,
    rng: ChaCha8Rng,
    table: Table,
    health: Health,
    load: Option<Load>,
    planner: Planner,
    pub plans: Plans,
    pub changes: u32,
    pub moved: usize,
    open: Vec<u32>,
    /// Loads of the last seconds, newest last.
    report_history: VecDeque<Vec<u16>>,
}

impl World {
    pub fn new(scenario: Scenario, load: Option<LoadSettings>, seed: u64) -> World {
        let rows: Vec<Row> = (0..scenario.targets).map(row).collect();
        let table = Table::default();
        let mut world = World {
            scenario,
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table: table
                .with_rows(&rows, EditId::default())
                .expect("rows are valid"),
            health: Health::new(NODE, HealthSettings::default()),
            load: load.map(Load::new),
            planner: Planner::new(NODE, PlannerSettings::default()),
            plans: Plans::new(),
            changes: 0,
            moved: 0,
            open: vec![0; scenario.targets as usize],
            report_history: VecDeque::new(),
        };
        world.plan();
        for _ in 0..scenario.targets * scenario.flows {
            world.arrive();
        }
        if scenario.returning > 0 {
            world.set_state(TargetState::Stopped);
            world.plan();
            let returning = &mut world.open[..scenario.returning as usize];
            let flows: u32 = returning.iter_mut().map(std::mem::take).sum();
            (0..flows).for_each(|_| world.arrive());
        }
        (world.changes, world.moved) = (0, 0);
        world
    }

    /// Advances by one second.
    pub fn step(&mut self) {
        self.now += 1;
        if self.scenario.returning > 0 && self.now == 60 {
            self.set_state(TargetState::Started);
        }
        self.end_flows();
        let rate =
            f64::from(self.scenario.targets * self.scenario.flows) / self.scenario.mean_lifetime_s;
        let arrivals = rate as u32 + u32::from(self.rng.random_bool(rate.fract()));
        (0..arrivals).for_each(|_| self.arrive());
        self.report();
        self.plan();
    }

    /// Maximum ratio of a target's share of the open flows to its weighted share.
    pub fn imbalance(&self) -> f64 {
        let total: u32 = self.open.iter().sum();
        let most = self.open.iter().max().copied().unwrap_or(0);
        f64::from(most) * self.open.len() as f64 / f64::from(total)
    }

    /// Maximum utilization of a target relative to the mean utilization.
    pub fn overload(&self) -> f64 {
        let total: u32 = self.open.iter().sum();
        let capacity = self.open.len() as f64 - 1.0 + self.scenario.capacity;
        let mean = f64::from(total) / capacity;
        let utilizations = (0..self.open.len()).map(|t| self.utilization(t));
        utilizations.fold(0.0, f64::max) / mean
    }

    fn utilization(&self, target: usize) -> f64 {
        let capacity = if target == 0 {
            self.scenario.capacity
        } else {
            1.0
        };
        f64::from(self.open[target]) / capacity
    }

    fn arrive(&mut self) {
        let bucket = self.plans[&SERVICE].bucket(FlowHash(self.rng.random()));
        self.open[bucket.target.0 as usize] += 1;
    }

    fn end_flows(&mut self) {
        let chance = 1.0 / self.scenario.mean_lifetime_s;
        for open in &mut self.open {
            let ended = (0..*open).filter(|_| self.rng.random_bool(chance)).count();
            *open -= ended as u32;
        }
    }

    fn report(&mut self) {
        let loads = (0..self.open.len())
            .map(|t| self.reported_load(t))
            .collect();
        self.report_history.push_back(loads);
        if self.report_history.len() > REPORT_LAG_S {
            self.report_history.pop_front();
        }
        if !self.now.is_multiple_of(REPORT_INTERVAL_S) {
            return;
        }
        let (now, Some(load)) = (Duration::from_secs(self.now), &mut self.load) else {
            return;
        };
        for (t, open_flows) in self.open.iter().enumerate() {
            let target = TargetId(t as u32);
            let observation = Observation {
                target,
                round: self.now as u32,
                healthy: true,
                load: self.report_history[0][t],
            };
            load.record_report(now, observation);
            let share = Share {
                target,
                open_flows: *open_flows,
                new_flows: 0,
            };
            load.record_count(now, NODE, share);
        }
    }

    /// Reported load in thousandths; a fair share of the flows is a load of 600.
    fn reported_load(&self, target: usize) -> u16 {
        if let (0, Some(false_report)) = (target, self.scenario.false_report) {
            return false_report;
        }
        let load = 600.0 * self.utilization(target) / f64::from(self.scenario.flows);
        load.min(1_000.0) as u16
    }

    fn plan(&mut self) {
        let now = Duration::from_secs(self.now);
        let factors = match &mut self.load {
            Some(load) => load.factors(now, &self.table, &self.health),
            None => Factors::default(),
        };
        self.health.set_table(now, &self.table);
        for proposal in self
            .planner
            .propose(now, &self.table, &self.plans, &[NODE], &factors)
        {
            if let Some(last) = self.plans.get(&SERVICE) {
                let pairs = last.buckets.iter().zip(&proposal.plan.buckets);
                self.moved += pairs.filter(|(a, b)| a.target != b.target).count();
            }
            self.changes += 1;
            self.plans.insert(SERVICE, Arc::new(proposal.plan));
        }
    }

    fn set_state(&mut self, state: TargetState) {
        let mut rows = self.table.rows();
        for row in &mut rows[..self.scenario.returning as usize] {
            row.state = state;
        }
        let next = self.table.with_rows(&rows, EditId::default());
        self.table = next.expect("rows are valid");
    }
}

fn row(number: u32) -> Row {
    Row {
        service: "crew".into(),
        owner: String::new(),
        address: [192, 0, 2, 1].into(),
        port: 443,
        protocol: Protocol::Tcp,
        target: format!("t{number}"),
        target_address: ([10, 0, 0, number as u8], 5555).into(),
        failure_domain: FailureDomain(0),
        weight: 1,
        max_connections: 0,
        slots: 0,
        state: TargetState::Started,
        drain_limit_s: 0,
    }
}
