//! Bytes, processor time and detection time by the number of members, as JSON.
//!
//! Run with `cargo run --release -p sequoiatrail-membership --example slopes`;
//! with the argument `faults` it measures only what faults cost.

#[path = "../tests/net/mod.rs"]
#[allow(dead_code, reason = "the tests use the rest of it")]
mod net;

use std::time::Duration;

use net::{Net, Weather};
use sequoiatrail_membership::{Event, Settings};
use sequoiatrail_types::{PlanVersion, ServiceId};
use serde_json::{Value, json};

const SETTLE: Duration = Duration::from_secs(30);
const REST: Duration = Duration::from_secs(60);
const LIMIT: Duration = Duration::from_secs(30);
const SIZES: [usize; 4] = [6, 24, 60, 240];

fn main() {
    if std::env::args().nth(1).as_deref() == Some("faults") {
        println!("{:#}", faults());
        return;
    }
    let rows: Vec<Value> = SIZES.into_iter().map(row).collect();
    let report = json!({
        "sizes": rows,
        "faults_among_six": faults(),
        "false_deaths_in_1000_s_at_5_percent_loss": (0..10).map(false_deaths).collect::<Vec<_>>(),
        "merge_after_60_s_partition_ms": (0..20).map(merge).collect::<Vec<_>>(),
        "period_ms": Settings::default().probe_interval.as_millis() as u64,
    });
    println!("{report:#}");
}

fn row(n: usize) -> Value {
    let (bytes, busy) = at_rest(n);
    let seeds = (6_000 / n as u64).clamp(20, 1_000);
    let mut detection: Vec<_> = (0..seeds).map(|seed| detect(n, seed)).collect();
    let mut notice: Vec<_> = (0..seeds.min(20)).map(|seed| prepare(n, seed)).collect();
    detection.sort_unstable();
    notice.sort_unstable();
    json!({
        "members": n,
        "sent_bytes_per_second_and_node": bytes,
        "processor_microseconds_per_second_and_node": busy,
        "runs": seeds,
        "detected_by_all_ms": spread(&detection),
        "prepared_plan_known_to_all_ms": spread(&notice),
        "joined_by_all_ms": join(n),
    })
}

fn spread(sorted: &[u64]) -> Value {
    json!({
        "median": sorted[sorted.len() / 2],
        "p99": sorted[sorted.len() * 99 / 100],
        "longest": sorted[sorted.len() - 1],
    })
}

fn at_rest(n: usize) -> (u64, u64) {
    // News of the start are passed on for about a second for each member.
    let mut net = Net::new(n, 1, SETTLE + Duration::from_secs(n as u64));
    assert!(net.agree());
    net.meter();
    net.run(REST);
    let nodes = net.nodes.iter().flatten();
    let (bytes, busy) = nodes.fold((0, Duration::ZERO), |(bytes, busy), node| {
        (bytes + node.sent_bytes, busy + node.busy)
    });
    let share = n as u64 * REST.as_secs();
    (bytes / share, busy.as_micros() as u64 / share)
}

fn lossy(n: usize, seed: u64) -> Net {
    let mut net = Net::new(n, seed, SETTLE);
    net.weather = Weather {
        loss: 0.05,
        ..Weather::default()
    };
    net
}

fn millis(took: Option<Duration>) -> u64 {
    took.unwrap_or(LIMIT).as_millis() as u64
}

fn detect(n: usize, seed: u64) -> u64 {
    let mut net = lossy(n, seed);
    net.kill(seed as usize % n);
    millis(net.run_till(LIMIT, Net::agree))
}

fn prepare(n: usize, seed: u64) -> u64 {
    let mut net = lossy(n, seed);
    let (node, service, version) = (net.id(0), ServiceId(1), PlanVersion(7));
    net.change(0, |m| m.set_prepared(service, version));
    let known = |net: &Net| {
        let mut others = (1..n).map(|i| net.at(i).member(node));
        others.all(|m| m.is_some_and(|m| m.prepared(service) == version))
    };
    millis(net.run_till(LIMIT, known))
}

fn join(n: usize) -> u64 {
    let mut net = lossy(n, 5);
    net.kill(0);
    net.run(Duration::from_secs(10));
    net.restart(0);
    millis(net.run_till(LIMIT, Net::agree))
}

fn false_deaths(seed: u64) -> usize {
    let mut net = lossy(6, seed);
    let start = net.now;
    net.run(Duration::from_secs(1_000));
    let events = (0..6).flat_map(|i| net.events(i, start));
    events.filter(|e| matches!(e, Event::Died(_))).count()
}

fn merge(seed: u64) -> u64 {
    let mut net = lossy(6, seed);
    net.part(|i| u8::from(i < 2));
    net.run(Duration::from_secs(60));
    net.heal();
    millis(net.run_till(LIMIT, Net::agree))
}

/// Bytes that each fault among six costs, at 5% loss.
fn faults() -> Value {
    let plan = |net: &mut Net, i: usize| {
        net.change(i, |m| m.set_prepared(ServiceId(1), PlanVersion(7)));
    };
    json!({
        "none": cost(|_| {}),
        "death": cost(|net| net.kill(0)),
        "two_deaths": cost(|net| {
            net.kill(0);
            net.kill(3);
        }),
        "restart": cost(|net| {
            net.kill(0);
            net.restart(0);
        }),
        "leave": cost(|net| net.leave(0)),
        "pause_of_10_s": cost(|net| net.pause(0, Duration::from_secs(10))),
        "partition": cost(|net| net.part(|i| u8::from(i < 2))),
        "healing": healing(),
        "new_plan_on_all": cost(|net| (0..6).for_each(|i| plan(net, i))),
    })
}

/// Most bytes that one balancer sends in a second after a fault, and bytes a
/// second and balancer over 20 s; the largest of ten seeds.
fn cost(fault: impl Fn(&mut Net)) -> Value {
    let runs = (0..10).map(|seed| {
        let mut net = lossy(6, seed);
        fault(&mut net);
        sent(&mut net)
    });
    largest(runs)
}

fn healing() -> Value {
    let runs = (0..10).map(|seed| {
        let mut net = lossy(6, seed);
        net.part(|i| u8::from(i < 2));
        net.run(Duration::from_secs(60));
        net.heal();
        sent(&mut net)
    });
    largest(runs)
}

fn largest(runs: impl Iterator<Item = (u64, u64)>) -> Value {
    let (peak, mean) = runs.fold((0, 0), |(p, m), (peak, mean)| (p.max(peak), m.max(mean)));
    json!({ "most_bytes_in_a_second": peak, "bytes_per_second_over_20_s": mean })
}

fn sent(net: &mut Net) -> (u64, u64) {
    const SECONDS: u64 = 20;
    let (mut peak, mut sum) = (0, 0);
    for _ in 0..SECONDS {
        net.meter();
        net.run(Duration::from_secs(1));
        let bytes = net.nodes.iter().flatten().map(|n| n.sent_bytes);
        peak = peak.max(bytes.clone().max().unwrap_or(0));
        sum += bytes.sum::<u64>();
    }
    (peak, sum / SECONDS / net.nodes.len() as u64)
}
