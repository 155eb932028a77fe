//! IDs, edit history and diffs under arbitrary edits.

use std::collections::{HashMap, HashSet};
use std::sync::LazyLock;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sequoiatrail_table::{Change, EditId, Row, Table, TargetState, diff, from_csv, to_csv};
use sequoiatrail_types::{FailureDomain, Protocol, TableVersion};

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

/// A row whose address and owner are derived from `service`.
fn row(service: u8, target: u8, host: u8, weight: u32) -> Row {
    Row {
        service: format!("s{service}"),
        owner: format!("team{}", service % 2),
        address: [192, 0, 2, service + 1].into(),
        port: 443,
        protocol: Protocol::Tcp,
        target: format!("t{target}"),
        target_address: ([198, 51, 100, host + 1], 6081).into(),
        failure_domain: FailureDomain(u16::from(host % 3)),
        weight,
        max_connections: 2_000,
        slots: 2,
        state: TargetState::Started,
        drain_limit_s: 0,
    }
}

fn edit(n: usize) -> EditId {
    EditId(format!("e{n}"))
}

prop_compose! {
    /// Rows without duplicate targets.
    fn rows()(cells in prop::collection::btree_map((0u8..4, 0u8..5), (0u8..4, 0u32..=1_000), 0..12))
        -> Vec<Row>
    {
        cells
            .into_iter()
            .map(|((service, target), (host, weight))| row(service, target, host, weight))
            .collect()
    }
}

/// Valid CSV, mutated by the tests.
static CSV: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let rows = [row(0, 0, 0, 1), row(1, 1, 1, 1)];
    to_csv(&rows).unwrap().into_bytes()
});

/// A valid serialized table, mutated by the tests.
static STORED: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let rows = [row(0, 0, 0, 1), row(1, 1, 1, 1)];
    let table = Table::default().with_rows(&rows, edit(0)).unwrap();
    serde_json::to_vec(&table).unwrap()
});

proptest! {
    #![proptest_config(config())]

    #[test]
    fn rows_survive_csv_and_json(rows in rows()) {
        prop_assert_eq!(&from_csv(&to_csv(&rows).unwrap()).unwrap(), &rows);
        let table = Table::default().with_rows(&rows, edit(0)).unwrap();
        let json = serde_json::to_string(&table).unwrap();
        prop_assert_eq!(serde_json::from_str::<Table>(&json).unwrap(), table);
    }

    #[test]
    fn an_id_is_never_reused(versions in prop::collection::vec(rows(), 1..12)) {
        let mut table = Table::default();
        let mut services = HashMap::new();
        let mut targets = HashMap::new();
        let mut removed = HashSet::new();
        for (n, rows) in versions.iter().enumerate() {
            let next = table.with_rows(rows, edit(n)).unwrap();
            for service in &next.services {
                let name = services.entry(service.id).or_insert(service.name.clone());
                prop_assert_eq!(&service.name, name);
            }
            for target in &next.targets {
                let key = (target.service, target.row.target.clone(), target.row.target_address);
                prop_assert_eq!(&key, targets.entry(target.id).or_insert(key.clone()));
                prop_assert!(!removed.contains(&target.id), "a removed ID was reused");
            }
            removed.extend(table.targets.iter().map(|t| t.id).filter(|id| next.target(*id).is_none()));
            prop_assert_eq!(next.version, TableVersion(n as u64 + 1));
            table = next;
        }
    }

    #[test]
    fn a_rejected_edit_changes_nothing(rows in rows(), weight in 1_001u32..) {
        let table = Table::default().with_rows(&rows, edit(0)).unwrap();
        let before = table.clone();
        let mut wrong = rows.clone();
        wrong.push(row(9, 9, 9, weight));
        prop_assert!(table.with_rows(&wrong, edit(1)).is_err());
        prop_assert_eq!(table, before);
    }

    #[test]
    fn applying_a_diff_gives_the_new_rows(from in rows(), to in rows()) {
        let mut rows = from.clone();
        for change in diff(&from, &to) {
            match change {
                Change::Added { row } => rows.push(row),
                Change::Removed { row } => rows.retain(|r| *r != row),
                Change::Changed { from, to } => {
                    let at = rows.iter().position(|r| *r == from).unwrap();
                    rows[at] = to;
                }
            }
        }
        rows.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
        prop_assert_eq!(rows, to);
    }
}

