//! Prepared plans, table versions and readiness of a balancer reach all members.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod net;

use std::time::Duration;

use net::Network;
use sequoiatrail_types::{FailureDomain, PlanVersion, ServiceId, TableVersion};

const SETTLE_TIME: Duration = Duration::from_secs(10);
const SERVICE: ServiceId = ServiceId(3);

fn lossy_network(n: usize, seed: u64) -> Network {
    let mut net = Network::new(n, seed, SETTLE_TIME);
    net.conditions.loss = 0.05;
    net
}

#[test]
fn a_prepared_plan_is_known_to_all_within_two_seconds() {
    for seed in 0..50 {
        let mut net = lossy_network(6, seed);
        let node = net.id(1);
        net.with_balancer(1, |m| m.set_prepared(SERVICE, PlanVersion(9)));
        let known = |net: &Network| {
            let others = [0, 2, 3, 4, 5].into_iter();
            let mut members = others.map(|i| net.balancer(i).member(node));
            members.all(|m| m.is_some_and(|m| m.prepared(SERVICE) == PlanVersion(9)))
        };
        let elapsed = net.wait_until(Duration::from_secs(2), known);
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn versions_never_decrease() {
    let mut net = lossy_network(6, 60);
    let node = net.id(1);
    for version in [5, 9, 7] {
        net.with_balancer(1, |m| {
            m.set_prepared(SERVICE, PlanVersion(version));
            m.set_table(TableVersion(version));
        });
        net.run(Duration::from_secs(2));
    }
    let member = net.balancer(0).member(node).unwrap();
    assert_eq!(member.prepared(SERVICE), PlanVersion(9));
    assert_eq!(member.table(), TableVersion(9));
}

#[test]
fn a_joining_balancer_receives_more_plans_than_fit_in_one_message() {
    let mut net = lossy_network(6, 61);
    net.with_balancer(1, |m| {
        for service in 0..500 {
            m.set_prepared(ServiceId(service), PlanVersion(4));
        }
    });
    net.run(Duration::from_secs(5));
    net.kill(0);
    net.restart(0);
    net.run(Duration::from_secs(10));
    let member = net.balancer(0).member(net.id(1)).unwrap();
    assert_eq!(member.plans().count(), 500);
}

#[test]
fn plans_are_known_to_all_after_a_partition() {
    let mut net = lossy_network(6, 62);
    net.with_balancer(1, |m| m.set_prepared(SERVICE, PlanVersion(9)));
    net.run(Duration::from_secs(2));
    net.partition(|i| u8::from(i == 1));
    net.run(Duration::from_secs(20));
    net.heal();
    net.run(Duration::from_secs(10));
    for i in [0, 2, 3, 4, 5] {
        let member = net.balancer(i).member(net.id(1)).unwrap();
        assert_eq!(member.prepared(SERVICE), PlanVersion(9));
    }
}

#[test]
fn readiness_is_known_to_all() {
    let mut net = lossy_network(6, 63);
    net.with_balancer(1, |m| m.set_ready(true));
    net.run(Duration::from_secs(2));
    let ready = |i: usize| net.balancer(i).member(net.id(1)).unwrap().is_ready();
    assert!([0, 2, 3, 4, 5].into_iter().all(ready));
}

#[test]
fn balancers_agree_on_the_platform_watchers() {
    let mut net = Network::new(9, 64, SETTLE_TIME);
    for domain in (0..5).map(FailureDomain) {
        let chosen = net.balancer(0).watchers(domain, 1);
        assert_eq!(chosen.len(), 1);
        assert!((0..9).all(|i| net.balancer(i).watchers(domain, 1) == chosen));
    }
    let watcher = (0..2).find(|i| net.balancer(*i).is_watcher(1)).unwrap();
    net.kill(watcher);
    net.run(Duration::from_secs(3));
    assert!(net.balancer(1 - watcher).is_watcher(1));
}
