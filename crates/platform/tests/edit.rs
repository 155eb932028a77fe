//! Table edits: applied exactly once, not run, or unknown.

mod common;

use std::cell::Cell;
use std::time::Duration;

use common::{as_retry, edit, edit_config, row, stand_in, store};
use sequoiatrail_platform::{EditConfig, EditOutcome, Outage, StandIn, Store};
use sequoiatrail_table::Row;
use sequoiatrail_types::{RefusalReason, TableVersion};

fn accepted(version: u64) -> EditOutcome {
    EditOutcome::Accepted {
        version: TableVersion(version),
    }
}

fn replace(store: &Store, id: &str, base: u64, rows: &[Row]) -> EditOutcome {
    store.edit_table_with(&edit_config(), &edit(id, Some(base)), |_| Ok(rows.to_vec()))
}

fn add(store: &Store, id: &str, target: &str) -> EditOutcome {
    store.edit_table_with(&edit_config(), &edit(id, None), |table| {
        let mut rows = table.rows();
        rows.push(row(target, 1));
        Ok(rows)
    })
}

fn current_table(store: &Store) -> (u64, Vec<String>) {
    let table = store.read_table().unwrap().unwrap().value;
    let names = table.rows().into_iter().map(|r| r.target).collect();
    (table.version.0, names)
}

/// Adds a target; calls `fault` once between the read and the write.
fn add_with_fault(store: &Store, target: &str, fault: impl Fn()) -> EditOutcome {
    add_with_fault_and_config(&edit_config(), store, target, fault)
}

fn add_with_fault_and_config(
    cfg: &EditConfig,
    store: &Store,
    target: &str,
    fault: impl Fn(),
) -> EditOutcome {
    let first = Cell::new(true);
    store.edit_table_with(cfg, &edit("mine", None), |table| {
        if first.replace(false) {
            fault();
        }
        let mut rows = table.rows();
        rows.push(row(target, 1));
        Ok(rows)
    })
}

#[test]
fn an_edit_of_an_old_version_is_a_conflict_with_a_diff() {
    let platform = stand_in();
    let store = store(platform.addr());
    assert_eq!(replace(&store, "e1", 0, &[row("a", 1)]), accepted(1));
    assert_eq!(replace(&store, "e2", 1, &[row("a", 2)]), accepted(2));
    let EditOutcome::NotRun {
        reason, differing, ..
    } = replace(&store, "e3", 1, &[row("a", 3)])
    else {
        panic!("a conflict is not run");
    };
    assert_eq!(reason, RefusalReason::Conflict);
    assert_eq!(differing.len(), 1);
    assert_eq!(
        store.read_table().unwrap().unwrap().value.rows(),
        [row("a", 2)]
    );
}

#[test]
fn of_concurrent_edits_of_one_version_one_wins() {
    let platform = stand_in();
    let addr = platform.addr();
    let editors: Vec<_> = (0..6)
        .map(|i| {
            std::thread::spawn(move || replace(&store(addr), &format!("e{i}"), 0, &[row("a", i)]))
        })
        .collect();
    let outcomes: Vec<_> = editors.into_iter().map(|e| e.join().unwrap()).collect();
    let winners = outcomes.iter().filter(|o| **o == accepted(1)).count();
    assert_eq!(winners, 1, "{outcomes:?}");
    assert_eq!(current_table(&store(addr)).0, 1);
}

#[test]
fn concurrent_edits_without_a_base_are_all_accepted() {
    let platform = stand_in();
    let addr = platform.addr();
    let editors: Vec<_> = ["a", "b", "c", "d"]
        .map(|name| std::thread::spawn(move || add(&store(addr), name, name)))
        .into_iter()
        .collect();
    for editor in editors {
        assert!(matches!(
            editor.join().unwrap(),
            EditOutcome::Accepted { .. }
        ));
    }
    assert_eq!(current_table(&store(addr)).1.len(), 4);
}

