//! When targets go down and come back.

mod common;

use std::time::Duration;

use common::{World, balancers, edit, secs, table};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_health::{HealthEvent, HealthSettings, ProbeOutcome, probers};
use sequoiatrail_table::TargetState;
use sequoiatrail_types::{NodeId, TargetId};

const CRASHED: TargetId = TargetId(5);

/// Time from the crash of a target until all balancers call it down.
fn detection(world: &mut World) -> Duration {
    world.run(secs(20));
    let crash = world.now;
    world.silent.insert(CRASHED);
    world.run(secs(20));
    let downs = world.downs(CRASHED);
    assert_eq!(
        downs.len(),
        world.health.len(),
        "each balancer says so once"
    );
    *downs.last().unwrap() - crash
}

#[test]
fn each_target_is_probed_by_three_balancers_that_all_agree_on() {
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
fn a_crash_is_agreed_on_within_three_seconds() {
    for seed in 0..10 {
        let mut world = World::new(6, &table(14));
        // The crash falls at another phase of the probes each time.
        world.run(common::STEP * seed);
        let time = detection(&mut world);
        assert!(time <= secs(3), "{time:?} at offset {seed}");
    }
}

#[test]
fn a_crash_is_agreed_on_within_three_seconds_though_flows_went_well_until_then() {
    let mut world = World::new(6, &table(14));
    world.flows = (0..14).map(|t| (TargetId(t), (14, 0))).collect();
    world.run(secs(20));
    let crash = world.now;
    world.silent.insert(CRASHED);
    world.flows.insert(CRASHED, (0, 0));
    world.run(secs(1));
    world.flows.insert(CRASHED, (0, 14));
    world.run(secs(5));
    let downs = world.downs(CRASHED);
    assert_eq!(downs.len(), 6);
    assert!(downs.iter().all(|at| *at <= crash + secs(3)), "{downs:?}");
}

#[test]
fn a_crash_is_agreed_on_at_a_twentieth_of_messages_lost() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut world = World::new(6, &table(14));
    world.lose = Box::new(move || rng.random_bool(0.05));
    assert!(detection(&mut world) <= secs(3));
}

#[test]
fn no_single_balancer_takes_a_target_down() {
    let mut world = World::new(6, &table(14));
    for target in (0..14).map(TargetId) {
        world.cut.insert((2, target));
    }
    world.run(secs(60));
    assert_eq!(world.events, []);
}

#[test]
fn one_balancer_among_several_never_decides_though_it_alone_probes() {
    let settings = HealthSettings {
        probers: 1,
        ..HealthSettings::default()
    };
    let mut world = World::with(6, &table(14), settings);
    world.silent.insert(CRASHED);
    world.run(secs(30));
    assert_eq!(world.events, []);
}

#[test]
fn a_failed_probe_is_repeated_soon_within_the_budget() {
    let settings = HealthSettings::default();
    let mut world = World::new(6, &table(14));
    world.silent = (0..14).map(TargetId).collect();
    let seconds = 100;
    world.run(secs(seconds));
    let first = 14.0 * settings.probers as f64 * seconds as f64;
    let retries = first * settings.retry_budget.per_attempt + 6.0 * settings.retry_budget.burst;
    let probes = world.probes as f64;
    assert!(probes > first, "{probes}");
    assert!(probes <= first + retries, "{probes}");
}

#[test]
fn what_speaks_against_a_target_is_told_three_times_and_its_end_too() {
    let mut world = World::new(1, &table(1));
    let settings = HealthSettings::default();
    let mut told = Vec::new();
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
        told.extend(health.outgoing_observations(now).iter().map(|o| o.healthy));
    }
    let times = settings.transmissions as usize;
    assert_eq!(told, [vec![false; times], vec![true; times]].concat());
}

#[test]
fn a_balancer_that_no_longer_probes_a_target_takes_back_what_it_said() {
    let mut world = World::new(6, &table(14));
    let live = |n| balancers(n);
    let nodes = |n| live(n).iter().map(|b| b.node).collect::<Vec<_>>();
    // A target that the first balancer probes with 3 balancers, but not with 6.
    let mine = |t: &TargetId| !probers(*t, &nodes(6), 3).contains(&NodeId(1));
    let target = (0..14).map(TargetId).find(mine).unwrap();
    let health = &mut world.health[0];
    health.set_live(secs(0), &live(3));
    for s in 1..5 {
        for probe in health.due_probes(secs(s)) {
            health.record_probe(secs(s), probe, ProbeOutcome::Failed);
        }
        health.outgoing_observations(secs(s));
    }
    health.set_live(secs(6), &live(6));
    let news = health.outgoing_observations(secs(6));
    let told = news.iter().find(|o| o.target == target);
    assert!(told.is_some_and(|o| o.healthy));
}

#[test]
fn an_endpoint_that_answers_for_a_target_without_progress_is_overruled_by_flows() {
    let mut world = World::new(6, &table(14));
    world.flows.insert(CRASHED, (0, 5));
    world.run(secs(5));
    assert!((0..6).all(|i| world.down_at(i) == [CRASHED]));
}

#[test]
fn an_endpoint_that_fails_for_a_target_that_works_is_overruled_by_flows() {
    let mut world = World::new(6, &table(14));
    world.silent.insert(CRASHED);
    world.flows.insert(CRASHED, (5, 0));
    world.run(secs(30));
    assert_eq!(world.events, []);
}

