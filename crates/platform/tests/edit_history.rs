//! Concurrent editors under random faults, checked against the table's edit history.

mod common;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{as_retry, edit, edit_config, row, stand_in, store};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_platform::{Edit, EditConfig, EditOutcome, Outage, StandIn};
use sequoiatrail_table::EditId;

const EDITORS: usize = 4;
/// Edits per editor; in total fewer than a table records.
const EDITS_PER_EDITOR: usize = 12;
/// Retries of an edit that was not accepted.
const MAX_RETRIES: usize = 2;

struct Reported {
    id: String,
    outcome: EditOutcome,
}

fn editor(platform: &StandIn, n: usize) -> Vec<Reported> {
    let store = store(platform.addr());
    let cfg = EditConfig {
        resolve_timeout: Duration::from_millis(800),
        ..edit_config()
    };
    let run_edit = |i: usize| {
        let id = format!("e{n}-{i}");
        let send = |edit: &Edit| {
            store.edit_table_with(&cfg, edit, |table| {
                let mut rows = table.rows();
                rows.push(row(&id, 1));
                Ok(rows)
            })
        };
        let mut request = edit(&id, None);
        let mut outcome = send(&request);
        for _ in 0..MAX_RETRIES {
            match outcome {
                EditOutcome::Accepted { .. } => break,
                EditOutcome::NotRun { .. } => {}
                EditOutcome::Unknown { .. } => request = as_retry(request),
            }
            std::thread::sleep(Duration::from_millis(40));
            outcome = send(&request);
        }
        Reported { id, outcome }
    };
    (0..EDITS_PER_EDITOR).map(run_edit).collect()
}

/// Injects random faults until the editors are done.
fn inject_faults(platform: &StandIn, seed: u64, done: &AtomicBool) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !done.load(Ordering::SeqCst) {
        match rng.random_range(0..6) {
            0 => platform.set_faults(|f| f.outage = Outage::Refuse),
            1 => platform.set_faults(|f| f.outage = Outage::Hang),
            2 => platform.set_faults(|f| f.delay_ms = 500),
            3 => platform.set_faults(|f| f.over_rate_s = Some(1)),
            _ => platform.set_faults(|f| f.lose_answers = 1),
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(5..60)));
        platform.set_faults(|f| *f = Default::default());
        std::thread::sleep(Duration::from_millis(rng.random_range(5..100)));
    }
}

fn check(platform: &StandIn, reported: &[Reported]) {
    let table = store(platform.addr()).read_table().unwrap().unwrap().value;
    let rows: BTreeSet<String> = table.rows().into_iter().map(|r| r.target).collect();
    for Reported { id, outcome } in reported {
        let recorded = table.version_of_edit(&EditId(id.clone()));
        match outcome {
            EditOutcome::Accepted { version } => assert_eq!(recorded, Some(*version), "{id}"),
            EditOutcome::NotRun { .. } => assert_eq!(recorded, None, "{id} {outcome:?}"),
            EditOutcome::Unknown { .. } => {}
        }
        // Each edit only adds a row, so the row exists if and only if the edit ran.
        assert_eq!(rows.contains(id), recorded.is_some(), "{id} {outcome:?}");
    }
    // Each edit increments the version by one, so none ran twice.
    assert_eq!(table.version.0 as usize, rows.len());
}

#[test]
fn reported_outcomes_are_correct_under_random_faults() {
    for seed in 0..2 {
        let platform = stand_in();
        let done = AtomicBool::new(false);
        let reported: Vec<Reported> = std::thread::scope(|scope| {
            scope.spawn(|| inject_faults(&platform, seed, &done));
            let platform = &platform;
            let editors: Vec<_> = (0..EDITORS)
                .map(|n| scope.spawn(move || editor(platform, n)))
                .collect();
            let reported = editors
                .into_iter()
                .flat_map(|e| e.join().unwrap())
                .collect();
            done.store(true, Ordering::SeqCst);
            reported
        });
        // Writes that timed out may still take effect.
        std::thread::sleep(Duration::from_millis(600));
        platform.set_faults(|f| *f = Default::default());
        check(&platform, &reported);
        let accepted = reported
            .iter()
            .filter(|s| matches!(s.outcome, EditOutcome::Accepted { .. }));
        assert!(accepted.count() > 0);
    }
}
