//! Placement of new flows; each test replays one load pattern.

mod common;

use std::collections::HashMap;

use common::{IDEMPOTENT, Sim, ack, data, entry, ms, syn};
use sequoiatrail_cookie::{Decision, DropReason, TargetChange, TargetEntry, TargetId};

fn counts(targets: impl Iterator<Item = TargetId>) -> HashMap<TargetId, u32> {
    let mut counts = HashMap::new();
    for target in targets {
        *counts.entry(target).or_default() += 1;
    }
    counts
}

#[test]
fn long_flows_are_spread_in_proportion_to_slots() {
    let mut sim = Sim::new(4, 0);
    let wide = TargetEntry {
        slots: 4,
        ..entry(4, "a")
    };
    sim.apply_changes(vec![TargetChange::Present(wide)], true);
    let counts = counts((1..501).map(|client| sim.open(client, IDEMPOTENT)));
    for id in 1..4 {
        assert!((97..=103).contains(&counts[&TargetId(id)]), "{counts:?}");
    }
    assert!((195..=205).contains(&counts[&TargetId(4)]), "{counts:?}");
}

#[test]
fn the_local_failure_domain_is_preferred_until_it_is_full() {
    let mut sim = Sim::new(1, 1);
    let light = counts((1..8).map(|client| sim.open(client, IDEMPOTENT)));
    assert_eq!(light[&TargetId(1)], 7);
    let heavy = counts((8..200).map(|client| sim.open(client, IDEMPOTENT)));
    assert!(heavy[&TargetId(2)] > 80, "{heavy:?}");
}

#[test]
fn a_cold_target_gets_no_flows_until_it_is_warm() {
    let mut sim = Sim::new(1, 0);
    let cold = TargetEntry {
        cold_for: ms(2_000),
        ..entry(2, "a")
    };
    sim.apply_changes(vec![TargetChange::Present(cold)], true);
    let early = counts((1..5).map(|client| sim.open(client, IDEMPOTENT)));
    assert_eq!(early.get(&TargetId(2)), None);
    sim.advance(ms(2_000));
    assert_eq!(sim.open(9, IDEMPOTENT), TargetId(2));
}

#[test]
fn closed_flows_no_longer_count_as_load() {
    let mut sim = Sim::new(2, 0);
    let first: Vec<(u16, TargetId)> = (1..41)
        .map(|client| (client, sim.open(client, IDEMPOTENT)))
        .collect();
    for (client, target) in first.iter().filter(|(_, target)| *target == TargetId(1)) {
        let mut fin = data(*client, IDEMPOTENT, target.cookie(), 9, 9);
        fin.flags.fin = true;
        sim.decide(fin);
    }
    let next = counts((100..115).map(|client| sim.open(client, IDEMPOTENT)));
    assert_eq!(next.get(&TargetId(2)), None, "{next:?}");
}

/// Opens a flow, completes one request on it and closes it. The client's last
/// acknowledgement follows its FIN.
fn complete_short_flow(sim: &mut Sim, client: u16) {
    let target = sim.open(client, IDEMPOTENT);
    sim.complete_request(client, IDEMPOTENT, target, 5);
    let mut fin = ack(client, IDEMPOTENT, target.cookie(), 6);
    fin.flags.fin = true;
    sim.decide(fin);
    sim.decide(ack(client, IDEMPOTENT, target.cookie(), 7));
}

#[test]
fn acknowledgements_after_the_end_of_short_flows_count_as_no_load() {
    let mut sim = Sim::new(1, 0);
    for client in 1..31 {
        complete_short_flow(&mut sim, client);
    }
    let added = TargetChange::Present(entry(2, "a"));
    sim.apply_changes(vec![added], true);
    let next = counts((100..120).map(|client| sim.open(client, IDEMPOTENT)));
    assert_eq!(next[&TargetId(1)], 10, "{next:?}");
}

