//! Pauses, partitions, leaves and hearsay.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod net;

use std::time::Duration;

use net::{Net, address};
use sequoiatrail_membership::Event;
use sequoiatrail_types::{FailureDomain, NodeId, TableVersion};
use sequoiatrail_wire::message::{
    MemberState, MemberUpdate, Membership as Message, MembershipKind,
};

const SETTLE: Duration = Duration::from_secs(10);
const HEALING: Duration = Duration::from_secs(10);

fn news_of(node: NodeId, incarnation: u32, state: MemberState, i: usize) -> Message {
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

fn tell(net: &mut Net, from: usize, to: usize, message: &Message) {
    let (now, id) = (net.now, net.id(from));
    net.change(to, |m| {
        m.handle(now, id, address(from).control(), message);
    });
}

#[test]
fn a_balancer_that_slept_comes_back_and_takes_nobody_for_dead() {
    for seed in 0..20 {
        let mut net = Net::new(6, seed, SETTLE);
        let start = net.now;
        net.pause(3, Duration::from_secs(10));
        net.run(Duration::from_secs(9));
        let sleeper = net.id(3);
        assert!(!net.members(0).contains(&sleeper), "seed {seed}");
        let took = net.run_till(HEALING, Net::agree);
        assert!(took.is_some(), "seed {seed}");
        assert!(net.at(3).local().incarnation > 0);
        let events = net.events(3, start);
        let woke = events.iter().any(|e| matches!(e, Event::Woke { .. }));
        assert!(woke && !events.iter().any(|e| matches!(e, Event::Died(_))));
    }
}

#[test]
fn a_balancer_that_slept_a_second_is_not_taken_for_dead() {
    for seed in 0..20 {
        let mut net = Net::new(6, seed, SETTLE);
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
fn both_sides_of_a_partition_go_on_and_merge_when_it_heals() {
    for seed in 0..20 {
        let mut net = Net::new(6, seed, SETTLE);
        net.part(|i| u8::from(i < 2));
        net.run(Duration::from_secs(60));
        assert_eq!(net.members(0).len(), 1, "seed {seed}");
        assert_eq!(net.members(5).len(), 3, "seed {seed}");
        net.heal();
        let took = net.run_till(HEALING, Net::agree);
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn sides_merge_after_they_forgot_each_other() {
    let mut net = Net::new(6, 30, SETTLE);
    net.part(|i| u8::from(i < 3));
    net.run(Duration::from_secs(700));
    net.heal();
    assert!(net.run_till(HEALING, Net::agree).is_some());
}

#[test]
fn hearsay_makes_nobody_a_member() {
    let mut net = Net::new(6, 31, SETTLE);
    let (dead, unknown) = (net.id(5), NodeId(99));
    net.kill(5);
    net.run(Duration::from_secs(5));
    for (node, i) in [(dead, 5), (unknown, 17)] {
        for incarnation in [0, 1, 1_000] {
            let news = news_of(node, incarnation, MemberState::Alive, i);
            tell(&mut net, 0, 1, &news);
            assert!(!net.members(1).contains(&node));
        }
    }
    net.run(Duration::from_secs(10));
    assert!(net.agree());
}

#[test]
fn news_of_a_forgotten_death_do_not_bring_it_back() {
    let mut net = Net::new(6, 32, SETTLE);
    let dead = net.id(5);
    net.kill(5);
    net.run(Duration::from_secs(620));
    tell(&mut net, 0, 1, &news_of(dead, 0, MemberState::Alive, 5));
    net.run(Duration::from_secs(5));
    assert!(net.agree());
}

#[test]
fn a_false_death_is_refuted_with_a_higher_incarnation() {
    let mut net = Net::new(6, 33, SETTLE);
    let alive = net.id(4);
    tell(&mut net, 0, 1, &news_of(alive, 0, MemberState::Dead, 4));
    assert!(!net.members(1).contains(&alive));
    assert!(net.run_till(HEALING, Net::agree).is_some());
    net.run(Duration::from_secs(2));
    assert!(net.agree());
    assert!(net.at(4).local().incarnation > 0);
}

#[test]
fn an_older_death_does_not_end_a_newer_incarnation() {
    let mut net = Net::new(6, 34, SETTLE);
    let node = net.id(4);
    net.change(4, |m| m.set_ready(true));
    net.run(Duration::from_secs(2));
    tell(&mut net, 0, 1, &news_of(node, 0, MemberState::Dead, 4));
    assert!(net.members(1).contains(&node));
}

#[test]
fn a_leave_is_known_within_a_second_and_final() {
    let mut net = Net::new(6, 35, SETTLE);
    net.weather.loss = 0.05;
    let left = net.id(2);
    net.leave(2);
    net.run(Duration::from_secs(1));
    for i in [0, 1, 3, 4, 5] {
        assert!(!net.members(i).contains(&left), "balancer {i}");
    }
    net.kill(2);
    tell(&mut net, 0, 1, &news_of(left, 50, MemberState::Alive, 2));
    net.run(Duration::from_secs(5));
    assert!(net.agree());
}
