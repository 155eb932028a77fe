//! A store that is restored from an older copy: revisions go back, entries that were
//! written since are missing, and removed ones may be back.

mod common;

use common::{
    IDEMPOTENT, NON_IDEMPOTENT, Sim, data, entry, forwarded, known, manifest, ms, route, syn,
};
use sequoiatrail_cookie::{
    Decision, EraOrder, EraTracker, Lifecycle, ManifestOutcome, ResetReason, TargetChange,
    TargetEntry, TargetEvent, TargetId,
};
use sequoiatrail_types::{Era, StoreRevision};

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(Era(era), number)
}

fn list(ids: &[u64]) -> Vec<TargetChange> {
    let entries = ids.iter().map(|id| entry(*id, "a"));
    entries.map(TargetChange::Present).collect()
}

/// Applies the first list of an era, which holds these targets.
fn restore(sim: &mut Sim, era: u64, ids: &[u64]) -> Vec<(TargetId, TargetEvent)> {
    let now = sim.now;
    sim.balancer
        .replace_targets(now, revision(era, 5), list(ids), true)
}

fn is_used(sim: &mut Sim, target: TargetId, clients: std::ops::Range<u16>) -> bool {
    clients
        .map(|client| forwarded(sim.decide(syn(client, IDEMPOTENT, 0))).0)
        .any(|used| used == target)
}

#[test]
fn a_target_missing_from_a_restored_store_keeps_its_flows_and_gets_new_ones() {
    let mut sim = Sim::new(2, 0);
    let target = (1..9)
        .find(|client| sim.open(*client, IDEMPOTENT) == TargetId(2))
        .unwrap();
    let events = restore(&mut sim, 1, &[1]);
    assert_eq!(events, [(TargetId(2), TargetEvent::Unconfirmed)]);
    assert_eq!(sim.effects().resets, []);
    let seg = data(target, IDEMPOTENT, TargetId(2).cookie(), 5, 9);
    assert_eq!(forwarded(sim.decide(seg)).0, TargetId(2));
    assert!(is_used(&mut sim, TargetId(2), 100..120));
    let again = sim
        .balancer
        .change_targets(sim.now, revision(1, 6), list(&[2]), false);
    assert_eq!(again, [(TargetId(2), TargetEvent::Changed)]);
    sim.advance(ms(10_000));
    assert_eq!(sim.balancer.sweep(sim.now), []);
}

#[test]
fn a_target_that_is_not_written_to_the_restored_store_again_is_gone_after_four_seconds() {
    let mut sim = Sim::new(2, 0);
    restore(&mut sim, 1, &[1]);
    sim.advance(ms(1_000));
    let confirmed = sim
        .balancer
        .replace_targets(sim.now, revision(1, 7), list(&[1]), true);
    assert_eq!(confirmed, [], "another list does not shorten the grace");
    sim.advance(ms(2_900));
    assert_eq!(sim.balancer.sweep(sim.now), []);
    sim.advance(ms(100));
    let gone = sim.balancer.sweep(sim.now);
    assert_eq!(gone, [(TargetId(2), TargetEvent::Gone)]);
}

#[test]
fn a_second_restore_soon_after_the_first_starts_the_grace_anew() {
    let mut sim = Sim::new(2, 0);
    restore(&mut sim, 1, &[1]);
    sim.advance(ms(3_900));
    restore(&mut sim, 2, &[1]);
    sim.advance(ms(3_900));
    assert_eq!(sim.balancer.sweep(sim.now), []);
    sim.advance(ms(100));
    let gone = sim.balancer.sweep(sim.now);
    assert_eq!(gone, [(TargetId(2), TargetEvent::Gone)]);
}

#[test]
fn a_gone_target_that_a_restored_store_lists_gets_no_flows_until_it_answers_a_probe() {
    let mut sim = Sim::new(2, 0);
    sim.apply_changes(vec![TargetChange::Gone(TargetId(2))], true);
    let events = restore(&mut sim, 1, &[1, 2]);
    assert_eq!(events, [(TargetId(2), TargetEvent::Relisted)]);
    assert!(!is_used(&mut sim, TargetId(2), 100..120));
    let probes = sim.complete_probes(|_| true);
    assert_eq!(probes.len(), 1);
    assert!(is_used(&mut sim, TargetId(2), 200..220));
}

#[test]
fn a_restored_store_with_another_process_under_the_identity_has_a_new_target() {
    let mut sim = Sim::new(2, 0);
    sim.apply_changes(vec![TargetChange::Gone(TargetId(2))], true);
    let other = TargetEntry {
        born_ms: Some(77),
        ..entry(2, "a")
    };
    let mut copy = list(&[1]);
    copy.push(TargetChange::Present(other));
    let events = sim
        .balancer
        .replace_targets(sim.now, revision(1, 5), copy, true);
    assert_eq!(events, [(TargetId(2), TargetEvent::Reborn)]);
    assert!(is_used(&mut sim, TargetId(2), 100..120));
}

