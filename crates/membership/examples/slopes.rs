//! Measures traffic, CPU time and detection time by number of members, as JSON.
//!
//! Run with `cargo run --release -p sequoiatrail-membership --example slopes`;
//! with the argument `faults` it measures only the traffic that faults cause.

#[path = "../tests/net/mod.rs"]
#[allow(dead_code, reason = "the tests use the rest of it")]
mod net;

use std::time::Duration;

use net::{Conditions, Network};
use sequoiatrail_membership::{Event, Settings};
use sequoiatrail_types::{PlanVersion, ServiceId};
use serde_json::{Value, json};

const SETTLE_TIME: Duration = Duration::from_secs(30);
const IDLE_TIME: Duration = Duration::from_secs(60);
const TIMEOUT: Duration = Duration::from_secs(30);
const MEMBER_COUNTS: [usize; 4] = [6, 24, 60, 240];

fn main() {
    if std::env::args().nth(1).as_deref() == Some("faults") {
        println!("{:#}", fault_costs());
        return;
    }
    let rows: Vec<Value> = MEMBER_COUNTS.into_iter().map(measure_size).collect();
    let report = json!({
        "sizes": rows,
        "faults_among_six": fault_costs(),
        "false_deaths_in_1000_s_at_5_percent_loss": (0..10).map(false_deaths).collect::<Vec<_>>(),
        "merge_after_60_s_partition_ms": (0..20).map(merge_time).collect::<Vec<_>>(),
        "period_ms": Settings::default().probe_interval.as_millis() as u64,
    });
    println!("{report:#}");
}

fn measure_size(n: usize) -> Value {
    let (bytes, cpu_time) = idle_cost(n);
    let seeds = (6_000 / n as u64).clamp(20, 1_000);
    let mut detection: Vec<_> = (0..seeds).map(|seed| detection_time(n, seed)).collect();
    let mut propagation: Vec<_> = (0..seeds.min(20))
        .map(|seed| plan_propagation_time(n, seed))
        .collect();
    detection.sort_unstable();
    propagation.sort_unstable();
    json!({
        "members": n,
        "sent_bytes_per_second_and_node": bytes,
        "processor_microseconds_per_second_and_node": cpu_time,
        "runs": seeds,
        "detected_by_all_ms": percentiles(&detection),
        "prepared_plan_known_to_all_ms": percentiles(&propagation),
        "joined_by_all_ms": join_time(n),
    })
}

fn percentiles(sorted: &[u64]) -> Value {
    json!({
        "median": sorted[sorted.len() / 2],
        "p99": sorted[sorted.len() * 99 / 100],
        "longest": sorted[sorted.len() - 1],
    })
}

fn idle_cost(n: usize) -> (u64, u64) {
    // Dissemination of the start-up updates takes about a second per member.
    let mut net = Network::new(n, 1, SETTLE_TIME + Duration::from_secs(n as u64));
    assert!(net.converged());
    net.start_metering();
    net.run(IDLE_TIME);
    let nodes = net.nodes.iter().flatten();
    let (bytes, cpu_time) = nodes.fold((0, Duration::ZERO), |(bytes, cpu_time), node| {
        (bytes + node.sent_bytes, cpu_time + node.cpu_time)
    });
    let node_seconds = n as u64 * IDLE_TIME.as_secs();
    (
        bytes / node_seconds,
        cpu_time.as_micros() as u64 / node_seconds,
    )
}

fn lossy_network(n: usize, seed: u64) -> Network {
    let mut net = Network::new(n, seed, SETTLE_TIME);
    net.conditions = Conditions {
        loss: 0.05,
        ..Conditions::default()
    };
    net
}

fn millis(elapsed: Option<Duration>) -> u64 {
    elapsed.unwrap_or(TIMEOUT).as_millis() as u64
}

fn detection_time(n: usize, seed: u64) -> u64 {
    let mut net = lossy_network(n, seed);
    net.kill(seed as usize % n);
    millis(net.wait_until(TIMEOUT, Network::converged))
}

