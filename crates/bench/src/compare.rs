//! Comparison of two results.

use std::fmt::Write;

use crate::Report;

/// Formats a table of the main metrics of two results.
pub fn compare(before: &Report, after: &Report) -> String {
    let mut text = format!("{:<34}{:>14}{:>14}\n", "", "before", "after");
    for (name, metric) in METRICS {
        let (before, after) = (metric(before), metric(after));
        let _ = writeln!(text, "{name:<34}{before:>14.3}{after:>14.3}");
    }
    text
}

type Metric = fn(&Report) -> f64;

const METRICS: [(&str, Metric); 10] = [
    ("broken flows", |r| r.broken_total() as f64),
    ("late new flows", |r| r.late_new_flows as f64),
    ("refused flows", |r| r.refused as f64),
    ("edits in force, worst s", |r| {
        worst(r.edits.iter().map(|e| e.in_force_s))
    }),
    ("edits settled, worst s", |r| {
        worst(r.edits.iter().map(|e| e.settled_s))
    }),
    ("imbalance at the end", |r| {
        r.worst_imbalance(last_second(r), f64::INFINITY)
    }),
    ("control bytes/s, mean", |r| r.control_bytes_s),
    ("control bytes/s, worst 10 s", |r| r.control_bytes_10s_max),
    ("relayed share of packets", |r| r.relayed_share),
    ("decision, median ns", |r| r.decision_ns.0 as f64),
];

fn last_second(report: &Report) -> f64 {
    report.samples.last().map_or(0.0, |s| s.at_s)
}

/// Largest value; infinity if one is missing.
fn worst(values: impl Iterator<Item = Option<f64>>) -> f64 {
    values
        .map(|v| v.unwrap_or(f64::INFINITY))
        .fold(0.0, f64::max)
}