#[test]
fn an_edit_whose_response_is_lost_is_accepted_exactly_once() {
    let platform = stand_in();
    let store = store(platform.addr());
    platform.set_faults(|f| f.lose_answers = 1);
    assert_eq!(add(&store, "e1", "a"), accepted(1));
    assert_eq!(current_table(&store), (1, vec!["a".into()]));
}

#[test]
fn a_lost_response_is_resolved_despite_later_edits() {
    let platform = stand_in();
    let mine = store(platform.addr());
    platform.set_faults(|f| f.lose_answers = 1);
    let addr = platform.addr();
    let others = std::thread::spawn(move || {
        let store = store(addr);
        while store.read_table().unwrap().is_none() {
            std::thread::sleep(Duration::from_millis(5));
        }
        (0..10).for_each(|i| {
            add(&store, &format!("other{i}"), &format!("o{i}"));
        });
    });
    assert_eq!(add(&mine, "mine", "m"), accepted(1));
    others.join().unwrap();
    assert_eq!(current_table(&mine).0, 11);
}

#[test]
fn a_repeated_edit_returns_its_first_outcome() {
    let platform = stand_in();
    let store = store(platform.addr());
    assert_eq!(add(&store, "e1", "a"), accepted(1));
    assert_eq!(add(&store, "e2", "b"), accepted(2));
    assert_eq!(add(&store, "e1", "a"), accepted(1));
    assert_eq!(current_table(&store).0, 2);
}

#[test]
fn an_edit_during_an_outage_is_not_run() {
    for outage in [Outage::Refuse, Outage::Hang] {
        let platform = stand_in();
        let store = store(platform.addr());
        platform.set_faults(|f| f.outage = outage);
        let outcome = add(&store, "e1", "a");
        let is_known = |retry_delay: &Option<Duration>| retry_delay.is_some();
        assert!(
            matches!(&outcome, EditOutcome::NotRun { retry_delay, .. } if is_known(retry_delay)),
            "{outcome:?}"
        );
        platform.set_faults(|f| f.outage = Outage::None);
        assert!(store.read_table().unwrap().is_none());
    }
}

#[test]
fn an_edit_whose_write_is_refused_is_not_run() {
    let platform = stand_in();
    let store = store(platform.addr());
    let refuse = || platform.set_faults(|f| f.outage = Outage::Refuse);
    let outcome = add_with_fault(&store, "a", refuse);
    assert!(matches!(outcome, EditOutcome::NotRun { .. }), "{outcome:?}");
}

#[test]
fn an_edit_whose_write_hangs_is_unknown_until_it_is_retried() {
    let platform = stand_in();
    let store = store(platform.addr());
    let hang = || platform.set_faults(|f| f.outage = Outage::Hang);
    let outcome = add_with_fault(&store, "a", hang);
    assert!(
        matches!(outcome, EditOutcome::Unknown { .. }),
        "{outcome:?}"
    );
    platform.set_faults(|f| f.outage = Outage::None);
    assert_eq!(add(&store, "mine", "a"), accepted(1));
}

#[test]
fn a_rate_limited_edit_returns_the_retry_delay_immediately() {
    let platform: StandIn = stand_in();
    let store = store(platform.addr());
    platform.set_faults(|f| f.over_rate_s = Some(9));
    let EditOutcome::NotRun { retry_delay, .. } = add(&store, "e1", "a") else {
        panic!("a rate limited edit is not run");
    };
    assert_eq!(retry_delay, Some(Duration::from_secs(9)));
}

#[test]
fn an_invalid_edit_is_rejected_with_row_and_column() {
    let platform = stand_in();
    let store = store(platform.addr());
    let EditOutcome::NotRun {
        reason, message, ..
    } = replace(&store, "e1", 0, &[row("a", 1_001)])
    else {
        panic!("an invalid edit is not run");
    };
    assert_eq!(reason, RefusalReason::Invalid);
    assert!(message.contains("row 1, column weight"), "{message}");
}

