//! Real daemons on loopback: flows survive configuration changes and failures.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sequoiatrail_demo::{Cluster, ClusterConfig, Totals, TrafficConfig, TrafficGenerator};
use sequoiatrail_platform::Outage;
use sequoiatrail_settings::Probe;
use sequoiatrail_types::Protocol;

/// Time under load before and after a change.
const PHASE_TIME: Duration = Duration::from_millis(1_500);
/// Time for packets in flight to arrive.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

struct LoadTest {
    cluster: Cluster,
    traffic: TrafficGenerator,
}

impl LoadTest {
    fn start(protocol: Protocol) -> LoadTest {
        LoadTest::with(&ClusterConfig {
            protocol,
            ..ClusterConfig::default()
        })
    }

    fn with(cfg: &ClusterConfig) -> LoadTest {
        let cluster = Cluster::start(cfg).unwrap();
        let traffic_cfg = TrafficConfig {
            services: cluster.services(),
            protocol: cfg.protocol,
            flows_per_second: 100,
            packets_per_second: 1_000,
            ..TrafficConfig::default()
        };
        let ledger = Arc::clone(cluster.ledger());
        let traffic =
            TrafficGenerator::start(traffic_cfg, cluster.ingress_addresses(), ledger).unwrap();
        thread::sleep(PHASE_TIME);
        LoadTest { cluster, traffic }
    }

    /// Keeps up the load for one more phase, then stops and checks that no flow broke.
    fn finish(mut self) -> (Totals, u64) {
        thread::sleep(PHASE_TIME);
        self.traffic.stop();
        thread::sleep(DELIVERY_TIME);
        let totals = self.cluster.ledger().totals();
        for daemon in self.cluster.running() {
            // Printed if an assertion fails.
            println!("{}: {:?}", daemon.name(), daemon.counters().all());
        }
        println!("{:?}", self.cluster.ledger().moves());
        assert!(totals.flows > 100, "{totals:?}");
        assert_eq!(totals.broken(), 0, "{totals:?}");
        assert_eq!(totals.misdelivered, 0, "{totals:?}");
        (totals, self.traffic.sent())
    }

    fn finish_without_loss(self) {
        let (totals, sent) = self.finish();
        assert_eq!(totals.packets, sent);
    }
}

#[test]
fn flows_survive_the_stop_of_a_target() {
    let mut run = LoadTest::start(Protocol::Tcp);
    let version = run.cluster.stop_target(0).unwrap();
    run.cluster.wait_until_converged(version).unwrap();
    run.finish_without_loss();
}

#[test]
fn udp_flows_survive_the_stop_of_a_target() {
    let mut run = LoadTest::start(Protocol::Udp);
    let version = run.cluster.stop_target(0).unwrap();
    run.cluster.wait_until_converged(version).unwrap();
    run.finish_without_loss();
}

#[test]
fn flows_survive_two_overlapping_edits_of_weights() {
    let mut run = LoadTest::start(Protocol::Tcp);
    run.cluster.edit(|rows| rows[1].weight = 30).unwrap();
    let version = run.cluster.edit(|rows| rows[2].weight = 1).unwrap();
    run.cluster.wait_until_converged(version).unwrap();
    run.finish_without_loss();
}

#[test]
fn flows_survive_the_graceful_stop_of_a_balancer() {
    let mut run = LoadTest::start(Protocol::Tcp);
    let leaving = run.cluster.take_balancer(0).unwrap();
    let stopping = thread::spawn(move || leaving.stop());
    thread::sleep(Duration::from_millis(300));
    run.traffic.set_balancers(run.cluster.ingress_addresses());
    let report = stopping.join().unwrap();
    assert!(report.quiet, "{report:?}");
    run.finish_without_loss();
}

#[test]
fn flows_survive_the_crash_of_a_balancer() {
    let mut run = LoadTest::start(Protocol::Tcp);
    run.cluster.kill_balancer(0);
    thread::sleep(Duration::from_millis(300));
    run.traffic.set_balancers(run.cluster.ingress_addresses());
    run.finish();
}

#[test]
fn flows_survive_a_new_balancer_and_the_stop_of_a_target_after_it() {
    let mut run = LoadTest::start(Protocol::Tcp);
    run.cluster.add_balancer().unwrap();
    run.cluster.wait_for_peers(4).unwrap();
    run.traffic.set_balancers(run.cluster.ingress_addresses());
    let version = run.cluster.stop_target(0).unwrap();
    run.cluster.wait_until_converged(version).unwrap();
    run.finish_without_loss();
}

#[test]
fn flows_survive_the_stop_of_a_balancer_and_a_target_at_the_same_time() {
    let mut run = LoadTest::start(Protocol::Tcp);
    let leaving = run.cluster.take_balancer(0).unwrap();
    let stopping = thread::spawn(move || leaving.stop());
    run.cluster.stop_target(0).unwrap();
    thread::sleep(Duration::from_millis(300));
    run.traffic.set_balancers(run.cluster.ingress_addresses());
    stopping.join().unwrap();
    run.finish_without_loss();
}

#[test]
fn flows_survive_and_new_ones_are_placed_while_the_platform_is_down() {
    let run = LoadTest::start(Protocol::Tcp);
    run.cluster
        .platform()
        .set_faults(|faults| faults.outage = Outage::Refuse);
    let before = run.cluster.ledger().totals().flows;
    thread::sleep(PHASE_TIME);
    assert!(run.cluster.ledger().totals().flows > before + 50);
    run.finish_without_loss();
}

#[test]
fn ipv6_flows_survive_the_stop_of_a_target() {
    let mut run = LoadTest::with(&ClusterConfig {
        ipv6: true,
        ..ClusterConfig::default()
    });
    let version = run.cluster.stop_target(0).unwrap();
    run.cluster.wait_until_converged(version).unwrap();
    run.finish_without_loss();
}

#[test]
fn a_dead_target_gets_no_new_flows_and_other_flows_survive() {
    let mut run = LoadTest::with(&ClusterConfig {
        probe: Probe::Tcp,
        ..ClusterConfig::default()
    });
    run.cluster.kill_target(0);
    run.cluster.wait_until_down(1).unwrap();
    let before = run.cluster.ledger().totals().flows;
    thread::sleep(PHASE_TIME);
    assert!(run.cluster.ledger().totals().flows > before + 100);
    run.finish();
}

#[test]
fn a_balancer_started_during_a_platform_outage_gets_its_state_from_its_peers() {
    let mut run = LoadTest::start(Protocol::Tcp);
    run.cluster
        .platform()
        .set_faults(|faults| faults.outage = Outage::Refuse);
    run.cluster.add_balancer().unwrap();
    run.cluster.wait_for_peers(4).unwrap();
    let version = run.cluster.balancer(0).unwrap().core().table().version;
    run.cluster.wait_until_converged(version).unwrap();
    run.traffic.set_balancers(run.cluster.ingress_addresses());
    run.finish_without_loss();
}
