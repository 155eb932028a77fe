//! Tests of when targets are marked down and up.

mod common;

use std::time::Duration;

use common::{World, balancers, edit, secs, table};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_health::{HealthEvent, HealthSettings, ProbeOutcome, probers};
use sequoiatrail_table::TargetState;
use sequoiatrail_types::{NodeId, TargetId};

const CRASHED: TargetId = TargetId(5);

/// Time from the crash of a target until all balancers have marked it down.
fn detection_time(world: &mut World) -> Duration {
    world.run(secs(20));
    let crash = world.now;
    world.unresponsive.insert(CRASHED);
    world.run(secs(20));
    let downs = world.down_times(CRASHED);
    assert_eq!(
        downs.len(),
        world.health.len(),
        "one down event per balancer"
    );
    *downs.last().unwrap() - crash
}

#[test]
fn all_balancers_compute_the_same_three_probers() {
    let live: Vec<NodeId> = balancers(6).iter().map(|b| b.node).collect();
    let mut reversed = live.clone();
    reversed.reverse();
    let mut load = vec![0; 7];
    for target in (0..1_000).map(TargetId) {
        let three = probers(target, &live, 3);
        assert_eq!(three, probers(target, &reversed, 3));
        three.iter().for_each(|n| load[n.0 as usize] += 1);
    }
    assert_eq!(load.iter().sum::<usize>(), 3_000);
    assert!(load[1..].iter().all(|n| (400..600).contains(n)), "{load:?}");
}

#[test]
fn a_crash_is_detected_within_three_seconds() {
    for seed in 0..10 {
        let mut world = World::new(6, &table(14));
        // Each offset puts the crash at another phase of the probe interval.
        world.run(common::STEP * seed);
        let time = detection_time(&mut world);
        assert!(time <= secs(3), "{time:?} at offset {seed}");
    }
}

#[test]
fn a_crash_is_detected_within_three_seconds_despite_earlier_healthy_flows() {
    let mut world = World::new(6, &table(14));
    world.flows = (0..14).map(|t| (TargetId(t), (14, 0))).collect();
    world.run(secs(20));
    let crash = world.now;
    world.unresponsive.insert(CRASHED);
    world.flows.insert(CRASHED, (0, 0));
    world.run(secs(1));
    world.flows.insert(CRASHED, (0, 14));
    world.run(secs(5));
    let downs = world.down_times(CRASHED);
    assert_eq!(downs.len(), 6);
    assert!(downs.iter().all(|at| *at <= crash + secs(3)), "{downs:?}");
}

#[test]
fn a_crash_is_detected_at_5_percent_message_loss() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut world = World::new(6, &table(14));
    world.is_lost = Box::new(move || rng.random_bool(0.05));
    assert!(detection_time(&mut world) <= secs(3));
}

#[test]
fn a_single_balancer_cannot_mark_targets_down() {
    let mut world = World::new(6, &table(14));
    for target in (0..14).map(TargetId) {
        world.blocked.insert((2, target));
    }
    world.run(secs(60));
    assert_eq!(world.events, []);
}

#[test]
fn a_sole_prober_among_several_balancers_cannot_mark_a_target_down() {
    let settings = HealthSettings {
        probers: 1,
        ..HealthSettings::default()
    };
    let mut world = World::with_settings(6, &table(14), settings);
    world.unresponsive.insert(CRASHED);
    world.run(secs(30));
    assert_eq!(world.events, []);
}

#[test]
fn failed_probes_are_retried_within_the_budget() {
    let settings = HealthSettings::default();
    let mut world = World::new(6, &table(14));
    world.unresponsive = (0..14).map(TargetId).collect();
    let seconds = 100;
    world.run(secs(seconds));
    let first = 14.0 * settings.probers as f64 * seconds as f64;
    let retries = first * settings.retry_budget.per_attempt + 6.0 * settings.retry_budget.burst;
    let probes = world.probes as f64;
    assert!(probes > first, "{probes}");
    assert!(probes <= first + retries, "{probes}");
}

#[test]
fn failures_and_recoveries_are_sent_three_times() {
    let mut world = World::new(1, &table(1));
    let settings = HealthSettings::default();
    let mut sent = Vec::new();
    let health = &mut world.health[0];
    for step in 0..80 {
        let now = common::STEP * step;
        for probe in health.due_probes(now) {
            let outcome = match now < secs(4) {
                true => ProbeOutcome::Failed,
                false => ProbeOutcome::Answered { load: None },
            };
            health.record_probe(now, probe, outcome);
        }
        sent.extend(health.outgoing_observations(now).iter().map(|o| o.healthy));
    }
    let times = settings.transmissions as usize;
    assert_eq!(sent, [vec![false; times], vec![true; times]].concat());
}