#[test]
fn when_most_targets_look_dead_the_probe_is_distrusted() {
    let mut world = World::new(6, &table(14));
    world.run(secs(10));
    world.silent = (0..8).map(TargetId).collect();
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
fn a_dead_target_is_told_by_flows_while_the_probe_is_distrusted() {
    let mut world = World::new(6, &table(14));
    world.silent = (0..8).map(TargetId).collect();
    world.flows.insert(CRASHED, (0, 5));
    world.run(secs(20));
    assert!((0..6).all(|i| world.down_at(i) == [CRASHED]));
}

#[test]
fn when_most_targets_are_really_dead_flows_tell_so() {
    let mut world = World::new(6, &table(14));
    world.flows = (0..14).map(|t| (TargetId(t), (5, 0))).collect();
    world.run(secs(10));
    for target in (0..8).map(TargetId) {
        world.silent.insert(target);
        world.flows.insert(target, (0, 5));
    }
    world.run(secs(10));
    let dead: Vec<TargetId> = (0..8).map(TargetId).collect();
    assert!((0..6).all(|i| world.down_at(i) == dead));
}

#[test]
fn a_flood_of_first_packets_takes_no_target_down() {
    let mut world = World::new(6, &table(14));
    world.run(secs(10));
    // Nobody of the service's own callers is there at this time of night.
    world.flows = (0..14).map(|t| (TargetId(t), (0, 500))).collect();
    world.run(secs(30));
    assert_eq!(world.events, []);
}

#[test]
fn a_flood_of_first_packets_hides_no_crash() {
    let mut world = World::new(6, &table(14));
    world.flows = (0..14).map(|t| (TargetId(t), (5, 500))).collect();
    world.run(secs(10));
    world.silent.insert(CRASHED);
    world.flows.insert(CRASHED, (0, 500));
    world.run(secs(5));
    assert!((0..6).all(|i| world.down_at(i) == [CRASHED]));
}

#[test]
fn a_cut_off_failure_domain_goes_on_with_the_targets_it_reaches() {
    let mut world = World::new(6, &table(14));
    world.run(secs(10));
    // Balancers 0 and 3 and targets 0, 3, ... are of failure domain 0.
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
            world.cut.insert((b, TargetId(t)));
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
    // A crash inside the domain is still believed.
    world.silent.insert(TargetId(3));
    world.run(secs(3));
    assert!(world.health[0].is_down(TargetId(3)));
}

#[test]
fn a_balancer_alone_takes_a_dead_target_down_later() {
    let mut world = World::new(1, &table(14));
    let time = detection(&mut world);
    assert!(time > secs(2) && time <= secs(6), "{time:?}");
}

#[test]
fn a_flapping_target_is_held_down_longer_each_time() {
    let mut world = World::new(6, &table(14));
    for flap in 0..60 {
        match flap % 2 {
            0 => world.silent.insert(CRASHED),
            _ => world.silent.remove(&CRASHED),
        };
        world.run(secs(10));
    }
    // 30 flaps in 10 minutes.
    let changes = world.events.iter().filter(|(_, i, _)| *i == 0).count();
    assert!(changes <= 6, "{changes} changes of state at one balancer");
}

#[test]
fn a_target_comes_back_after_its_hold_down() {
    let mut world = World::new(6, &table(14));
    detection(&mut world);
    let back = world.now;
    world.silent.clear();
    world.run(secs(20));
    let up = world
        .events
        .iter()
        .filter(|(_, _, e)| *e == HealthEvent::Up { target: CRASHED });
    let times: Vec<_> = up.map(|(at, _, _)| *at - back).collect();
    assert_eq!(times.len(), 6);
    let hold = HealthSettings::default().hold_down;
    assert!(
        times.iter().all(|t| *t >= hold && *t <= hold + secs(4)),
        "{times:?}"
    );
}

#[test]
fn an_observation_that_is_repeated_or_late_changes_nothing() {
    let mut world = World::new(6, &table(14));
    world.run(secs(3));
    let target = CRASHED;
    let tell = |world: &mut World, from: u64, round, healthy| {
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
        tell(&mut world, from, 100, true);
        tell(&mut world, from, 99, false);
        tell(&mut world, from, 100, false);
    }
    // A balancer that nobody knows.
    tell(&mut world, 77, 1, false);
    let now = world.now;
    assert_eq!(world.health[0].tick(now), []);
}

#[test]
fn steady_targets_cost_few_probes_and_messages() {
    let mut world = World::new(6, &table(14));
    world.run(secs(100));
    let probes = world.probes as f64 / 100.0;
    assert!(probes <= 14.0 * 3.0 * 1.01, "{probes} probes a second");
    let told = world.messages as f64 / 100.0 / 6.0;
    assert!(
        told <= 1.0,
        "{told} observations told a second by each balancer"
    );
}

#[test]
fn stopped_targets_do_not_count_when_most_look_dead() {
    let table = edit(&table(4), |rows| {
        rows[0].state = TargetState::Stopped;
        rows[1].state = TargetState::Stopped;
    });
    let mut world = World::new(6, &table);
    world.silent = [TargetId(0), TargetId(1), TargetId(2)].into();
    world.run(secs(10));
    assert!((0..6).all(|i| world.down_at(i).contains(&TargetId(2))));
}
