//! Prints the cost of tables of several sizes: object size in bytes, and the time
//! of an edit, a diff and a CSV round trip.

use std::hint::black_box;
use std::time::{Duration, Instant};

use sequoiatrail_table::{EditId, Row, Table, TargetState, diff, from_csv, to_csv};
use sequoiatrail_types::{FailureDomain, Protocol};

/// Runs per measurement; the fastest counts.
const RUNS: usize = 5;
const TARGETS_PER_SERVICE: u32 = 7;

fn main() {
    println!("| targets | object bytes | bytes a target | edit ms | difference ms | CSV ms |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for targets in [36, 250, 2_500, 25_000] {
        print_line(targets);
    }
}

fn print_line(targets: u32) {
    let rows: Vec<Row> = (0..targets).map(row).collect();
    let edit = EditId("00000000000000000000000000000000".into());
    let table = Table::default()
        .with_rows(&rows, edit.clone())
        .expect("valid");
    let bytes = serde_json::to_vec(&table).expect("JSON").len();
    let mut changed = rows.clone();
    changed[0].weight += 1;
    let edit_time = fastest(|| drop(black_box(table.with_rows(&changed, edit.clone()))));
    let diff_time = fastest(|| drop(black_box(diff(&rows, &changed))));
    let csv_time = fastest(|| drop(black_box(from_csv(&to_csv(&rows).expect("CSV")))));
    println!(
        "| {targets} | {bytes} | {} | {:.2} | {:.2} | {:.2} |",
        bytes / targets as usize,
        millis(edit_time),
        millis(diff_time),
        millis(csv_time)
    );
}

fn fastest(mut run: impl FnMut()) -> Duration {
    let time = |_| {
        let start = Instant::now();
        run();
        start.elapsed()
    };
    (0..RUNS).map(time).min().unwrap_or_default()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn row(n: u32) -> Row {
    let service = n / TARGETS_PER_SERVICE;
    let [_, a, b, c] = service.to_be_bytes();
    let [_, d, e, f] = n.to_be_bytes();
    Row {
        service: format!("service-{service}"),
        owner: format!("team-{}", service % 100),
        address: [10 + a, 20, b, c].into(),
        port: 443,
        protocol: Protocol::Tcp,
        target: format!("target-{n}"),
        target_address: ([100 + d, 64, e, f], 6081).into(),
        failure_domain: FailureDomain((n % 10) as u16),
        weight: 100,
        max_connections: 2_000,
        slots: 2,
        state: TargetState::Started,
        drain_limit_s: 3_600,
    }
}
