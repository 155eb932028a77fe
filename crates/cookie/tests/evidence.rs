//! Silence under overload, replayed packet by packet: packets are lost on the way to
//! targets that live, while some targets may be dead.

mod common;

use common::{IDEMPOTENT, NON_IDEMPOTENT, Sim, ack, data, forwarded, ms};
use sequoiatrail_cookie::{Decision, Effects, ProbeOutcome, ResetReason, TargetId};

const SILENT: TargetId = TargetId(1);

/// Opens flows until the silent target has one; returns its client. The others go to
/// targets that answer.
fn client_of_silent(sim: &mut Sim) -> u16 {
    (1_000..1_200)
        .find(|client| sim.open(*client, IDEMPOTENT) == SILENT)
        .expect("no flow was placed on the target")
}

/// Ten flows on targets that live. Their requests are answered, at the first attempt or
/// only after a retransmission; each takes 210 ms.
fn requests(sim: &mut Sim, first_client: u16, lossy: bool) {
    let clients = (first_client..).filter_map(|client| {
        let target = sim.open(client, NON_IDEMPOTENT);
        (target != SILENT).then_some((client, target))
    });
    let flows: Vec<(u16, TargetId)> = clients.take(10).collect();
    let request =
        |(client, target): &(u16, TargetId)| data(*client, NON_IDEMPOTENT, target.cookie(), 50, 9);
    for flow in &flows {
        sim.decide(request(flow));
    }
    if lossy {
        sim.advance(ms(200));
        for flow in &flows {
            sim.decide(request(flow));
        }
    }
    sim.advance(ms(10));
    for (client, target) in flows {
        sim.decide(ack(client, NON_IDEMPOTENT, target.cookie(), 10));
    }
    if !lossy {
        sim.advance(ms(200));
    }
}

/// A request to the silent target is retransmitted for two seconds, while probes to it
/// succeed and other requests are answered. Returns the decision on the last copy.
fn retransmit_for_two_seconds(lossy: bool) -> Decision {
    let mut sim = Sim::new(10, 0);
    let client = client_of_silent(&mut sim);
    let seg = data(client, IDEMPOTENT, SILENT.cookie(), 50, 9);
    let mut last = sim.decide(seg);
    for round in 0..9 {
        requests(&mut sim, 2_000 + round * 100, lossy);
        last = sim.decide(seg);
        sim.complete_probes(|_| true);
    }
    last
}

/// A probe of the silent target has an outcome while other requests are answered. Returns
/// also the client whose request waits there.
fn probe_once(lossy: bool, outcome: ProbeOutcome) -> (Sim, u16, Effects) {
    let mut sim = Sim::new(10, 0);
    let client = client_of_silent(&mut sim);
    let seg = data(client, IDEMPOTENT, SILENT.cookie(), 50, 9);
    sim.decide(seg);
    requests(&mut sim, 2_000, lossy);
    sim.decide(seg);
    complete(&mut sim, outcome);
    let effects = sim.effects();
    (sim, client, effects)
}

/// Gives the requested probe of the silent target an outcome; the others succeed.
fn complete(sim: &mut Sim, outcome: ProbeOutcome) {
    let probes = sim.effects().probes;
    assert!(probes.iter().any(|probe| probe.target == SILENT));
    sim.advance(ms(2));
    for probe in probes {
        let outcome = match probe.target == SILENT {
            true => outcome,
            false => ProbeOutcome::Answered,
        };
        sim.balancer.record_probe(sim.now, &probe, outcome);
    }
}

fn is_avoided(sim: &mut Sim) -> bool {
    (5_000..5_040).all(|client| sim.open(client, IDEMPOTENT) != SILENT)
}

#[test]
fn retransmissions_reset_no_flow_while_others_need_them_too() {
    let last = retransmit_for_two_seconds(true);
    assert_eq!(forwarded(last).0, SILENT);
}

#[test]
fn retransmissions_reset_a_flow_while_others_are_answered_as_usual() {
    let last = retransmit_for_two_seconds(false);
    assert_eq!(last, Decision::Reset(ResetReason::TargetSilent));
}

#[test]
fn a_failed_probe_resets_no_flow_while_packets_to_others_are_lost() {
    let (mut sim, _, effects) = probe_once(true, ProbeOutcome::TimedOut);
    assert_eq!(effects.resets, []);
    assert!(is_avoided(&mut sim), "new flows go elsewhere");
}

#[test]
fn a_failed_probe_resets_flows_while_others_are_answered_as_usual() {
    let (_, _, effects) = probe_once(false, ProbeOutcome::TimedOut);
    assert_eq!(effects.resets.len(), 1);
}

#[test]
fn a_dead_target_is_found_once_the_others_answer_as_usual_again() {
    let (mut sim, _, _) = probe_once(true, ProbeOutcome::TimedOut);
    // Lost requests are retransmitted every 1.6 s, so the loss counts for twice that.
    sim.advance(ms(3_250));
    requests(&mut sim, 3_000, false);
    sim.balancer.sweep(sim.now);
    complete(&mut sim, ProbeOutcome::TimedOut);
    assert_eq!(sim.effects().resets.len(), 1);
}

#[test]
fn no_flow_is_reset_while_hardly_any_request_is_answered() {
    let mut sim = Sim::new(10, 0);
    let flows: Vec<(u16, TargetId)> = (1..31)
        .map(|client| (client, sim.open(client, IDEMPOTENT)))
        .collect();
    sim.advance(ms(3_000));
    for round in 0..2 {
        for (client, target) in &flows {
            sim.decide(data(*client, IDEMPOTENT, target.cookie(), 50, 9));
        }
        sim.advance(ms(200 + round));
    }
    let probes = sim.complete_probes(|_| false);
    assert!(probes.len() > 5, "{probes:?}");
    assert_eq!(sim.effects().resets, []);
    assert!(sim.balancer.is_isolated());
}

#[test]
fn a_target_that_refuses_probes_keeps_its_flows_while_it_answers_them() {
    let (mut sim, client, effects) = probe_once(false, ProbeOutcome::Refused);
    assert_eq!(effects.resets, [], "it may be at its limit of connections");
    assert!(is_avoided(&mut sim));
    let next = data(client, IDEMPOTENT, SILENT.cookie(), 150, 10);
    assert_eq!(forwarded(sim.decide(next)).0, SILENT);
    sim.advance(ms(500));
    sim.decide(next);
    complete(&mut sim, ProbeOutcome::Refused);
    assert_eq!(sim.effects().resets, [], "it has answered since the first");
}

#[test]
fn a_target_that_refuses_probes_and_answers_nothing_is_silent() {
    let (mut sim, _, _) = probe_once(false, ProbeOutcome::Refused);
    sim.advance(ms(500));
    sim.balancer.sweep(sim.now);
    complete(&mut sim, ProbeOutcome::Refused);
    assert_eq!(sim.effects().resets.len(), 1);
}

#[test]
fn a_probe_that_was_not_sent_says_nothing() {
    let (mut sim, _, effects) = probe_once(false, ProbeOutcome::NotSent);
    assert_eq!(effects.resets, []);
    sim.advance(ms(500));
    sim.balancer.sweep(sim.now);
    complete(&mut sim, ProbeOutcome::TimedOut);
    assert_eq!(sim.effects().resets.len(), 1, "another one is made");
}
