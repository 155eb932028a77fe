//! Failure domains that are evacuated and taken back under load.

mod common;

use std::sync::Arc;

use common::{IDEMPOTENT, Sim, data, entry, forwarded, known, ms, syn};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiatrail_cookie::{
    Candidate, Config, Decision, EvacuationChange, EvacuationEvent, EvacuationList, Load,
    PlacementConfig, ProbeRequest, ResetReason, TargetChange, TargetId, TargetKey, choose,
};
use sequoiatrail_types::{Era, StoreRevision};

/// Clients of one test; each opens one flow.
const CLIENTS: std::ops::Range<u16> = 1..200;

fn list(revision: impl Into<StoreRevision>, domains: &[&str]) -> EvacuationList {
    EvacuationList {
        revision: revision.into(),
        domains: domains.iter().map(|d| Arc::from(*d)).collect(),
    }
}

fn evacuate(sim: &mut Sim, revision: u64, domains: &[&str]) -> Vec<(Arc<str>, EvacuationEvent)> {
    sim.balancer
        .replace_evacuations(sim.now, list(revision, domains))
}

fn take_back(sim: &mut Sim, revision: u64, domain: &str) {
    let change = EvacuationChange {
        domain: domain.into(),
        evacuated: false,
    };
    sim.balancer
        .change_evacuations(sim.now, revision.into(), vec![change]);
}

fn restore(sim: &mut Sim, domains: &[&str]) -> Vec<(Arc<str>, EvacuationEvent)> {
    let revision = StoreRevision::new(Era(1), 5);
    sim.balancer
        .replace_evacuations(sim.now, list(revision, domains))
}

fn event(domain: &str, event: EvacuationEvent) -> (Arc<str>, EvacuationEvent) {
    (domain.into(), event)
}

/// Number of new flows placed in failure domain `a`, whose targets are 1 to `local`.
fn placed_locally(sim: &mut Sim, clients: std::ops::Range<u16>, local: u64) -> usize {
    clients
        .filter(|client| {
            let seg = syn(*client, IDEMPOTENT, 0);
            forwarded(sim.decide(seg)).0 <= TargetId(local)
        })
        .count()
}

#[test]
fn new_flows_avoid_an_evacuated_domain_and_open_ones_go_on() {
    let mut sim = Sim::new(4, 4);
    let target = sim.open(1, IDEMPOTENT);
    assert!(target <= TargetId(4), "the own domain is preferred");
    assert_eq!(
        evacuate(&mut sim, 20, &["a"]),
        [event("a", EvacuationEvent::InForce)]
    );
    assert_eq!(placed_locally(&mut sim, 2..200, 4), 0);
    assert_eq!(sim.effects().resets, []);
    let seg = data(1, IDEMPOTENT, target.cookie(), 5, 9);
    assert_eq!(forwarded(sim.decide(seg)).0, target);
    assert_eq!(sim.balancer.flows_in_domain("a"), 1);
}

#[test]
fn retransmitted_and_duplicate_syns_avoid_an_evacuated_domain() {
    let mut sim = Sim::new(2, 2);
    for client in CLIENTS {
        sim.decide(syn(client, IDEMPOTENT, 0));
    }
    evacuate(&mut sim, 20, &["a"]);
    sim.advance(ms(200));
    for client in CLIENTS {
        let retransmitted = sim.decide(syn(client, IDEMPOTENT, 1));
        assert!(forwarded(retransmitted).0 > TargetId(2));
        let duplicate = sim.decide(syn(client, IDEMPOTENT, 1));
        assert!(forwarded(duplicate).0 > TargetId(2));
    }
}

#[test]
fn suspect_targets_elsewhere_are_used_before_evacuated_ones() {
    let mut sim = Sim::new(2, 1);
    evacuate(&mut sim, 20, &["a"]);
    sim.decide(syn(1, IDEMPOTENT, 0));
    sim.advance(ms(200));
    let moved = sim.decide(syn(1, IDEMPOTENT, 1));
    assert_eq!(forwarded(moved).0, TargetId(3));
}

