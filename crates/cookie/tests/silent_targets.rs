//! Load patterns with targets that die or are cut off, replayed packet by packet.

mod common;

use common::{ONCE, REPEATABLE, ROUND_TRIP, World, ack, data, entry, forwarded, ms, syn};
use sequoiatrail_cookie::{Decision, ResetReason, TargetChange, TargetId};

/// Opens flows until `target` has one; returns its caller.
fn caller_of(world: &mut World, target: TargetId, port: u16) -> u16 {
    (1..200)
        .find(|caller| world.open(*caller, port) == target)
        .expect("a flow at each target")
}

/// Makes a target silent: its flow's request is repeated and its probe fails.
fn silence(world: &mut World, caller: u16, port: u16, target: TargetId) {
    let seg = data(caller, port, target.cookie(), 50, 9);
    world.decide(seg);
    world.pass(ms(200));
    world.decide(seg);
    let probes = world.answer_probes(|_| false);
    assert!(probes.iter().any(|p| p.target == target), "{probes:?}");
}

#[test]
fn a_copy_of_an_opening_packet_goes_to_another_target() {
    let mut world = World::new(2, 0);
    let first = forwarded(world.decide(syn(1, REPEATABLE, 0))).0;
    world.pass(ms(200));
    let second = forwarded(world.decide(syn(1, REPEATABLE, 1))).0;
    assert_ne!(first, second);
    let again = forwarded(world.decide(syn(1, REPEATABLE, 1))).0;
    assert_eq!(again, second, "the network's own copy stays");
}

#[test]
fn opening_packets_that_nothing_follows_send_new_flows_elsewhere() {
    let mut world = World::new(4, 0);
    let dead = forwarded(world.decide(syn(1, REPEATABLE, 0))).0;
    world.pass(ms(70));
    for caller in 2..30 {
        assert_ne!(world.open(caller, REPEATABLE), dead);
    }
    let suspected = world.effects().suspicions;
    assert_eq!(suspected.len(), 1);
    assert_eq!(suspected[0].target, dead);
}

#[test]
fn after_a_pause_one_flow_tries_a_doubted_target_again() {
    let mut world = World::new(2, 0);
    let slow = forwarded(world.decide(syn(1, REPEATABLE, 0))).0;
    world.pass(ms(70));
    world.open(2, REPEATABLE);
    let probes = world.answer_probes(|_| true);
    assert_eq!(probes.len(), 1);
    world.pass(ms(600));
    let used: Vec<_> = (3..12)
        .map(|caller| world.open(caller, REPEATABLE))
        .collect();
    assert!(used.contains(&slow), "{used:?}");
}

#[test]
fn a_callers_next_attempt_avoids_the_target_of_its_last() {
    for caller in 1..40 {
        let mut world = World::new(4, 0);
        let first = forwarded(world.decide(syn(caller, REPEATABLE, 0))).0;
        world.pass(ROUND_TRIP);
        let mut next = syn(caller, REPEATABLE, 0);
        next.flow.client.set_port(caller + 5_000);
        assert_ne!(forwarded(world.decide(next)).0, first);
    }
}

#[test]
fn a_busy_target_whose_probe_is_answered_keeps_its_flows() {
    let mut world = World::new(1, 0);
    let target = world.open(1, REPEATABLE);
    let seg = data(1, REPEATABLE, target.cookie(), 50, 9);
    world.decide(seg);
    world.pass(ms(200));
    assert_eq!(forwarded(world.decide(seg)).0, target);
    assert_eq!(world.answer_probes(|_| true).len(), 1);
    world.pass(ms(400));
    assert_eq!(forwarded(world.decide(seg)).0, target);
    assert_eq!(world.effects().resets, []);
}