#[test]
fn a_moved_service_or_target_gets_a_new_id() {
    let first = Table::default()
        .with_rows(&[row(0, 0, 0, 1)], edit(0))
        .unwrap();
    let mut moved = row(0, 0, 0, 1);
    moved.port = 444;
    let second = first.with_rows(&[moved], edit(1)).unwrap();
    assert_ne!(first.services[0].id, second.services[0].id);
    assert_ne!(first.targets[0].id, second.targets[0].id);
    let third = first.with_rows(&[row(0, 0, 1, 1)], edit(1)).unwrap();
    assert_eq!(first.services[0].id, third.services[0].id);
    assert_ne!(first.targets[0].id, third.targets[0].id);
}

#[test]
fn an_edit_is_found_until_it_leaves_the_history() {
    let mut table = Table::default();
    for n in 0..200 {
        table = table.with_rows(&[], edit(n)).unwrap();
        assert_eq!(
            table.version_of_edit(&edit(n)),
            Some(TableVersion(n as u64 + 1))
        );
    }
    let after = table.edits_known_after().0;
    assert!((1..=199).contains(&after));
    for n in 0..200 {
        let made = n as u64 + 1;
        let found = table.version_of_edit(&edit(n));
        assert_eq!(found, (made > after).then_some(TableVersion(made)));
    }
    assert_eq!(table.version_of_edit(&EditId(String::new())), None);
}

#[test]
fn one_row_is_changed_by_name() {
    let rows = [row(0, 0, 0, 1), row(0, 1, 1, 1)];
    let table = Table::default().with_rows(&rows, edit(0)).unwrap();
    let changed = table
        .rows_with_change("s0", "t1", |r| r.state = TargetState::Stopped)
        .unwrap();
    assert_eq!(diff(&rows, &changed).len(), 1);
    let error = table.rows_with_change("s0", "t9", |_| ()).unwrap_err();
    assert_eq!(error.to_string(), "service `s0` has no target `t9`");
}

#[test]
fn an_inconsistent_stored_table_is_rejected() {
    let rows = [row(0, 0, 0, 1), row(1, 1, 1, 1)];
    let table = Table::default().with_rows(&rows, edit(0)).unwrap();
    let stored = serde_json::to_value(&table).unwrap();
    let refused = |pointer: &str, value: serde_json::Value| {
        let mut stored = stored.clone();
        *stored.pointer_mut(pointer).unwrap() = value;
        let read = serde_json::from_value::<Table>(stored);
        read.unwrap_err().to_string()
    };
    insta::assert_snapshot!(refused("/services/1/id", 0.into()), @"invalid stored table: service IDs must be ascending and below next_service");
    insta::assert_snapshot!(refused("/services/1/id", 2.into()), @"invalid stored table: service IDs must be ascending and below next_service");
    insta::assert_snapshot!(refused("/services/1/targets/0/0", 0.into()), @"invalid stored table: target IDs must be unique and below next_target");
    insta::assert_snapshot!(refused("/services/0/targets/0/4", 1_001.into()), @"row 1, column weight: `1001` is not allowed; allowed: 0 to 1000");
    insta::assert_snapshot!(refused("/services/1/address", "192.0.2.1:443".into()), @"row 2: address, port and protocol are used by service `s0`");
}

proptest! {
    #![proptest_config(Config { cases: 50_000, ..config() })]

    #[test]
    fn any_csv_is_parsed_or_rejected(
        writes in any::<[(u16, u8); 3]>(),
        bytes in any::<[u64; 4]>(),
    ) {
        let mut csv = CSV.clone();
        for (at, byte) in writes {
            let at = usize::from(at) % csv.len();
            csv[at] = byte;
        }
        let bytes: Vec<u8> = bytes.iter().flat_map(|b| b.to_le_bytes()).collect();
        for text in [csv, bytes] {
            if let Ok(rows) = from_csv(&String::from_utf8_lossy(&text)) {
                let _ = Table::default().with_rows(&rows, edit(0));
            }
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 50_000, ..config() })]

    #[test]
    fn any_stored_bytes_are_decoded_or_rejected(
        writes in any::<[(u16, u8); 3]>(),
        bytes in any::<[u64; 4]>(),
    ) {
        let mut stored = STORED.clone();
        for (at, byte) in writes {
            let at = usize::from(at) % stored.len();
            stored[at] = byte;
        }
        let bytes: Vec<u8> = bytes.iter().flat_map(|b| b.to_le_bytes()).collect();
        if let Ok(read) = serde_json::from_slice::<Table>(&stored) {
            prop_assert!(read.with_rows(&read.rows(), edit(1)).is_ok());
        }
        prop_assert!(serde_json::from_slice::<Table>(&bytes).is_err());
    }
}
