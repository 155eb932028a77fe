//! CSV import and export, and its error messages.

use insta::assert_snapshot;
use sequoiatrail_table::{EditId, Row, Table, TargetState, from_csv, to_csv};

const HEADER: &str = "service,address,port,protocol,target,target_address,failure_domain,weight";
const ROW: &str = "crew,192.0.2.1,443,tcp,c1,198.51.100.1:6081,1,10";

fn read(lines: &[&str]) -> Vec<Row> {
    from_csv(&lines.join("\n")).unwrap()
}

fn error(lines: &[&str]) -> String {
    let rows = match from_csv(&lines.join("\n")) {
        Ok(rows) => rows,
        Err(e) => return e.to_string(),
    };
    Table::default()
        .with_rows(&rows, EditId("e".into()))
        .unwrap_err()
        .to_string()
}

#[test]
fn optional_columns_have_defaults() {
    let rows = read(&[HEADER, ROW]);
    assert_eq!(rows[0].state, TargetState::Started);
    assert_eq!(
        (
            rows[0].max_connections,
            rows[0].slots,
            rows[0].drain_limit_s
        ),
        (0, 0, 0)
    );
}

#[test]
fn columns_in_any_order_comments_and_a_byte_order_mark_are_read() {
    let lines = [
        "\u{feff}weight, target,service,address,port,protocol,target_address,failure_domain,state",
        "# the crew app",
        "10,c1,crew,2001:db8::1,443,udp,[2001:db8::2]:6081,1,stopped",
    ];
    let rows = read(&lines);
    assert_eq!((rows.len(), rows[0].weight), (1, 10));
    assert_eq!(rows[0].state, TargetState::Stopped);
}

#[test]
fn an_export_shows_every_column() {
    assert_snapshot!(to_csv(&read(&[HEADER, ROW])).unwrap(), @r"
    service,owner,address,port,protocol,target,target_address,failure_domain,weight,max_connections,slots,state,drain_limit_s
    crew,,192.0.2.1,443,tcp,c1,198.51.100.1:6081,1,10,0,0,started,0
    ");
}

#[test]
fn an_export_of_no_rows_is_read_back_as_no_rows() {
    assert_eq!(from_csv(&to_csv(&[]).unwrap()).unwrap(), []);
}

#[test]
fn unknown_missing_and_duplicate_columns_are_named() {
    let typo = HEADER.replace("weight", "wieght");
    assert_snapshot!(error(&[&typo, ROW]), @"unknown column `wieght`; allowed: service, address, port, protocol, target, target_address, failure_domain, weight, drain_limit_s, max_connections, owner, slots, state");
    let missing = HEADER.replace(",weight", "");
    assert_snapshot!(error(&[&missing]), @"missing column `weight`");
    let doubled = format!("{HEADER},weight");
    assert_snapshot!(error(&[&doubled]), @"column `weight` appears twice");
    assert_snapshot!(error(&[""]), @"missing column `service`, `address`, `port`, `protocol`, `target`, `target_address`, `failure_domain`, `weight`");
}

#[test]
fn an_invalid_cell_is_named_with_the_allowed_values() {
    let wrong = |from: &str, to: &str| error(&[HEADER, ROW, &ROW.replace(from, to)]);
    assert_snapshot!(wrong("tcp", "sctp"), @"row 2, column protocol: `sctp` is not allowed; allowed: tcp, udp");
    assert_snapshot!(wrong("443", "70000"), @"row 2, column port: `70000` is not allowed; allowed: 1 to 65535");
    assert_snapshot!(wrong("443", "0"), @"row 2, column port: `0` is not allowed; allowed: a port from 1 to 65535");
    assert_snapshot!(wrong("6081", "0"), @"row 2, column target_address: `0` is not allowed; allowed: a port from 1 to 65535");
    assert_snapshot!(wrong("192.0.2.1", "0.0.0.0"), @"row 2, column address: `0.0.0.0` is not allowed; allowed: the address of one host");
    assert_snapshot!(wrong(",10", ",1001"), @"row 2, column weight: `1001` is not allowed; allowed: 0 to 1000");
    assert_snapshot!(wrong(",10", ","), @"row 2, column weight: `` is not allowed; allowed: 0 to 1000");
    assert_snapshot!(wrong("c1", "c 1"), @"row 2, column target: `c 1` is not allowed; allowed: 1 to 63 of a-z, A-Z, 0-9, `-`, `_`, `.`");
    assert_snapshot!(wrong(":6081", ""), @"row 2, column target_address: `198.51.100.1` is not allowed; allowed: an address with a port: 198.51.100.1:6081 or [2001:db8::1]:6081");
}

#[test]
fn conflicting_rows_are_named() {
    let second = |from: &str, to: &str| error(&[HEADER, ROW, &ROW.replace(from, to)]);
    assert_snapshot!(second("", ""), @"row 2: target `c1` is already defined in row 1");
    assert_snapshot!(second("443", "444"), @"row 2: service `crew` has a different address, port, protocol or owner in an earlier row");
    assert_snapshot!(second("crew", "portal"), @"row 2: address, port and protocol are used by service `crew`");
}

#[test]
fn a_row_with_too_few_cells_is_rejected() {
    assert!(error(&[HEADER, "crew,192.0.2.1"]).contains("invalid CSV"));
}