#[test]
fn a_failed_probe_counts_only_if_nothing_was_answered_since_it_was_asked_for() {
    let mut world = World::new(1, 0);
    let target = world.open(1, REPEATABLE);
    let seg = data(1, REPEATABLE, target.cookie(), 50, 9);
    world.decide(seg);
    world.pass(ms(200));
    world.decide(seg);
    let probes = world.effects().probes;
    world.pass(ms(50));
    world.decide(ack(1, REPEATABLE, target.cookie(), 10));
    world.pass(ms(50));
    assert!(!world.balancer.record_probe(world.now, &probes[0], false));
    assert_eq!(world.effects().resets, []);
}

#[test]
fn idle_flows_of_a_silent_target_are_reset_before_they_are_used() {
    let mut world = World::new(2, 0);
    let dead = TargetId(1);
    let busy = caller_of(&mut world, dead, REPEATABLE);
    let idle: Vec<u16> = (300..340)
        .filter(|caller| world.open(*caller, ONCE) == dead)
        .collect();
    for caller in &idle {
        world.answered(*caller, ONCE, dead, 20);
    }
    assert!(!idle.is_empty());
    silence(&mut world, busy, REPEATABLE, dead);
    let resets = world.effects().resets;
    for caller in idle {
        assert!(resets.iter().any(|r| r.flow == common::flow(caller, ONCE)));
    }
    assert!(resets.iter().all(|r| r.reason == ResetReason::TargetSilent));
}

#[test]
fn a_request_that_may_have_run_and_must_not_run_twice_is_not_cut_off() {
    let mut world = World::new(1, 1);
    let target = world.open(1, ONCE);
    let seg = data(1, ONCE, target.cookie(), 50, 9);
    silence(&mut world, 1, ONCE, target);
    assert_eq!(world.effects().resets, []);
    world.pass(ms(400));
    assert_eq!(
        forwarded(world.decide(seg)).0,
        target,
        "its answer can still come"
    );
}

#[test]
fn a_new_request_to_a_silent_target_is_refused_at_once() {
    let mut world = World::new(1, 1);
    let target = world.open(1, ONCE);
    silence(&mut world, 1, ONCE, target);
    let seg = data(1, ONCE, target.cookie(), 150, 109);
    // The answer to the earlier request shows that the target lives.
    assert_eq!(forwarded(world.decide(seg)).0, target);
    let mut world = World::new(1, 1);
    let target = world.open(1, REPEATABLE);
    silence(&mut world, 1, REPEATABLE, target);
    let seg = data(1, REPEATABLE, target.cookie(), 150, 9);
    world.decide(data(1, REPEATABLE, target.cookie(), 50, 9));
    assert_eq!(
        world.decide(seg),
        Decision::Reset(ResetReason::TargetSilent)
    );
}

#[test]
fn two_silent_targets_of_a_failure_domain_have_the_whole_of_it_probed() {
    let mut world = World::new(0, 6);
    let flows: Vec<(u16, TargetId)> = (1..60)
        .map(|caller| (caller, world.open(caller, REPEATABLE)))
        .collect();
    let first = flows[0];
    let second = *flows.iter().find(|(_, t)| *t != first.1).unwrap();
    let repeated =
        |(caller, target): (u16, TargetId)| data(caller, REPEATABLE, target.cookie(), 50, 9);
    world.decide(repeated(first));
    world.decide(repeated(second));
    world.pass(ms(200));
    world.decide(repeated(first));
    world.decide(repeated(second));
    assert_eq!(world.answer_probes(|_| false).len(), 2);
    let others = world.answer_probes(|_| false);
    assert_eq!(others.len(), 4);
    assert!(world.balancer.is_isolated());
}

#[test]
fn a_target_that_answers_again_is_used_again() {
    let mut world = World::new(1, 0);
    let target = world.open(1, REPEATABLE);
    silence(&mut world, 1, REPEATABLE, target);
    assert!(world.balancer.is_isolated());
    world.pass(ms(1_000));
    // The only target is tried although it is silent, and probed again.
    assert_eq!(forwarded(world.decide(syn(2, REPEATABLE, 0))).0, target);
    assert_eq!(world.answer_probes(|_| true).len(), 1);
    assert!(!world.balancer.is_isolated());
}