#[test]
fn a_balancer_retracts_its_observation_when_it_stops_probing_a_target() {
    let mut world = World::new(6, &table(14));
    let live = |n| balancers(n);
    let nodes = |n| live(n).iter().map(|b| b.node).collect::<Vec<_>>();
    // A target that balancer 1 probes when 3 balancers are live, but not when 6 are.
    let is_reassigned = |t: &TargetId| !probers(*t, &nodes(6), 3).contains(&NodeId(1));
    let target = (0..14).map(TargetId).find(is_reassigned).unwrap();
    let health = &mut world.health[0];
    health.set_live(secs(0), &live(3));
    for s in 1..5 {
        for probe in health.due_probes(secs(s)) {
            health.record_probe(secs(s), probe, ProbeOutcome::Failed);
        }
        health.outgoing_observations(secs(s));
    }
    health.set_live(secs(6), &live(6));
    let observations = health.outgoing_observations(secs(6));
    let sent = observations.iter().find(|o| o.target == target);
    assert!(sent.is_some_and(|o| o.healthy));
}

#[test]
fn unanswered_flows_override_successful_probes() {
    let mut world = World::new(6, &table(14));
    world.flows.insert(CRASHED, (0, 5));
    world.run(secs(5));
    assert!((0..6).all(|i| world.down_at(i) == [CRASHED]));
}

#[test]
fn answered_flows_override_failed_probes() {
    let mut world = World::new(6, &table(14));
    world.unresponsive.insert(CRASHED);
    world.flows.insert(CRASHED, (5, 0));
    world.run(secs(30));
    assert_eq!(world.events, []);
}

#[test]
fn probes_are_distrusted_when_most_targets_fail_them() {
    let mut world = World::new(6, &table(14));
    world.run(secs(10));
    world.unresponsive = (0..8).map(TargetId).collect();
    world.run(secs(60));
    assert!((0..6).all(|i| world.down_at(i).is_empty()));
    let distrusted = |e: &HealthEvent| matches!(e, HealthEvent::Distrusted { .. });
    assert_eq!(
        world
            .events
            .iter()
            .filter(|(_, _, e)| distrusted(e))
            .count(),
        6
    );
}

#[test]
fn unanswered_flows_mark_a_target_down_while_probes_are_distrusted() {
    let mut world = World::new(6, &table(14));
    world.unresponsive = (0..8).map(TargetId).collect();
    world.flows.insert(CRASHED, (0, 5));
    world.run(secs(20));
    assert!((0..6).all(|i| world.down_at(i) == [CRASHED]));
}

#[test]
fn unanswered_flows_confirm_that_most_targets_are_down() {
    let mut world = World::new(6, &table(14));
    world.flows = (0..14).map(|t| (TargetId(t), (5, 0))).collect();
    world.run(secs(10));
    for target in (0..8).map(TargetId) {
        world.unresponsive.insert(target);
        world.flows.insert(target, (0, 5));
    }
    world.run(secs(10));
    let dead: Vec<TargetId> = (0..8).map(TargetId).collect();
    assert!((0..6).all(|i| world.down_at(i) == dead));
}

#[test]
fn a_first_packet_flood_marks_no_target_down() {
    let mut world = World::new(6, &table(14));
    world.run(secs(10));
    // No regular client is active, so all first packets stay unanswered.
    world.flows = (0..14).map(|t| (TargetId(t), (0, 500))).collect();
    world.run(secs(30));
    assert_eq!(world.events, []);
}

#[test]
fn a_first_packet_flood_does_not_hide_a_crash() {
    let mut world = World::new(6, &table(14));
    world.flows = (0..14).map(|t| (TargetId(t), (5, 500))).collect();
    world.run(secs(10));
    world.unresponsive.insert(CRASHED);
    world.flows.insert(CRASHED, (0, 500));
    world.run(secs(5));
    assert!((0..6).all(|i| world.down_at(i) == [CRASHED]));
}

