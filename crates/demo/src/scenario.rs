//! The demonstration scenario: a target and a balancer are stopped under load.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use sequoiatrail_daemon::{Count, Daemon};

use crate::report::{BalancerLine, TargetLine};
use crate::{Cluster, ClusterConfig, Report, Result, TrafficConfig, TrafficGenerator};

/// Duration of each phase.
const PHASE_TIME: Duration = Duration::from_secs(4);
/// Time after which a stopped target must not get new flows.
const STOP_DEADLINE: Duration = Duration::from_secs(3);
/// Delay until the fabric stops sending to a stopping balancer.
const FABRIC_LAG: Duration = Duration::from_secs(1);
/// Time for packets in flight to arrive.
const DELIVERY_TIME: Duration = Duration::from_millis(200);
/// Index of the target that is stopped.
const STOPPED_TARGET: usize = 0;
/// Index of the balancer that is stopped.
const STOPPED_BALANCER: usize = 1;

/// Runs the demonstration; `progress` gets a line for each step.
pub fn run(
    cfg: &ClusterConfig,
    traffic_cfg: TrafficConfig,
    progress: impl Fn(&str),
) -> Result<Report> {
    progress(&format!("starting {} balancers", cfg.balancers));
    let mut cluster = Cluster::start(cfg)?;
    let traffic_cfg = TrafficConfig {
        services: cluster.services(),
        protocol: cfg.protocol,
        ..traffic_cfg
    };
    let ledger = Arc::clone(cluster.ledger());
    let start = Instant::now();
    let mut traffic = TrafficGenerator::start(traffic_cfg, cluster.ingress_addresses(), ledger)?;
    thread::sleep(PHASE_TIME);

    let stop_requested = Instant::now();
    progress("stopping target-1 of service-1");
    let version = cluster.stop_target(STOPPED_TARGET)?;
    let in_force = cluster.wait_until_converged(version)?;
    thread::sleep(PHASE_TIME.saturating_sub(in_force));

    progress("stopping balancer entry-2");
    stop_balancer(&mut cluster, &traffic);
    thread::sleep(PHASE_TIME);

    let ended = Instant::now();
    traffic.stop();
    thread::sleep(DELIVERY_TIME);
    let deadline = stop_requested + STOP_DEADLINE;
    let targets = cluster.rows().len();
    let late_flows = cluster.ledger().opened(targets, deadline, ended)[STOPPED_TARGET];
    let opened = cluster.ledger().opened(targets, start, stop_requested);
    Ok(Report {
        totals: cluster.ledger().totals(),
        moves: cluster.ledger().moves(),
        sent: traffic.sent(),
        refused: traffic.refused(),
        late_flows,
        in_force_ms: in_force.as_millis(),
        targets: target_lines(&cluster, &opened),
        balancers: cluster.running().map(balancer_line).collect(),
    })
}

/// Stops a balancer that still gets packets from the fabric for [`FABRIC_LAG`].
fn stop_balancer(cluster: &mut Cluster, traffic: &TrafficGenerator) {
    let Some(daemon) = cluster.take_balancer(STOPPED_BALANCER) else {
        return;
    };
    let ingress_addresses = cluster.ingress_addresses();
    let stopping = thread::spawn(move || daemon.stop());
    thread::sleep(FABRIC_LAG);
    traffic.set_balancers(ingress_addresses);
    // A panic of the thread has been printed to standard error.
    let _ = stopping.join();
}

fn target_lines(cluster: &Cluster, opened: &[usize]) -> Vec<TargetLine> {
    let rows = cluster.rows();
    let counts = cluster.ledger().per_target(rows.len());
    let mut lines = Vec::with_capacity(rows.len());
    for (index, row) in rows.iter().enumerate() {
        let same_service = rows
            .iter()
            .zip(opened)
            .filter(|(r, _)| r.service == row.service);
        let (weights, flows) =
            same_service.fold((0, 0), |(w, n), (r, opened)| (w + r.weight, n + opened));
        let share = f64::from(row.weight) / f64::from(weights.max(1)) * flows as f64;
        lines.push(TargetLine {
            name: format!("{}/{}", row.service, row.target),
            flows: counts[index].0,
            packets: counts[index].1,
            imbalance: opened[index] as f64 / share.max(1.0),
        });
    }
    lines
}

fn balancer_line(daemon: &Daemon) -> BalancerLine {
    let core = daemon.core();
    let table = core.table();
    let services = table.services.iter();
    BalancerLine {
        name: daemon.name().to_owned(),
        table: table.version.0,
        plans: services
            .map(|s| core.plan_version(s.id).unwrap_or_default().0)
            .collect(),
        flows: core.flow_stats().flows,
        forwarded: daemon.counters().forwarded(),
        relayed: daemon.counters().sum(Count::Relayed),
    }
}