#[test]
fn a_silent_target_is_probed_again_without_any_packet() {
    let mut world = World::new(1, 0);
    let target = world.open(1, REPEATABLE);
    silence(&mut world, 1, REPEATABLE, target);
    let mut probed_after = Vec::new();
    for half_second in 1..=14 {
        world.pass(ms(500));
        world.balancer.sweep(world.now);
        if !world.answer_probes(|_| false).is_empty() {
            probed_after.push(half_second);
        }
    }
    // Ever more seldom, so that many silent targets cost little, but never less
    // than every two seconds.
    assert_eq!(probed_after, [2, 6, 10, 14]);
    world.pass(ms(2_000));
    world.balancer.sweep(world.now);
    world.answer_probes(|_| true);
    assert!(!world.balancer.is_isolated());
}

#[test]
fn a_stranger_at_the_address_of_a_dead_target_does_not_hide_it_for_long() {
    let mut world = World::new(2, 0);
    let dead = TargetId(1);
    let caller = caller_of(&mut world, dead, REPEATABLE);
    let seg = data(caller, REPEATABLE, dead.cookie(), 50, 9);
    let mut decisions = Vec::new();
    for wait in [0, 200, 400, 800, 1_600] {
        world.pass(ms(wait));
        decisions.push(world.decide(seg));
        world.answer_probes(|_| true);
    }
    assert_eq!(
        decisions.last(),
        Some(&Decision::Reset(ResetReason::TargetSilent))
    );
}

#[test]
fn old_evidence_ends_no_flow_that_is_used_again() {
    let mut world = World::new(1, 0);
    let target = world.open(1, ONCE);
    world.open(2, REPEATABLE);
    let seg = data(2, REPEATABLE, target.cookie(), 50, 9);
    for wait in [0, 200, 400, 800, 1_600] {
        world.pass(ms(wait));
        world.decide(seg);
        world.answer_probes(|_| true);
    }
    world.pass(ms(9_000));
    let seg = data(1, ONCE, target.cookie(), 50, 1);
    assert_eq!(forwarded(world.decide(seg)).0, target);
}

#[test]
fn copies_that_a_pause_held_up_and_released_together_are_no_evidence() {
    let mut world = World::new(2, 0);
    let target = TargetId(1);
    let caller = caller_of(&mut world, target, REPEATABLE);
    let seg = data(caller, REPEATABLE, target.cookie(), 50, 9);
    for _ in 0..5 {
        assert_eq!(forwarded(world.decide(seg)).0, target);
    }
    assert_eq!(world.effects().probes, []);
    world.pass(ms(500));
    let next = data(caller, REPEATABLE, target.cookie(), 90, 9);
    assert_eq!(forwarded(world.decide(next)).0, target);
}

#[test]
fn evidence_from_before_a_pause_is_void() {
    let mut world = World::new(1, 0);
    let target = world.open(1, REPEATABLE);
    let seg = data(1, REPEATABLE, target.cookie(), 50, 9);
    world.decide(seg);
    world.pass(ms(4_000));
    world.balancer.handle_pause(world.now);
    for _ in 0..5 {
        assert_eq!(forwarded(world.decide(seg)).0, target);
    }
    assert_eq!(world.effects().probes, []);
}

#[test]
fn a_target_that_moves_to_the_address_of_another_one_does_not_share_its_fate() {
    let mut world = World::new(1, 0);
    let target = world.open(1, REPEATABLE);
    silence(&mut world, 1, REPEATABLE, target);
    let heir = sequoiatrail_cookie::TargetEntry {
        address: entry(1, "a").address,
        ..entry(9, "a")
    };
    world.change(vec![TargetChange::Present(heir)], true);
    assert_eq!(world.open(7, REPEATABLE), TargetId(9));
}