#[test]
fn a_service_with_all_targets_evacuated_is_refused_with_that_reason() {
    let mut sim = Sim::new(2, 2);
    evacuate(&mut sim, 20, &["a", "b"]);
    let refused = sim.decide(syn(1, IDEMPOTENT, 0));
    assert_eq!(refused, Decision::Reset(ResetReason::Evacuated));
    let gone = (1..=4).map(|id| TargetChange::Gone(TargetId(id)));
    sim.apply_changes(gone.collect(), true);
    let refused = sim.decide(syn(2, IDEMPOTENT, 0));
    assert_eq!(refused, Decision::Reset(ResetReason::NoTarget));
}

#[test]
fn targets_that_join_an_evacuated_domain_get_no_flows() {
    let mut sim = Sim::new(0, 2);
    evacuate(&mut sim, 20, &["a"]);
    sim.apply_changes(vec![TargetChange::Present(entry(9, "a"))], true);
    for client in CLIENTS {
        assert_ne!(
            forwarded(sim.decide(syn(client, IDEMPOTENT, 0))).0,
            TargetId(9)
        );
    }
}

#[test]
fn flows_return_to_a_domain_that_is_taken_back_gradually() {
    let mut sim = Sim::new(20, 20);
    evacuate(&mut sim, 20, &["a"]);
    take_back(&mut sim, 21, "a");
    let at_once = placed_locally(&mut sim, 1..20, 20);
    assert_eq!(at_once, 0, "of 19 flows, with empty targets elsewhere");
    sim.advance(ms(5_000));
    let later = placed_locally(&mut sim, 20..40, 20);
    assert_eq!(later, 20);
}

/// A returning domain with 10 targets, as far from its full return as `returning`, and
/// 10 targets elsewhere, while little of the service's requests is in flight.
fn flows_placed_locally(returning: f64) -> usize {
    let mut sim = Sim::new(20, 0);
    sim.decide(syn(1, IDEMPOTENT, 0));
    let keys = sim.balancer.directory().for_service("app").to_vec();
    let candidates: Vec<Candidate> = keys
        .into_iter()
        .enumerate()
        .map(|(number, key)| Candidate {
            key,
            local: number < 10,
            cold: false,
            returning: if number < 10 { returning } else { 0.0 },
            avoid: false,
            slots: 2,
            slowness: 1.0,
            load: Load::default(),
            neighbors: None,
        })
        .collect();
    let local: Vec<TargetKey> = candidates[..10].iter().map(|c| c.key).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let cfg = PlacementConfig::default();
    let placed = (0..1_000).filter_map(|_| choose(&cfg, &candidates, Some(10.0), &mut rng));
    placed.filter(|key| local.contains(key)).count()
}

#[test]
fn flows_return_step_by_step_while_the_load_of_the_domain_is_known() {
    assert_eq!(flows_placed_locally(1.0), 0);
    let half = flows_placed_locally(0.75);
    assert!((300..700).contains(&half), "{half} of 1000");
    assert_eq!(flows_placed_locally(0.0), 1_000);
}

#[test]
fn a_balancer_in_an_evacuated_domain_that_is_cut_off_finds_itself_isolated() {
    let mut sim = Sim::new(4, 8);
    evacuate(&mut sim, 20, &["a"]);
    for client in 1..4 {
        sim.decide(syn(client, IDEMPOTENT, 0));
    }
    sim.advance(ms(70));
    for client in 4..8 {
        sim.decide(syn(client, IDEMPOTENT, 0));
    }
    let reachable = |probe: &ProbeRequest| probe.target <= TargetId(4);
    for _ in 0..2 {
        sim.complete_probes(reachable);
    }
    assert!(sim.balancer.is_isolated());
}

#[test]
fn an_evacuation_is_put_again_after_it_was_taken_back() {
    let mut sim = Sim::new(2, 2);
    evacuate(&mut sim, 20, &["a"]);
    take_back(&mut sim, 21, "a");
    assert!(!sim.balancer.evacuations().contains("a"));
    evacuate(&mut sim, 22, &["a"]);
    assert_eq!(placed_locally(&mut sim, CLIENTS, 2), 0);
    assert_eq!(evacuate(&mut sim, 21, &[]), [], "an older list");
    take_back(&mut sim, 21, "a");
    assert!(sim.balancer.evacuations().contains("a"), "an older change");
}

