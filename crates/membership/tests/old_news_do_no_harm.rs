//! Stale and false updates after pauses, partitions and leaves.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod net;

use std::time::Duration;

use net::{Network, address};
use sequoiatrail_membership::Event;
use sequoiatrail_types::{FailureDomain, NodeId, TableVersion};
use sequoiatrail_wire::message::{
    MemberState, MemberUpdate, Membership as Message, MembershipKind,
};

const SETTLE_TIME: Duration = Duration::from_secs(10);
const HEAL_TIMEOUT: Duration = Duration::from_secs(10);

fn update_message(node: NodeId, incarnation: u32, state: MemberState, i: usize) -> Message {
    Message {
        sequence: 0,
        kind: MembershipKind::Ack,
        subject: NodeId(0),
        updates: vec![MemberUpdate {
            node,
            incarnation,
            state,
            domain: FailureDomain(0),
            address: address(i),
            ready: true,
        }],
        plans: Vec::new(),
        table: TableVersion(0),
        wants_state: false,
    }
}

fn deliver(net: &mut Network, from: usize, to: usize, message: &Message) {
    let (now, id) = (net.now, net.id(from));
    net.with_balancer(to, |m| {
        m.handle(now, id, address(from).control(), message);
    });
}

#[test]
fn a_paused_balancer_rejoins_and_declares_nobody_dead() {
    for seed in 0..20 {
        let mut net = Network::new(6, seed, SETTLE_TIME);
        let start = net.now;
        net.pause(3, Duration::from_secs(10));
        net.run(Duration::from_secs(9));
        let paused = net.id(3);
        assert!(!net.members(0).contains(&paused), "seed {seed}");
        let elapsed = net.wait_until(HEAL_TIMEOUT, Network::converged);
        assert!(elapsed.is_some(), "seed {seed}");
        assert!(net.balancer(3).local().incarnation > 0);
        let events = net.events(3, start);
        let woke = events.iter().any(|e| matches!(e, Event::Woke { .. }));
        assert!(woke && !events.iter().any(|e| matches!(e, Event::Died(_))));
    }
}

#[test]
fn a_balancer_paused_for_a_second_is_not_declared_dead() {
    for seed in 0..20 {
        let mut net = Network::new(6, seed, SETTLE_TIME);
        let start = net.now;
        net.pause(3, Duration::from_millis(1_000));
        net.run(Duration::from_secs(10));
        for i in 0..6 {
            let events = net.events(i, start);
            assert!(
                !events.iter().any(|e| matches!(e, Event::Died(_))),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn both_sides_of_a_partition_continue_and_merge_after_it_heals() {
    for seed in 0..20 {
        let mut net = Network::new(6, seed, SETTLE_TIME);
        net.partition(|i| u8::from(i < 2));
        net.run(Duration::from_secs(60));
        assert_eq!(net.members(0).len(), 1, "seed {seed}");
        assert_eq!(net.members(5).len(), 3, "seed {seed}");
        net.heal();
        let elapsed = net.wait_until(HEAL_TIMEOUT, Network::converged);
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn sides_of_a_partition_merge_after_their_tombstones_expired() {
    let mut net = Network::new(6, 30, SETTLE_TIME);
    net.partition(|i| u8::from(i < 3));
    net.run(Duration::from_secs(700));
    net.heal();
    assert!(net.wait_until(HEAL_TIMEOUT, Network::converged).is_some());
}

#[test]
fn reports_of_others_do_not_add_members() {
    let mut net = Network::new(6, 31, SETTLE_TIME);
    let (dead, unknown) = (net.id(5), NodeId(99));
    net.kill(5);
    net.run(Duration::from_secs(5));
    for (node, i) in [(dead, 5), (unknown, 17)] {
        for incarnation in [0, 1, 1_000] {
            let news = update_message(node, incarnation, MemberState::Alive, i);
            deliver(&mut net, 0, 1, &news);
            assert!(!net.members(1).contains(&node));
        }
    }
    net.run(Duration::from_secs(10));
    assert!(net.converged());
}

#[test]
fn a_stale_update_does_not_revive_a_balancer_whose_tombstone_expired() {
    let mut net = Network::new(6, 32, SETTLE_TIME);
    let dead = net.id(5);
    net.kill(5);
    net.run(Duration::from_secs(620));
    deliver(
        &mut net,
        0,
        1,
        &update_message(dead, 0, MemberState::Alive, 5),
    );
    net.run(Duration::from_secs(5));
    assert!(net.converged());
}

#[test]
fn a_false_death_is_refuted_with_a_higher_incarnation() {
    let mut net = Network::new(6, 33, SETTLE_TIME);
    let alive = net.id(4);
    deliver(
        &mut net,
        0,
        1,
        &update_message(alive, 0, MemberState::Dead, 4),
    );
    assert!(!net.members(1).contains(&alive));
    assert!(net.wait_until(HEAL_TIMEOUT, Network::converged).is_some());
    net.run(Duration::from_secs(2));
    assert!(net.converged());
    assert!(net.balancer(4).local().incarnation > 0);
}

#[test]
fn a_stale_death_does_not_remove_a_newer_incarnation() {
    let mut net = Network::new(6, 34, SETTLE_TIME);
    let node = net.id(4);
    net.with_balancer(4, |m| m.set_ready(true));
    net.run(Duration::from_secs(2));
    deliver(
        &mut net,
        0,
        1,
        &update_message(node, 0, MemberState::Dead, 4),
    );
    assert!(net.members(1).contains(&node));
}

#[test]
fn a_leave_spreads_within_a_second_and_is_final() {
    let mut net = Network::new(6, 35, SETTLE_TIME);
    net.conditions.loss = 0.05;
    let left = net.id(2);
    net.leave(2);
    net.run(Duration::from_secs(1));
    for i in [0, 1, 3, 4, 5] {
        assert!(!net.members(i).contains(&left), "balancer {i}");
    }
    net.kill(2);
    deliver(
        &mut net,
        0,
        1,
        &update_message(left, 50, MemberState::Alive, 2),
    );
    net.run(Duration::from_secs(5));
    assert!(net.converged());
}