#[test]
fn a_write_that_takes_effect_after_its_timeout_runs_once() {
    let platform = stand_in();
    let store = store(platform.addr());
    // Exceeds the request timeout, but ends before the edit gives up.
    let slow = || platform.set_faults(|f| f.delay_ms = 700);
    let outcome = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(450));
            platform.set_faults(|f| f.delay_ms = 0);
        });
        let cfg = EditConfig {
            resolve_timeout: Duration::from_secs(30),
            ..edit_config()
        };
        add_with_fault_and_config(&cfg, &store, "a", slow)
    });
    assert_eq!(outcome, accepted(1));
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(current_table(&store), (1, vec!["a".into()]));
}

#[test]
fn an_edit_on_a_slow_platform_is_unknown_and_runs_at_most_once() {
    let platform = stand_in();
    let store = store(platform.addr());
    let slow = || platform.set_faults(|f| f.delay_ms = 700);
    let outcome = add_with_fault(&store, "a", slow);
    assert!(
        matches!(outcome, EditOutcome::Unknown { .. }),
        "{outcome:?}"
    );
    platform.set_faults(|f| f.delay_ms = 0);
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(add(&store, "mine", "a"), accepted(1));
    assert_eq!(current_table(&store), (1, vec!["a".into()]));
}

#[test]
fn a_table_over_the_size_limit_is_rejected_before_it_is_sent() {
    let platform = stand_in();
    let store = store(platform.addr());
    let rows: Vec<Row> = (0..20_000)
        .map(|n| row(&format!("target-{n}"), 1))
        .collect();
    let EditOutcome::NotRun {
        reason, message, ..
    } = replace(&store, "e1", 0, &rows)
    else {
        panic!("too large a table is not run");
    };
    assert_eq!(reason, RefusalReason::Invalid);
    assert!(message.contains("allowed: up to 1048576"), "{message}");
    assert_eq!(platform.counts().writes, 0);
}

#[test]
fn a_retried_edit_is_not_reported_as_not_run_while_it_may_still_run() {
    let platform = stand_in();
    let store = store(platform.addr());
    let slow = || platform.set_faults(|f| f.delay_ms = 700);
    assert!(matches!(
        add_with_fault(&store, "a", slow),
        EditOutcome::Unknown { .. }
    ));
    // The write of the first attempt may still take effect.
    platform.set_faults(|f| {
        f.delay_ms = 0;
        f.outage = Outage::Refuse;
    });
    let retry = || {
        store.edit_table_with(&edit_config(), &as_retry(edit("mine", None)), |table| {
            let mut rows = table.rows();
            rows.push(row("a", 1));
            Ok(rows)
        })
    };
    assert!(matches!(retry(), EditOutcome::Unknown { .. }));
    platform.set_faults(|f| f.outage = Outage::None);
    assert_eq!(retry(), accepted(1));
}

#[test]
fn a_retried_edit_of_an_old_version_is_not_run() {
    let platform = stand_in();
    let store = store(platform.addr());
    assert_eq!(replace(&store, "e1", 0, &[row("a", 1)]), accepted(1));
    let outcome = store.edit_table(&as_retry(edit("e2", Some(0))), |_| Ok(vec![row("a", 2)]));
    assert!(
        matches!(
            outcome,
            EditOutcome::NotRun {
                reason: RefusalReason::Conflict,
                ..
            }
        ),
        "{outcome:?}"
    );
    for n in 0..80 {
        replace(&store, &format!("later{n}"), n + 1, &[row("a", 1)]);
    }
    let outcome = store.edit_table(&as_retry(edit("e3", Some(0))), |_| Ok(vec![row("a", 2)]));
    assert!(
        matches!(outcome, EditOutcome::Unknown { .. }),
        "{outcome:?}"
    );
}
