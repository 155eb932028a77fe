//! Tests of when plans change and which balancer changes them.

mod common;

use common::{SERVICE, Store, edit, moved, nodes, row, secs, table};
use sequoiatrail_plan::{Factor, Factors, Planner, PlannerSettings, rank};
use sequoiatrail_table::TargetState;
use sequoiatrail_types::{NodeId, PlanVersion, ServiceId, TargetId};

fn planners(n: u64) -> Vec<Planner> {
    let settings = PlannerSettings::default();
    nodes(n)
        .into_iter()
        .map(|n| Planner::new(n, settings))
        .collect()
}

/// The planner of a balancer that is the only live one.
fn planner() -> Planner {
    planners(1).remove(0)
}

fn factors(items: &[(u32, u16)]) -> Factors {
    items
        .iter()
        .map(|(t, f)| (TargetId(*t), Factor(*f)))
        .collect()
}

/// Runs one planner once and stores its first plan.
fn first_plan(planner: &mut Planner, table: &sequoiatrail_table::Table) -> Store {
    let mut store = Store::default();
    for p in planner.propose(secs(0), table, &store.plans, &nodes(1), &Factors::default()) {
        store.put(p);
    }
    store
}

#[test]
fn the_ranks_of_the_live_balancers_are_a_permutation() {
    let live = nodes(6);
    for service in (0..50).map(ServiceId) {
        let mut ranks: Vec<_> = live.iter().map(|n| rank(*n, service, &live)).collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2, 3, 4, 5]);
    }
}

#[test]
fn only_the_first_in_rank_proposes_at_first() {
    let table = table(&[1; 14]);
    let none = Store::default();
    let live = nodes(6);
    let count = |p: &mut Planner| {
        p.propose(secs(0), &table, &none.plans, &live, &Factors::default())
            .len()
    };
    assert_eq!(planners(6).iter_mut().map(count).sum::<usize>(), 1);
}

#[test]
fn the_next_in_rank_takes_over_when_the_first_does_nothing() {
    let table = table(&[1; 14]);
    let none = Store::default();
    let live = nodes(6);
    let mut planners = planners(6);
    planners.sort_by_key(|p| rank(p.node(), SERVICE, &live));
    let mut second = planners.remove(1);
    let mut at = |s| {
        second
            .propose(secs(s), &table, &none.plans, &live, &Factors::default())
            .len()
    };
    assert_eq!([at(0), at(1)], [0, 1]);
}

#[test]
fn exactly_one_of_two_concurrent_planners_wins() {
    let table = table(&[1; 14]);
    let mut store = Store::default();
    let (a, b) = (NodeId(1), NodeId(2));
    let settings = PlannerSettings::default();
    // Each considers the other dead.
    let mut first = Planner::new(a, settings);
    let mut second = Planner::new(b, settings);
    let none = store.plans.clone();
    let first_proposal = first
        .propose(secs(0), &table, &none, &[a], &Factors::default())
        .remove(0);
    let second_proposal = second
        .propose(secs(0), &table, &none, &[b], &Factors::default())
        .remove(0);
    assert!(store.put(first_proposal));
    assert!(!store.put(second_proposal));
    assert_eq!(store.plan().version, PlanVersion(1));
}

#[test]
fn the_outdated_proposal_of_a_paused_planner_is_rejected() {
    let before = table(&[1; 14]);
    let mut paused = planner();
    let mut other = planner();
    let mut store = first_plan(&mut other, &before);
    let after = edit(&before, |rows| rows[3].state = TargetState::Stopped);
    let none = Factors::default();
    let outdated_proposal = paused
        .propose(secs(1), &after, &store.plans, &nodes(1), &none)
        .remove(0);
    for p in other.propose(secs(1), &after, &store.plans, &nodes(1), &none) {
        assert!(store.put(p));
    }
    let stored = store.plan().clone();
    assert!(!store.put(outdated_proposal));
    assert_eq!(*store.plan(), stored);
    assert_eq!(
        paused.propose(secs(9), &after, &store.plans, &nodes(1), &none),
        []
    );
}

#[test]
fn a_planner_with_an_older_table_proposes_nothing() {
    let old = table(&[1; 14]);
    let new = edit(&old, |rows| rows[0].weight = 3);
    let mut current = planner();
    let store = first_plan(&mut current, &new);
    let mut outdated = planner();
    for s in 1..100 {
        let observed = factors(&[(1, 0)]);
        let next = outdated.propose(secs(s), &old, &store.plans, &nodes(1), &observed);
        assert_eq!(next, []);
    }
}

