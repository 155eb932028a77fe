//! Dead balancers are detected in time, and running ones are never declared dead.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod net;

use std::time::Duration;

use net::{Conditions, Network};
use sequoiatrail_membership::Event;

const SETTLE_TIME: Duration = Duration::from_secs(10);
const DETECTION_LIMIT: Duration = Duration::from_secs(3);

fn lossy_conditions() -> Conditions {
    Conditions {
        loss: 0.05,
        duplication: 0.05,
        delay: (Duration::from_micros(200), Duration::from_millis(20)),
    }
}

#[test]
fn balancers_discover_each_other_through_seeds() {
    for seed in 0..10 {
        let mut net = Network::new(6, seed, Duration::ZERO);
        let elapsed = net.wait_until(SETTLE_TIME, Network::converged);
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn one_death_among_six_is_detected_by_all_within_three_seconds() {
    for seed in 0..50 {
        let mut net = Network::new(6, seed, SETTLE_TIME);
        net.conditions = lossy_conditions();
        net.kill(seed as usize % 6);
        let elapsed = net.wait_until(DETECTION_LIMIT, Network::converged);
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn two_simultaneous_deaths_among_six_are_detected_by_all_within_three_seconds() {
    for seed in 100..150 {
        let mut net = Network::new(6, seed, SETTLE_TIME);
        net.kill(seed as usize % 6);
        net.kill((seed as usize + 1) % 6);
        let elapsed = net.wait_until(DETECTION_LIMIT, Network::converged);
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn no_false_deaths_in_a_thousand_seconds_at_five_percent_loss() {
    let mut net = Network::new(6, 7, SETTLE_TIME);
    net.conditions = lossy_conditions();
    let start = net.now;
    net.run(Duration::from_secs(1_000));
    for i in 0..6 {
        let deaths = net.events(i, start).into_iter();
        let deaths = deaths.filter(|e| matches!(e, Event::Died(_) | Event::Left(_)));
        assert_eq!(deaths.count(), 0, "balancer {i}");
    }
    assert!(net.converged());
}

#[test]
fn a_restarted_process_replaces_its_predecessor_immediately() {
    let mut net = Network::new(6, 8, SETTLE_TIME);
    net.kill(2);
    net.restart(2);
    let elapsed = net.wait_until(Duration::from_millis(1_500), Network::converged);
    assert!(elapsed.is_some());
}