#[test]
fn a_restored_copy_does_not_make_a_draining_target_ready() {
    let mut sim = Sim::new(2, 0);
    let draining = TargetEntry {
        lifecycle: Lifecycle::Draining,
        ..entry(2, "a")
    };
    sim.apply_changes(vec![TargetChange::Present(draining)], true);
    restore(&mut sim, 1, &[1, 2]);
    assert!(!is_used(&mut sim, TargetId(2), 100..120));
    restore(&mut sim, 1, &[1, 2]);
    assert!(!is_used(&mut sim, TargetId(2), 200..220), "on another list");
}

#[test]
fn revisions_of_a_restored_store_supersede_higher_ones_of_the_era_before() {
    let mut sim = Sim::new(2, 0);
    let early = sim
        .balancer
        .change_targets(sim.now, revision(1, 3), list(&[3]), true);
    assert_eq!(early, [], "changes of an era need its list");
    let events = restore(&mut sim, 1, &[1, 2, 3]);
    assert_eq!(events, [(TargetId(3), TargetEvent::Added)]);
    let late = sim
        .balancer
        .replace_targets(sim.now, revision(0, 900), list(&[1]), true);
    assert_eq!(late, [], "a list of the era before is too old");
    let late = sim
        .balancer
        .change_targets(sim.now, revision(0, 901), list(&[4]), true);
    assert_eq!(late, []);
    assert_eq!(sim.balancer.directory().revision(), revision(1, 5));
}

#[test]
fn the_manifest_in_force_survives_a_restored_older_one() {
    let mut sim = Sim::new(1, 0);
    let routes = || vec![route(IDEMPOTENT, &[("app", 1)])];
    sim.balancer
        .apply_manifest(manifest(9, routes()), revision(0, 40));
    let older = sim
        .balancer
        .apply_manifest(manifest(7, Vec::new()), revision(1, 20));
    assert_eq!(older, ManifestOutcome::Stale);
    sim.open(1, IDEMPOTENT);
}

#[test]
fn the_same_version_written_to_a_restored_store_ends_alike_in_any_order() {
    let lost = || manifest(9, vec![route(IDEMPOTENT, &[("app", 1)])]);
    let rewritten = || manifest(9, vec![route(NON_IDEMPOTENT, &[("app", 1)])]);
    let mut before = Sim::new(1, 0);
    before.balancer.apply_manifest(lost(), revision(0, 40));
    let replaced = before.balancer.apply_manifest(rewritten(), revision(1, 21));
    assert_eq!(replaced, ManifestOutcome::Applied { replaced: 9 });
    let mut after = Sim::new(1, 0);
    after.balancer.apply_manifest(rewritten(), revision(1, 21));
    let late = after.balancer.apply_manifest(lost(), revision(0, 40));
    assert_eq!(late, ManifestOutcome::Stale);
    for sim in [&mut before, &mut after] {
        sim.open(1, NON_IDEMPOTENT);
        let refused = sim.decide(syn(2, IDEMPOTENT, 0));
        assert_eq!(refused, Decision::Reset(ResetReason::NoRoute));
    }
    let again = before.balancer.apply_manifest(rewritten(), revision(1, 30));
    assert_eq!(again, ManifestOutcome::Stale, "the content is the same");
}

#[test]
fn balancers_of_both_eras_exchange_only_what_the_restored_store_has() {
    let mut old = Sim::new(3, 0);
    let mut new = Sim::new(3, 0);
    restore(&mut new, 1, &[1, 2, 9]);
    let outdated = old.balancer.snapshot().unwrap();
    let now = new.now;
    let taken = new.balancer.apply_snapshot(now, outdated).unwrap();
    assert_eq!(taken.targets, []);
    let known = known(&old);
    let restored = new.balancer.snapshot_after(&known).unwrap();
    let taken = old.balancer.apply_snapshot(now, restored).unwrap();
    assert!(taken.targets.contains(&(TargetId(9), TargetEvent::Added)));
    let unconfirmed = (TargetId(3), TargetEvent::Unconfirmed);
    assert!(taken.targets.contains(&unconfirmed));
}

#[test]
fn a_balancer_that_starts_after_a_restore_learns_unconfirmed_targets_from_peers() {
    let mut running = Sim::new(2, 0);
    restore(&mut running, 1, &[1]);
    let client = 1;
    let mut started = Sim::empty();
    let snapshot = running.balancer.snapshot().unwrap();
    let now = started.now;
    let taken = started.balancer.apply_snapshot(now, snapshot).unwrap();
    let unconfirmed = (TargetId(2), TargetEvent::Unconfirmed);
    assert!(taken.targets.contains(&unconfirmed));
    let seg = data(client, IDEMPOTENT, TargetId(2).cookie(), 5, 9);
    assert_eq!(forwarded(started.decide(seg)).0, TargetId(2));
    assert!(is_used(&mut started, TargetId(2), 100..120));
    started.advance(ms(4_000));
    let gone = started.balancer.sweep(started.now);
    assert_eq!(gone, [(TargetId(2), TargetEvent::Gone)]);
}

