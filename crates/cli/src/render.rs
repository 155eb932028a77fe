//! Human-readable tables and diffs.

use sequoiatrail_admin::{ServiceReport, Status};
use sequoiatrail_table::{Change, Row};

/// Lines with aligned columns; the first row is the header.
pub(crate) fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_uppercase()).collect()
}

fn limit(value: u32) -> String {
    if value == 0 {
        return "-".to_owned();
    }
    value.to_string()
}

/// Rows of the table as text.
pub(crate) fn table(rows: &[Row]) -> String {
    let names = [
        "service",
        "owner",
        "address",
        "target",
        "tunnel end",
        "domain",
        "weight",
        "connections",
        "slots",
        "state",
        "drain s",
    ];
    let mut lines = vec![header(&names)];
    lines.extend(rows.iter().map(|row| {
        let address = std::net::SocketAddr::new(row.address, row.port);
        vec![
            row.service.clone(),
            row.owner.clone(),
            format!("{address}/{}", row.protocol),
            row.target.clone(),
            row.target_address.to_string(),
            row.failure_domain.to_string(),
            row.weight.to_string(),
            limit(row.max_connections),
            limit(row.slots),
            row.state.to_string(),
            limit(row.drain_limit_s),
        ]
    }));
    columns(&lines)
}

/// Services as text.
pub(crate) fn services(services: &[ServiceReport]) -> String {
    let names = [
        "service",
        "owner",
        "address",
        "targets",
        "taking new flows",
        "plan",
    ];
    let mut lines = vec![header(&names)];
    lines.extend(services.iter().map(|service| {
        vec![
            service.name.clone(),
            service.owner.clone(),
            format!("{}/{}", service.address, service.protocol),
            service.targets.to_string(),
            service.taking_new_flows.to_string(),
            service.plan.map_or("-".to_owned(), |plan| plan.to_string()),
        ]
    }));
    columns(&lines)
}

/// Status of a balancer as text.
pub(crate) fn status(status: &Status) -> String {
    let yes_no = |value: bool| if value { "yes" } else { "no" };
    let mut text = format!(
        "balancer {} on {}, failure domain {}\n\
         ready {}, draining {}, platform reachable {}, table version {}\n",
        status.node,
        status.vm,
        status.failure_domain,
        yes_no(status.readiness.ready),
        yes_no(status.draining),
        yes_no(status.platform_reachable),
        status.table,
    );
    for reason in &status.readiness.reasons {
        text.push_str(&format!("not ready: {reason}\n"));
    }
    let flows = &status.flows;
    text.push_str(&format!(
        "flows: {} open, {} new, {} refused, {} broken; {} packets relayed\n\n",
        flows.open, flows.new, flows.refused, flows.broken, flows.relayed_packets
    ));
    text.push_str(&balancers(status));
    text.push('\n');
    text.push_str(&targets(status));
    text
}

fn balancers(status: &Status) -> String {
    let mut lines = vec![header(&[
        "balancer", "vm", "domain", "state", "ready", "table",
    ])];
    lines.extend(status.balancers.iter().map(|balancer| {
        vec![
            balancer.node.to_string(),
            balancer.vm.clone(),
            balancer.failure_domain.to_string(),
            balancer.state.to_string(),
            if balancer.ready { "yes" } else { "no" }.to_owned(),
            balancer
                .table
                .map_or("-".to_owned(), |table| table.to_string()),
        ]
    }));
    columns(&lines)
}

fn targets(status: &Status) -> String {
    let names = [
        "service",
        "target",
        "state",
        "health",
        "open flows",
        "buckets",
    ];
    let mut lines = vec![header(&names)];
    lines.extend(status.targets.iter().map(|target| {
        vec![
            target.service.clone(),
            target.target.clone(),
            target.state.clone(),
            target.health.clone(),
            target.open_flows.to_string(),
            target.buckets.to_string(),
        ]
    }));
    columns(&lines)
}

/// A diff of the table: one line per changed row, with the cells that differ.
pub(crate) fn changes(changes: &[Change]) -> String {
    changes.iter().map(change).collect()
}

fn change(change: &Change) -> String {
    let name = |row: &Row| format!("{}/{}", row.service, row.target);
    match change {
        Change::Added { row } => format!("+ {}  weight {}\n", name(row), row.weight),
        Change::Removed { row } => format!("- {}\n", name(row)),
        Change::Changed { from, to } => {
            format!("~ {}  {}\n", name(to), cells(from, to).join(", "))
        }
    }
}

/// Cells that differ, as `column old -> new`.
fn cells(from: &Row, to: &Row) -> Vec<String> {
    let (Ok(from), Ok(to)) = (serde_json::to_value(from), serde_json::to_value(to)) else {
        return Vec::new();
    };
    let (Some(from), Some(to)) = (from.as_object(), to.as_object()) else {
        return Vec::new();
    };
    let differing = to
        .iter()
        .filter(|(column, value)| from.get(*column) != Some(value));
    differing
        .map(|(column, value)| {
            let old = from.get(column).map(plain).unwrap_or_default();
            format!("{column} {old} -> {}", plain(value))
        })
        .collect()
}

fn plain(value: &serde_json::Value) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None => value.to_string(),
    }
}
