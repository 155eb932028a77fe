//! Concurrent editors under random faults, checked against the table's history.

mod common;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{again, edit, edit_config, row, stand_in, store};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_platform::{Edit, EditConfig, EditOutcome, Outage, StandIn};
use sequoiatrail_table::EditId;

const EDITORS: usize = 4;
/// Fewer in all than the edits that a table remembers.
const EDITS: usize = 12;
/// Times that an editor asks again for what was not accepted.
const ASKED_AGAIN: usize = 2;

struct Said {
    id: String,
    outcome: EditOutcome,
}

fn editor(platform: &StandIn, n: usize) -> Vec<Said> {
    let store = store(platform.addr());
    let cfg = EditConfig {
        resolve_timeout: Duration::from_millis(800),
        ..edit_config()
    };
    let one = |i: usize| {
        let id = format!("e{n}-{i}");
        let ask = |edit: &Edit| {
            store.edit_table_with(&cfg, edit, |table| {
                let mut rows = table.rows();
                rows.push(row(&id, 1));
                Ok(rows)
            })
        };
        let mut wanted = edit(&id, None);
        let mut outcome = ask(&wanted);
        for _ in 0..ASKED_AGAIN {
            match outcome {
                EditOutcome::Accepted { .. } => break,
                EditOutcome::NotRun { .. } => {}
                EditOutcome::Unknown { .. } => wanted = again(wanted),
            }
            std::thread::sleep(Duration::from_millis(40));
            outcome = ask(&wanted);
        }
        Said { id, outcome }
    };
    (0..EDITS).map(one).collect()
}

/// Sets one fault after the other until the editors are done.
fn trouble(platform: &StandIn, seed: u64, done: &AtomicBool) {
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

fn check(platform: &StandIn, said: &[Said]) {
    let table = store(platform.addr()).read_table().unwrap().unwrap().value;
    let rows: BTreeSet<String> = table.rows().into_iter().map(|r| r.target).collect();
    for Said { id, outcome } in said {
        let made = table.version_of_edit(&EditId(id.clone()));
        match outcome {
            EditOutcome::Accepted { version } => assert_eq!(made, Some(*version), "{id}"),
            EditOutcome::NotRun { .. } => assert_eq!(made, None, "{id} {outcome:?}"),
            EditOutcome::Unknown { .. } => {}
        }
        // Each edit only adds a row: it is in force if and only if it ran.
        assert_eq!(rows.contains(id), made.is_some(), "{id} {outcome:?}");
    }
    // Versions rise by one with each edit, so that none ran twice.
    assert_eq!(table.version.0 as usize, rows.len());
}

#[test]
fn every_outcome_told_is_true_under_random_faults() {
    for seed in 0..2 {
        let platform = stand_in();
        let done = AtomicBool::new(false);
        let said: Vec<Said> = std::thread::scope(|scope| {
            scope.spawn(|| trouble(&platform, seed, &done));
            let platform = &platform;
            let editors: Vec<_> = (0..EDITORS)
                .map(|n| scope.spawn(move || editor(platform, n)))
                .collect();
            let said = editors
                .into_iter()
                .flat_map(|e| e.join().unwrap())
                .collect();
            done.store(true, Ordering::SeqCst);
            said
        });
        // Writes that were given up may still take effect.
        std::thread::sleep(Duration::from_millis(600));
        platform.set_faults(|f| *f = Default::default());
        check(&platform, &said);
        let accepted = said
            .iter()
            .filter(|s| matches!(s.outcome, EditOutcome::Accepted { .. }));
        assert!(accepted.count() > 0);
    }
}