#[test]
fn a_gone_target_stays_gone_when_a_peer_lists_it_as_unconfirmed() {
    let mut running = Sim::new(2, 0);
    restore(&mut running, 1, &[1]);
    let mut other = Sim::new(2, 0);
    other.apply_changes(vec![TargetChange::Gone(TargetId(2))], true);
    let snapshot = running.balancer.snapshot().unwrap();
    let now = other.now;
    other.balancer.apply_snapshot(now, snapshot).unwrap();
    assert!(!is_used(&mut other, TargetId(2), 100..120));
}

/// A balancer that ran while target 2 left, and the store was restored from a copy that
/// lists it; target 3 drains, and the copy lists it as ready.
fn running_through_a_restore() -> Sim {
    let mut running = Sim::new(3, 0);
    let draining = TargetEntry {
        lifecycle: Lifecycle::Draining,
        ..entry(3, "a")
    };
    let changes = vec![
        TargetChange::Gone(TargetId(2)),
        TargetChange::Present(draining),
    ];
    running.apply_changes(changes, true);
    restore(&mut running, 1, &[1, 2, 3]);
    running
}

/// A balancer that starts with the list of the restored store.
fn started_after_the_restore() -> Sim {
    let mut started = Sim::empty();
    let routes = vec![route(IDEMPOTENT, &[("app", 1)])];
    started
        .balancer
        .apply_manifest(manifest(1, routes), 1.into());
    restore(&mut started, 1, &[1, 2, 3]);
    started
}

#[test]
fn a_balancer_that_starts_after_a_restore_uses_no_target_that_peers_saw_leave() {
    let corrections = running_through_a_restore().balancer.corrections();
    let mut started = started_after_the_restore();
    let now = started.now;
    started.balancer.record_corrections(now, corrections);
    assert!(!is_used(&mut started, TargetId(2), 100..120));
    assert!(!is_used(&mut started, TargetId(3), 200..220));
    let probes = started.complete_probes(|_| true);
    let probed: Vec<TargetId> = probes.iter().map(|probe| probe.target).collect();
    assert_eq!(probed, [TargetId(2)], "a target that drains is not probed");
    assert!(is_used(&mut started, TargetId(2), 300..320));
    assert!(!is_used(&mut started, TargetId(3), 400..420));
}

#[test]
fn departures_that_are_heard_before_the_first_list_count_too() {
    let corrections = running_through_a_restore().balancer.corrections();
    let mut started = Sim::empty();
    let now = started.now;
    started.balancer.record_corrections(now, corrections);
    let routes = vec![route(IDEMPOTENT, &[("app", 1)])];
    started
        .balancer
        .apply_manifest(manifest(1, routes), 1.into());
    restore(&mut started, 1, &[1, 2, 3]);
    assert!(!is_used(&mut started, TargetId(2), 100..120));
    assert!(!is_used(&mut started, TargetId(3), 200..220));
}

#[test]
fn a_balancer_that_starts_after_a_restore_knows_targets_that_the_store_lacks() {
    let mut running = Sim::new(2, 0);
    restore(&mut running, 1, &[1]);
    for list_first in [true, false] {
        let mut started = Sim::empty();
        let now = started.now;
        let corrections = running.balancer.corrections();
        if list_first {
            restore(&mut started, 1, &[1]);
        }
        started.balancer.record_corrections(now, corrections);
        if !list_first {
            restore(&mut started, 1, &[1]);
        }
        let routes = vec![route(IDEMPOTENT, &[("app", 1)])];
        started
            .balancer
            .apply_manifest(manifest(1, routes), 1.into());
        let seg = data(1, IDEMPOTENT, TargetId(2).cookie(), 5, 9);
        assert_eq!(forwarded(started.decide(seg)).0, TargetId(2));
        started.advance(ms(4_000));
        let gone = started.balancer.sweep(started.now);
        assert_eq!(gone, [(TargetId(2), TargetEvent::Gone)]);
    }
}

#[test]
fn open_flows_to_a_target_that_peers_saw_leave_go_on() {
    let corrections = running_through_a_restore().balancer.corrections();
    let mut started = started_after_the_restore();
    let open = data(1, IDEMPOTENT, TargetId(2).cookie(), 5, 9);
    forwarded(started.decide(open));
    let now = started.now;
    started.balancer.record_corrections(now, corrections);
    let next = data(1, IDEMPOTENT, TargetId(2).cookie(), 6, 10);
    assert_eq!(forwarded(started.decide(next)).0, TargetId(2));
    assert_eq!(started.effects().resets, []);
}

#[test]
fn a_restored_store_is_detected_once_and_responses_from_before_are_outdated() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.observe(Era(4)), EraOrder::Current, "the first one");
    let previous = Era(4);
    assert_eq!(tracker.observe(Era(5)), EraOrder::Restored { previous });
    assert_eq!(tracker.observe(Era(5)), EraOrder::Current);
    let current = Era(5);
    assert_eq!(tracker.observe(Era(4)), EraOrder::Outdated { current });
    assert_eq!(tracker.observe(Era(0)), EraOrder::Outdated { current });
    tracker.forget();
    assert_eq!(tracker.observe(Era(1)), EraOrder::Current);
}