#[test]
fn stopping_a_target_moves_only_its_buckets() {
    let before = table(&[1; 14]);
    let mut planner = planner();
    let mut store = first_plan(&mut planner, &before);
    let last = store.plan().clone();
    let after = edit(&before, |rows| rows[3].state = TargetState::Stopped);
    let next = planner.propose(
        secs(1),
        &after,
        &store.plans,
        &nodes(1),
        &Factors::default(),
    );
    store.put(next.into_iter().next().unwrap());
    let held = last.bucket_counts()[&TargetId(3)];
    assert_eq!(moved(&last, store.plan()), held);
    assert!(!store.plan().bucket_counts().contains_key(&TargetId(3)));
}

#[test]
fn an_edit_without_moves_causes_no_plan() {
    let before = table(&[1; 14]);
    let mut planner = planner();
    let store = first_plan(&mut planner, &before);
    let after = edit(&before, |rows| rows[0].max_connections = 10);
    for s in 1..100 {
        let next = planner.propose(
            secs(s),
            &after,
            &store.plans,
            &nodes(1),
            &Factors::default(),
        );
        assert_eq!(next, []);
    }
    let later = edit(&after, |rows| rows[3].state = TargetState::Stopped);
    let next = planner.propose(
        secs(100),
        &later,
        &store.plans,
        &nodes(1),
        &Factors::default(),
    );
    assert_eq!(next.len(), 1, "the next edit causes a plan again");
}

#[test]
fn small_factor_changes_move_no_buckets() {
    let table = table(&[1; 14]);
    let mut planner = planner();
    let store = first_plan(&mut planner, &table);
    let observed = factors(&[(0, 900), (1, 1_100), (2, 870)]);
    for s in 1..600 {
        let next = planner.propose(secs(s), &table, &store.plans, &nodes(1), &observed);
        assert_eq!(next, []);
    }
}

#[test]
fn plans_caused_by_factors_are_rate_limited() {
    let table = table(&[1; 14]);
    let mut planner = planner();
    let mut store = first_plan(&mut planner, &table);
    let mut changes = Vec::new();
    for s in 0..300 {
        // A factor that alternates between one half and one every 7 seconds.
        let observed = factors(&[(0, if s / 7 % 2 == 0 { 500 } else { 1_000 })]);
        for p in planner.propose(secs(s), &table, &store.plans, &nodes(1), &observed) {
            assert!(store.put(p));
            changes.push(s);
        }
    }
    let least = PlannerSettings::default().load_interval.as_secs();
    assert!(!changes.is_empty());
    assert!(
        changes.windows(2).all(|w| w[1] - w[0] >= least),
        "{changes:?}"
    );
}

#[test]
fn a_recovered_target_gets_the_same_buckets_back() {
    let table = table(&[1; 14]);
    let mut planner = planner();
    let mut store = first_plan(&mut planner, &table);
    let first = store.plan().clone();
    let mut run = |seconds: std::ops::Range<u64>, observed: Factors| {
        for s in seconds {
            let next = planner.propose(secs(s), &table, &store.plans, &nodes(1), &observed);
            next.into_iter().for_each(|p| assert!(store.put(p)));
        }
        store.plan().clone()
    };
    let without = run(1..20, factors(&[(3, 0)]));
    assert!(!without.bucket_counts().contains_key(&TargetId(3)));
    let back = run(20..40, Factors::default());
    assert_eq!(back.version, PlanVersion(3));
    assert_eq!(moved(&first, &back), 0);
}

#[test]
fn all_targets_down_at_once_moves_no_buckets() {
    let table = table(&[1; 4]);
    let mut planner = planner();
    let store = first_plan(&mut planner, &table);
    let observed = factors(&[(0, 0), (1, 0), (2, 0), (3, 0)]);
    for s in 1..600 {
        let next = planner.propose(secs(s), &table, &store.plans, &nodes(1), &observed);
        assert_eq!(next, []);
    }
}

#[test]
fn unsuccessful_proposals_are_retried_with_backoff() {
    let table = table(&[1; 4]);
    let none = Store::default();
    let mut planner = planner();
    let mut at = |s: &u64| {
        !planner
            .propose(
                secs(*s),
                &table,
                &none.plans,
                &nodes(1),
                &Factors::default(),
            )
            .is_empty()
    };
    let made: Vec<u64> = (0..100).filter(|s| at(s)).collect();
    assert_eq!(made, [0, 2, 6, 14, 30, 60, 90]);
}

#[test]
fn services_are_planned_independently() {
    let two = edit(&table(&[1; 4]), |rows| {
        let mut other = row(99, 1);
        other.service = "booking".into();
        other.port = 8443;
        rows.push(other);
    });
    let mut planner = planner();
    let store = first_plan(&mut planner, &two);
    let after = edit(&two, |rows| rows[0].weight = 2);
    let next = planner.propose(
        secs(1),
        &after,
        &store.plans,
        &nodes(1),
        &Factors::default(),
    );
    assert_eq!(
        next.iter().map(|p| p.plan.service).collect::<Vec<_>>(),
        [SERVICE]
    );
}