#[test]
fn a_closed_flow_is_forgotten_within_seconds_and_its_port_can_be_used_again() {
    let mut sim = Sim::new(1, 0);
    complete_short_flow(&mut sim, 1);
    let held_up = sim.decide(syn(1, IDEMPOTENT, 1));
    assert_eq!(held_up, Decision::Drop(DropReason::HeldUp));
    let again = sim.open(1, IDEMPOTENT);
    assert_eq!(again, TargetId(1));
    complete_short_flow(&mut sim, 2);
    assert_eq!(sim.balancer.flows().len(), 2);
    sim.advance(ms(2_000));
    sim.balancer.sweep(sim.now);
    assert_eq!(sim.balancer.flows().len(), 1, "the first flow is open");
}

#[test]
fn idle_flows_expire() {
    let mut sim = Sim::new(2, 0);
    for client in 1..41 {
        sim.open(client, IDEMPOTENT);
    }
    sim.advance(ms(15_100));
    sim.balancer.sweep(sim.now);
    assert!(sim.balancer.flows().is_empty());
}

#[test]
fn flows_placed_by_another_balancer_count_once_their_packets_arrive() {
    let mut sim = Sim::new(2, 0);
    for client in 1..11 {
        sim.decide(data(client, IDEMPOTENT, TargetId(1).cookie(), 5, 9));
    }
    let placed = counts((100..110).map(|client| sim.open(client, IDEMPOTENT)));
    assert_eq!(placed.get(&TargetId(1)), None, "{placed:?}");
}

#[test]
fn a_target_with_stalled_requests_gets_fewer_new_flows() {
    let mut sim = Sim::new(2, 0);
    let flows: Vec<(u16, TargetId)> = (1..21)
        .map(|client| (client, sim.open(client, IDEMPOTENT)))
        .collect();
    let at_first = |flows: &[(u16, TargetId)]| -> Vec<u16> {
        let first = flows.iter().filter(|(_, t)| *t == TargetId(1));
        first.map(|(client, _)| *client).collect()
    };
    let first = at_first(&flows);
    // Two requests hang and are retransmitted; others are still answered.
    let hanging = |client| data(client, IDEMPOTENT, TargetId(1).cookie(), 70, 9);
    for client in &first[..2] {
        sim.decide(hanging(*client));
    }
    for number in 0..10 {
        sim.complete_request(first[3], IDEMPOTENT, TargetId(1), 100 + number);
    }
    for client in &first[..2] {
        sim.decide(hanging(*client));
    }
    sim.complete_request(first[3], IDEMPOTENT, TargetId(1), 200);
    assert_eq!(sim.effects().resets, [], "it still answers other requests");
    let next = counts((100..106).map(|client| sim.open(client, IDEMPOTENT)));
    assert_eq!(next.get(&TargetId(1)), None, "{next:?}");
}

#[test]
fn unanswered_requests_count_in_addition_to_open_flows() {
    let mut sim = Sim::new(2, 0);
    let busy = sim.open(1, IDEMPOTENT);
    let idle = sim.open(2, IDEMPOTENT);
    assert_ne!(busy, idle);
    sim.complete_request(2, IDEMPOTENT, idle, 20);
    sim.decide(data(1, IDEMPOTENT, busy.cookie(), 20, 9));
    assert_eq!(sim.open(3, IDEMPOTENT), idle);
}

#[test]
fn requests_on_open_flows_count_as_soon_as_a_balancer_has_started() {
    let mut sim = Sim::new(2, 0);
    // Both targets hold flows from before the start; one has requests waiting.
    for client in 1..4 {
        sim.decide(data(client, IDEMPOTENT, TargetId(1).cookie(), 5, 9));
    }
    for client in 4..10 {
        sim.decide(ack(client, IDEMPOTENT, TargetId(2).cookie(), 9));
    }
    let placed = counts((100..104).map(|client| sim.open(client, IDEMPOTENT)));
    assert_eq!(placed.get(&TargetId(1)), None, "{placed:?}");
    for client in 1..4 {
        sim.decide(ack(client, IDEMPOTENT, TargetId(1).cookie(), 10));
    }
    let placed = counts((110..114).map(|client| sim.open(client, IDEMPOTENT)));
    assert_eq!(placed.get(&TargetId(2)), None, "{placed:?}");
}
