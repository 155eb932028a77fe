//! Load patterns of placement: each test replays one.

mod common;

use std::collections::HashMap;

use common::{REPEATABLE, World, data, entry, ms};
use sequoiatrail_cookie::{TargetChange, TargetEntry, TargetId};

fn counts(targets: impl Iterator<Item = TargetId>) -> HashMap<TargetId, u32> {
    let mut counts = HashMap::new();
    for target in targets {
        *counts.entry(target).or_default() += 1;
    }
    counts
}

#[test]
fn many_long_flows_spread_evenly_over_slots() {
    let mut world = World::new(4, 0);
    let wide = TargetEntry {
        slots: 4,
        ..entry(4, "a")
    };
    world.change(vec![TargetChange::Present(wide)], true);
    let counts = counts((1..501).map(|caller| world.open(caller, REPEATABLE)));
    for id in 1..4 {
        assert!((97..=103).contains(&counts[&TargetId(id)]), "{counts:?}");
    }
    assert!((195..=205).contains(&counts[&TargetId(4)]), "{counts:?}");
}

#[test]
fn the_own_failure_domain_is_preferred_and_spills_over_when_it_fills_up() {
    let mut world = World::new(1, 1);
    let light = counts((1..8).map(|caller| world.open(caller, REPEATABLE)));
    assert_eq!(light[&TargetId(1)], 7);
    let heavy = counts((8..200).map(|caller| world.open(caller, REPEATABLE)));
    assert!(heavy[&TargetId(2)] > 80, "{heavy:?}");
}

#[test]
fn a_cold_target_is_spared_until_it_is_warm() {
    let mut world = World::new(1, 0);
    let cold = TargetEntry {
        cold_for: ms(2_000),
        ..entry(2, "a")
    };
    world.change(vec![TargetChange::Present(cold)], true);
    let early = counts((1..5).map(|caller| world.open(caller, REPEATABLE)));
    assert_eq!(early.get(&TargetId(2)), None);
    world.pass(ms(2_000));
    assert_eq!(world.open(9, REPEATABLE), TargetId(2));
}

#[test]
fn flows_that_ended_make_room() {
    let mut world = World::new(2, 0);
    let first: Vec<(u16, TargetId)> = (1..41)
        .map(|caller| (caller, world.open(caller, REPEATABLE)))
        .collect();
    for (caller, target) in first.iter().filter(|(_, target)| *target == TargetId(1)) {
        let mut fin = data(*caller, REPEATABLE, target.cookie(), 9, 9);
        fin.flags.fin = true;
        world.decide(fin);
    }
    let next = counts((100..115).map(|caller| world.open(caller, REPEATABLE)));
    assert_eq!(next.get(&TargetId(2)), None, "{next:?}");
}

#[test]
fn idle_flows_are_forgotten_and_no_longer_count() {
    let mut world = World::new(2, 0);
    for caller in 1..41 {
        world.open(caller, REPEATABLE);
    }
    world.pass(ms(15_100));
    world.balancer.sweep(world.now);
    assert!(world.balancer.flows().is_empty());
}

#[test]
fn flows_placed_by_another_balancer_count_once_their_packets_come_here() {
    let mut world = World::new(2, 0);
    for caller in 1..11 {
        world.decide(data(caller, REPEATABLE, TargetId(1).cookie(), 5, 9));
    }
    let placed = counts((100..110).map(|caller| world.open(caller, REPEATABLE)));
    assert_eq!(placed.get(&TargetId(1)), None, "{placed:?}");
}

#[test]
fn a_target_that_hangs_on_some_requests_gets_fewer_new_flows() {
    let mut world = World::new(2, 0);
    let flows: Vec<(u16, TargetId)> = (1..21)
        .map(|caller| (caller, world.open(caller, REPEATABLE)))
        .collect();
    let at_first = |flows: &[(u16, TargetId)]| -> Vec<u16> {
        let first = flows.iter().filter(|(_, t)| *t == TargetId(1));
        first.map(|(caller, _)| *caller).collect()
    };
    let first = at_first(&flows);
    // Two requests hang and are sent again; others go on being answered.
    let hanging = |caller| data(caller, REPEATABLE, TargetId(1).cookie(), 70, 9);
    for caller in &first[..2] {
        world.decide(hanging(*caller));
    }
    for number in 0..10 {
        world.answered(first[3], REPEATABLE, TargetId(1), 100 + number);
    }
    for caller in &first[..2] {
        world.decide(hanging(*caller));
    }
    world.answered(first[3], REPEATABLE, TargetId(1), 200);
    assert_eq!(world.effects().resets, [], "it answers others");
    let next = counts((100..106).map(|caller| world.open(caller, REPEATABLE)));
    assert_eq!(next.get(&TargetId(1)), None, "{next:?}");
}

#[test]
fn requests_that_wait_count_beside_open_flows() {
    let mut world = World::new(2, 0);
    let busy = world.open(1, REPEATABLE);
    let idle = world.open(2, REPEATABLE);
    assert_ne!(busy, idle);
    world.answered(2, REPEATABLE, idle, 20);
    world.decide(data(1, REPEATABLE, busy.cookie(), 20, 9));
    assert_eq!(world.open(3, REPEATABLE), idle);
}