#[test]
fn a_partitioned_failure_domain_keeps_its_reachable_targets() {
    let mut world = World::new(6, &table(14));
    world.run(secs(10));
    // Balancers 0 and 3 and every third target are in failure domain 0.
    let domain = |n: u32| n % 3;
    for b in 0..6 {
        let live: Vec<_> = balancers(6)
            .into_iter()
            .enumerate()
            .filter(|(i, _)| (*i == 0 || *i == 3) == (b % 3 == 0))
            .map(|(_, b)| b)
            .collect();
        world.health[b].set_live(world.now, &live);
        for t in (0..14).filter(|t| (domain(*t) == 0) != (b % 3 == 0)) {
            world.blocked.insert((b, TargetId(t)));
        }
    }
    world.run(secs(10));
    let reached_by = |b: usize| -> Vec<u32> {
        let down = world.down_at(b);
        (0..14).filter(|t| !down.contains(&TargetId(*t))).collect()
    };
    assert_eq!(reached_by(0), [0, 3, 6, 9, 12]);
    assert_eq!(reached_by(3), reached_by(0));
    assert_eq!(reached_by(1), [1, 2, 4, 5, 7, 8, 10, 11, 13]);
    // A crash inside the partition is still detected.
    world.unresponsive.insert(TargetId(3));
    world.run(secs(3));
    assert!(world.health[0].is_down(TargetId(3)));
}

#[test]
fn a_lone_balancer_marks_a_crashed_target_down_later() {
    let mut world = World::new(1, &table(14));
    let time = detection_time(&mut world);
    assert!(time > secs(2) && time <= secs(6), "{time:?}");
}

#[test]
fn a_flapping_target_is_held_down_longer_each_time() {
    let mut world = World::new(6, &table(14));
    for flap in 0..60 {
        match flap % 2 {
            0 => world.unresponsive.insert(CRASHED),
            _ => world.unresponsive.remove(&CRASHED),
        };
        world.run(secs(10));
    }
    // 30 down/up cycles in 10 minutes.
    let changes = world.events.iter().filter(|(_, i, _)| *i == 0).count();
    assert!(changes <= 6, "{changes} state changes at one balancer");
}

#[test]
fn a_recovered_target_is_marked_up_after_its_hold_down() {
    let mut world = World::new(6, &table(14));
    detection_time(&mut world);
    let recovery = world.now;
    world.unresponsive.clear();
    world.run(secs(20));
    let up = world
        .events
        .iter()
        .filter(|(_, _, e)| *e == HealthEvent::Up { target: CRASHED });
    let times: Vec<_> = up.map(|(at, _, _)| *at - recovery).collect();
    assert_eq!(times.len(), 6);
    let hold = HealthSettings::default().hold_down;
    assert!(
        times.iter().all(|t| *t >= hold && *t <= hold + secs(4)),
        "{times:?}"
    );
}

#[test]
fn duplicate_and_outdated_observations_are_ignored() {
    let mut world = World::new(6, &table(14));
    world.run(secs(3));
    let target = CRASHED;
    let observe = |world: &mut World, from: u64, round, healthy| {
        let observation = sequoiatrail_wire::message::Observation {
            target,
            round,
            healthy,
            load: 0,
        };
        let now = world.now;
        world.health[0].record_observation(now, NodeId(from), observation);
    };
    for from in 2..=6 {
        observe(&mut world, from, 100, true);
        observe(&mut world, from, 99, false);
        observe(&mut world, from, 100, false);
    }
    // A node that is not among the live balancers.
    observe(&mut world, 77, 1, false);
    let now = world.now;
    assert_eq!(world.health[0].tick(now), []);
}

#[test]
fn healthy_targets_cause_few_probes_and_messages() {
    let mut world = World::new(6, &table(14));
    world.run(secs(100));
    let probes = world.probes as f64 / 100.0;
    assert!(probes <= 14.0 * 3.0 * 1.01, "{probes} probes per second");
    let sent = world.messages as f64 / 100.0 / 6.0;
    assert!(
        sent <= 1.0,
        "{sent} observations sent per second and balancer"
    );
}

#[test]
fn stopped_targets_are_excluded_from_the_unhealthy_fraction() {
    let table = edit(&table(4), |rows| {
        rows[0].state = TargetState::Stopped;
        rows[1].state = TargetState::Stopped;
    });
    let mut world = World::new(6, &table);
    world.unresponsive = [TargetId(0), TargetId(1), TargetId(2)].into();
    world.run(secs(10));
    assert!((0..6).all(|i| world.down_at(i).contains(&TargetId(2))));
}
