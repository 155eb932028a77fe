//! Prints how the planner's elapsed time and memory scale, as JSON.
//!
//! `cargo run --release -p sequoiatrail-plan --example planner_slopes`

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sequoiatrail_plan::{Factor, Factors, Planner, PlannerSettings, Plans};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, NodeId, Protocol};
use serde::Serialize;

/// Numbers of services, up to the design size.
const SERVICES: [u32; 5] = [2, 37, 370, 1_850, 3_700];
/// Targets per service, so that 3,700 services have about 25,000.
const TARGETS_PER_SERVICE: f64 = 25_000.0 / 3_700.0;
/// Live balancers of one failure domain at the design size.
const LIVE_BALANCERS: u64 = 240;
const REPEATS: u32 = 5;

/// Measurements at one size.
#[derive(Serialize)]
struct Sample {
    services: u32,
    targets: usize,
    /// A call when nothing has changed.
    idle_us: f64,
    /// A call with a factor other than 1 for every tenth target, with no plan due.
    factors_us: f64,
    /// The first call after an edit of one row.
    edit_us: f64,
    /// The call that creates the first plans of all services.
    first_us: f64,
    /// Resident memory of all plans and the planner.
    memory_kib: f64,
    /// Size of all plans as JSON.
    stored_kib: f64,
}

/// Linear fit of the samples.
#[derive(Serialize)]
struct Slope {
    measure: &'static str,
    per_service: f64,
    fixed: f64,
    /// Maximum distance of a sample from the line, relative to the largest sample.
    residual: f64,
}

#[derive(Serialize)]
struct Output {
    samples: Vec<Sample>,
    slopes: Vec<Slope>,
}

fn main() {
    let samples: Vec<Sample> = SERVICES.into_iter().map(sample).collect();
    let slopes = vec![
        slope("idle_us", &samples, |s| s.idle_us),
        slope("factors_us", &samples, |s| s.factors_us),
        slope("edit_us", &samples, |s| s.edit_us),
        slope("first_us", &samples, |s| s.first_us),
        slope("memory_kib", &samples, |s| s.memory_kib),
        slope("stored_kib", &samples, |s| s.stored_kib),
    ];
    let output = Output { samples, slopes };
    let json = serde_json::to_string_pretty(&output).expect("numbers are JSON");
    println!("{json}");
}

fn sample(services: u32) -> Sample {
    let rows = rows(services);
    let table = Table::default();
    let table = table
        .with_rows(&rows, EditId::default())
        .expect("rows are valid");
    let live: Vec<NodeId> = (1..=LIVE_BALANCERS).map(NodeId).collect();
    let none = Factors::default();
    let before = resident_kib();
    // As the only balancer, this one is first in rank for all services.
    let mut planner = Planner::new(NodeId(1), PlannerSettings::default());
    let mut plans = Plans::new();
    let start = Instant::now();
    let proposals = planner.propose(Duration::ZERO, &table, &plans, &[], &none);
    let first_us = micros(start);
    plans.extend(
        proposals
            .into_iter()
            .map(|p| (p.plan.service, Arc::new(p.plan))),
    );
    let memory_kib = resident_kib() - before;
    let mut now = Duration::from_secs(1);
    let mut call = |table: &Table, factors: &Factors| {
        now += Duration::from_secs(1);
        let start = Instant::now();
        black_box(planner.propose(now, table, &plans, &live, factors));
        micros(start)
    };
    call(&table, &none);
    let idle_us = fastest(|| call(&table, &none));
    let tenth = table
        .targets
        .iter()
        .step_by(10)
        .map(|t| (t.id, Factor(800)));
    let factors: Factors = tenth.collect();
    let factors_us = fastest(|| call(&table, &factors));
    let edited = edit(&table);
    let edit_us = call(&edited, &none);
    let stored: usize = plans.values().map(|p| stored_bytes(p)).sum();
    Sample {
        services,
        targets: table.targets.len(),
        idle_us,
        factors_us,
        edit_us,
        first_us,
        memory_kib,
        stored_kib: stored as f64 / 1_024.0,
    }
}

fn stored_bytes(plan: &sequoiatrail_plan::Plan) -> usize {
    serde_json::to_vec(plan).expect("plans are JSON").len()
}

fn fastest(mut measure: impl FnMut() -> f64) -> f64 {
    (0..REPEATS).map(|_| measure()).fold(f64::MAX, f64::min)
}

fn micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}

/// Resident memory of this process.
fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0.0)
}

fn edit(table: &Table) -> Table {
    let mut edited = table.clone();
    edited.version.0 += 1;
    edited.targets[0].row.state = TargetState::Stopped;
    edited
}

fn rows(services: u32) -> Vec<Row> {
    let targets = (f64::from(services) * TARGETS_PER_SERVICE) as u32;
    let row = |n: u32| {
        let service = n % services;
        Row {
            service: format!("s{service}"),
            owner: String::new(),
            address: [10, 1, (service >> 8) as u8, service as u8].into(),
            port: 443,
            protocol: Protocol::Tcp,
            target: format!("t{n}"),
            target_address: ([10, 2, (n >> 8) as u8, n as u8], 5_555).into(),
            failure_domain: FailureDomain((n % 10) as u16),
            weight: 1,
            max_connections: 2_000,
            slots: 2,
            state: TargetState::Started,
            drain_limit_s: 0,
        }
    };
    (0..targets).map(row).collect()
}

/// Least-squares fit.
fn slope(measure: &'static str, samples: &[Sample], of: impl Fn(&Sample) -> f64) -> Slope {
    let points: Vec<(f64, f64)> = samples
        .iter()
        .map(|s| (f64::from(s.services), of(s)))
        .collect();
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let per_service = covariance / variance;
    let fixed = mean_y - per_service * mean_x;
    let distance = |p: &(f64, f64)| (p.1 - fixed - per_service * p.0).abs();
    let largest = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max);
    Slope {
        measure,
        per_service,
        fixed,
        residual: points.iter().map(distance).fold(0.0, f64::max) / largest,
    }
}
