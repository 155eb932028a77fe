//! Prints how elapsed time and memory of target health and load scale, as JSON.
//!
//! `cargo run --release -p sequoiatrail-health --example health_slopes`

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use sequoiatrail_health::{
    Balancer, Health, HealthSettings, Load, LoadSettings, Probe, ProbeOutcome,
};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, NodeId, Protocol, TargetId};
use sequoiatrail_wire::message::{Observation, Share};
use serde::Serialize;

/// Numbers of targets, up to the design size.
const TARGETS: [u32; 5] = [18, 250, 2_500, 12_500, 25_000];
/// Targets per service.
const TARGETS_PER_SERVICE: u32 = 7;
/// Balancers that check the targets: one failure domain at the design size.
const BALANCERS: u64 = 240;
/// Calls of `tick`, `due_probes` and `outgoing_observations` per second.
const CALLS_PER_S: u32 = 4;
/// Measured seconds.
const DURATION_S: u32 = 10;

/// Measurements at one size.
#[derive(Serialize)]
struct Sample {
    targets: u32,
    /// Probes per second of one balancer.
    probes: f64,
    /// Observations sent per second by one balancer in steady state.
    told: f64,
    /// Elapsed time per second of probing, evaluating and sending.
    health_us: f64,
    /// Elapsed time to record one observation.
    observed_us: f64,
    /// Elapsed time to calculate the factors of all targets, once a second.
    factors_us: f64,
    /// Elapsed time to reassign the probes when a balancer joins or leaves.
    assign_us: f64,
    /// Resident memory, with observations of three balancers on each target.
    memory_kib: f64,
}

/// Linear fit of the samples.
#[derive(Serialize)]
struct Slope {
    measure: &'static str,
    per_target: f64,
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
    let samples: Vec<Sample> = TARGETS.into_iter().map(sample).collect();
    let slopes = vec![
        slope("probes", &samples, |s| s.probes),
        slope("told", &samples, |s| s.told),
        slope("health_us", &samples, |s| s.health_us),
        slope("observed_us", &samples, |s| s.observed_us),
        slope("factors_us", &samples, |s| s.factors_us),
        slope("assign_us", &samples, |s| s.assign_us),
        slope("memory_kib", &samples, |s| s.memory_kib),
    ];
    let output = Output { samples, slopes };
    let json = serde_json::to_string_pretty(&output).expect("numbers are JSON");
    println!("{json}");
}

fn sample(targets: u32) -> Sample {
    let rows: Vec<Row> = (0..targets).map(row).collect();
    let table = Table::default();
    let table = table
        .with_rows(&rows, EditId::default())
        .expect("rows are valid");
    let live: Vec<Balancer> = (1..=BALANCERS).map(balancer).collect();
    let before = resident_kib();
    let mut health = Health::new(NodeId(1), HealthSettings::default());
    let mut load = Load::new(LoadSettings::default());
    health.set_table(Duration::ZERO, &table);
    health.set_live(Duration::ZERO, &live);
    load.factors(Duration::ZERO, &table, &health);
    let observed_us = observe(&mut health, &mut load, targets);
    let mut run = Run::default();
    run.seconds(&mut health, 0..DURATION_S);
    let factors_us = factors(&mut load, &health, &table);
    let memory_kib = resident_kib() - before;
    run = Run::default();
    run.seconds(&mut health, DURATION_S..2 * DURATION_S);
    let start = Instant::now();
    health.set_live(Duration::from_secs(60), &live[1..]);
    let assign_us = micros(start);
    Sample {
        targets,
        probes: f64::from(run.probes) / f64::from(DURATION_S),
        told: f64::from(run.sent) / f64::from(DURATION_S),
        health_us: run.elapsed_us / f64::from(DURATION_S),
        observed_us,
        factors_us,
        assign_us,
        memory_kib,
    }
}

/// Work of one balancer over some seconds.
#[derive(Default)]
struct Run {
    probes: u32,
    sent: u32,
    elapsed_us: f64,
}

impl Run {
    fn seconds(&mut self, health: &mut Health, seconds: std::ops::Range<u32>) {
        for call in seconds.start * CALLS_PER_S..seconds.end * CALLS_PER_S {
            let now = Duration::from_secs(1) * call / CALLS_PER_S;
            let start = Instant::now();
            let due: Vec<Probe> = health.due_probes(now);
            for probe in &due {
                health.record_probe(now, *probe, ProbeOutcome::Answered { load: Some(500) });
            }
            black_box(health.tick(now));
            self.sent += health.outgoing_observations(now).len() as u32;
            self.elapsed_us += micros(start);
            self.probes += due.len() as u32;
        }
    }
}

/// Records observations of three balancers on each target; returns the time of one.
fn observe(health: &mut Health, load: &mut Load, targets: u32) -> f64 {
    let start = Instant::now();
    for (target, from) in (0..targets).flat_map(|t| (2..5).map(move |n| (t, NodeId(n)))) {
        let target = TargetId(target);
        let observation = Observation {
            target,
            round: 1,
            healthy: true,
            load: 500,
        };
        health.record_observation(Duration::ZERO, from, observation);
        load.record_report(Duration::ZERO, observation);
        let share = Share {
            target,
            open_flows: 500,
            new_flows: 0,
        };
        load.record_count(Duration::ZERO, from, share);
    }
    micros(start) / f64::from(targets * 3)
}

fn factors(load: &mut Load, health: &Health, table: &Table) -> f64 {
    let start = Instant::now();
    for second in 1..=DURATION_S {
        let now = Duration::from_secs(u64::from(second));
        black_box(load.factors(now, table, health));
    }
    micros(start) / f64::from(DURATION_S)
}

fn balancer(n: u64) -> Balancer {
    Balancer {
        node: NodeId(n),
        domain: FailureDomain((n % 10) as u16),
    }
}

fn row(n: u32) -> Row {
    let service = n / TARGETS_PER_SERVICE;
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

/// Least-squares fit.
fn slope(measure: &'static str, samples: &[Sample], of: impl Fn(&Sample) -> f64) -> Slope {
    let points: Vec<(f64, f64)> = samples
        .iter()
        .map(|s| (f64::from(s.targets), of(s)))
        .collect();
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let per_target = covariance / variance;
    let fixed = mean_y - per_target * mean_x;
    let distance = |p: &(f64, f64)| (p.1 - fixed - per_target * p.0).abs();
    let largest = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max);
    Slope {
        measure,
        per_target,
        fixed,
        residual: points.iter().map(distance).fold(0.0, f64::max) / largest,
    }
}