#[test]
fn an_evacuation_that_a_restored_store_lacks_stays_in_force_for_four_seconds() {
    let mut sim = Sim::new(2, 2);
    evacuate(&mut sim, 20, &["a"]);
    assert_eq!(
        restore(&mut sim, &[]),
        [event("a", EvacuationEvent::Unconfirmed)]
    );
    sim.advance(ms(3_900));
    assert_eq!(sim.balancer.sweep_evacuations(sim.now), []);
    assert_eq!(placed_locally(&mut sim, CLIENTS, 2), 0);
    sim.advance(ms(100));
    assert_eq!(
        sim.balancer.sweep_evacuations(sim.now),
        [event("a", EvacuationEvent::TakenBack)]
    );
}

#[test]
fn an_evacuation_that_is_written_to_the_restored_store_again_stays_in_force() {
    let mut sim = Sim::new(2, 2);
    evacuate(&mut sim, 20, &["a"]);
    restore(&mut sim, &[]);
    let change = EvacuationChange {
        domain: "a".into(),
        evacuated: true,
    };
    let revision = StoreRevision::new(Era(1), 6);
    sim.balancer
        .change_evacuations(sim.now, revision, vec![change]);
    sim.advance(ms(10_000));
    assert_eq!(sim.balancer.sweep_evacuations(sim.now), []);
    assert!(sim.balancer.evacuations().contains("a"));
}

#[test]
fn a_restored_store_that_lists_a_domain_again_evacuates_it_again() {
    let mut sim = Sim::new(2, 2);
    evacuate(&mut sim, 20, &["a"]);
    take_back(&mut sim, 21, "a");
    assert_eq!(
        restore(&mut sim, &["a"]),
        [event("a", EvacuationEvent::InForce)]
    );
}

#[test]
fn a_name_that_no_target_has_affects_no_flow() {
    let mut sim = Sim::new(2, 2);
    evacuate(&mut sim, 20, &["no-such-domain"]);
    assert_eq!(placed_locally(&mut sim, 1..5, 2), 4);
}

/// A balancer that follows evacuations but hears nothing from the store.
fn without_store(sim: Sim) -> Sim {
    let mut sim = sim;
    sim.balancer.configure(Config {
        domain: "a".into(),
        follow_evacuations: true,
        ..Config::default()
    });
    sim
}

#[test]
fn a_balancer_without_the_store_learns_evacuations_from_peers() {
    let mut other = Sim::new(2, 2);
    evacuate(&mut other, 20, &["a"]);
    let mut started = without_store(Sim::empty());
    let snapshot = other.balancer.snapshot_after(&known(&started)).unwrap();
    started
        .balancer
        .apply_snapshot(started.now, snapshot)
        .unwrap();
    assert!(started.balancer.is_ready());
    assert_eq!(placed_locally(&mut started, CLIENTS, 2), 0);
    take_back(&mut other, 21, "a");
    let snapshot = other.balancer.snapshot_after(&known(&started)).unwrap();
    let taken = started.balancer.apply_snapshot(started.now, snapshot);
    let taken_back = [event("a", EvacuationEvent::TakenBack)];
    assert_eq!(taken.unwrap().evacuations, taken_back);
    assert_eq!(other.balancer.snapshot_after(&known(&started)), None);
}

#[test]
fn a_balancer_is_not_ready_before_it_knows_the_evacuations() {
    let mut sim = without_store(Sim::new(2, 2));
    assert!(!sim.balancer.is_ready());
    evacuate(&mut sim, 20, &[]);
    assert!(sim.balancer.is_ready());
}

#[test]
fn a_snapshot_of_an_older_build_makes_a_balancer_ready_and_takes_nothing_back() {
    let mut snapshot = Sim::new(2, 2).balancer.snapshot().unwrap();
    snapshot.evacuations = None;
    let mut started = without_store(Sim::empty());
    let now = started.now;
    started
        .balancer
        .apply_snapshot(now, snapshot.clone())
        .unwrap();
    assert!(started.balancer.is_ready());
    evacuate(&mut started, 3, &["a"]);
    snapshot.revision = 90.into();
    started.balancer.apply_snapshot(now, snapshot).unwrap();
    assert!(started.balancer.evacuations().contains("a"));
}