fn plan_propagation_time(n: usize, seed: u64) -> u64 {
    let mut net = lossy_network(n, seed);
    let (node, service, version) = (net.id(0), ServiceId(1), PlanVersion(7));
    net.with_balancer(0, |m| m.set_prepared(service, version));
    let known = |net: &Network| {
        let mut others = (1..n).map(|i| net.balancer(i).member(node));
        others.all(|m| m.is_some_and(|m| m.prepared(service) == version))
    };
    millis(net.wait_until(TIMEOUT, known))
}

fn join_time(n: usize) -> u64 {
    let mut net = lossy_network(n, 5);
    net.kill(0);
    net.run(Duration::from_secs(10));
    net.restart(0);
    millis(net.wait_until(TIMEOUT, Network::converged))
}

fn false_deaths(seed: u64) -> usize {
    let mut net = lossy_network(6, seed);
    let start = net.now;
    net.run(Duration::from_secs(1_000));
    let events = (0..6).flat_map(|i| net.events(i, start));
    events.filter(|e| matches!(e, Event::Died(_))).count()
}

fn merge_time(seed: u64) -> u64 {
    let mut net = lossy_network(6, seed);
    net.partition(|i| u8::from(i < 2));
    net.run(Duration::from_secs(60));
    net.heal();
    millis(net.wait_until(TIMEOUT, Network::converged))
}

/// Traffic caused by each fault among six balancers, at 5% loss.
fn fault_costs() -> Value {
    let plan = |net: &mut Network, i: usize| {
        net.with_balancer(i, |m| m.set_prepared(ServiceId(1), PlanVersion(7)));
    };
    json!({
        "none": fault_cost(|_| {}),
        "death": fault_cost(|net| net.kill(0)),
        "two_deaths": fault_cost(|net| {
            net.kill(0);
            net.kill(3);
        }),
        "restart": fault_cost(|net| {
            net.kill(0);
            net.restart(0);
        }),
        "leave": fault_cost(|net| net.leave(0)),
        "pause_of_10_s": fault_cost(|net| net.pause(0, Duration::from_secs(10))),
        "partition": fault_cost(|net| net.partition(|i| u8::from(i < 2))),
        "healing": heal_cost(),
        "new_plan_on_all": fault_cost(|net| (0..6).for_each(|i| plan(net, i))),
    })
}

/// Peak bytes sent by one balancer in a second after a fault, and mean bytes per
/// second and balancer over 20 s; each the maximum over ten seeds.
fn fault_cost(fault: impl Fn(&mut Network)) -> Value {
    let runs = (0..10).map(|seed| {
        let mut net = lossy_network(6, seed);
        fault(&mut net);
        peak_and_mean_bytes(&mut net)
    });
    worst_case(runs)
}

fn heal_cost() -> Value {
    let runs = (0..10).map(|seed| {
        let mut net = lossy_network(6, seed);
        net.partition(|i| u8::from(i < 2));
        net.run(Duration::from_secs(60));
        net.heal();
        peak_and_mean_bytes(&mut net)
    });
    worst_case(runs)
}

fn worst_case(runs: impl Iterator<Item = (u64, u64)>) -> Value {
    let (peak, mean) = runs.fold((0, 0), |(p, m), (peak, mean)| (p.max(peak), m.max(mean)));
    json!({ "most_bytes_in_a_second": peak, "bytes_per_second_over_20_s": mean })
}

fn peak_and_mean_bytes(net: &mut Network) -> (u64, u64) {
    const SECONDS: u64 = 20;
    let (mut peak, mut sum) = (0, 0);
    for _ in 0..SECONDS {
        net.start_metering();
        net.run(Duration::from_secs(1));
        let bytes = net.nodes.iter().flatten().map(|n| n.sent_bytes);
        peak = peak.max(bytes.clone().max().unwrap_or(0));
        sum += bytes.sum::<u64>();
    }
    (peak, sum / SECONDS / net.nodes.len() as u64)
}
