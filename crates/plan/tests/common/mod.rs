//! Builders of tables and plans.

#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_plan::{Plan, Plans, Proposal};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, Protocol, ServiceId, TargetId};

pub const SERVICE: ServiceId = ServiceId(0);

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn nodes(n: u64) -> Vec<NodeId> {
    (1..=n).map(NodeId).collect()
}

pub fn row(number: u32, weight: u32) -> Row {
    Row {
        service: "crew".into(),
        owner: String::new(),
        address: [192, 0, 2, 1].into(),
        port: 443,
        protocol: Protocol::Tcp,
        target: format!("t{number}"),
        target_address: ([10, 0, (number >> 8) as u8, number as u8], 5555).into(),
        failure_domain: FailureDomain((number % 3) as u16),
        weight,
        max_connections: 2_000,
        slots: 2,
        state: TargetState::Started,
        drain_limit_s: 0,
    }
}

pub fn table(weights: &[u32]) -> Table {
    edit(&Table::default(), |rows| {
        let numbered = (0..).zip(weights);
        rows.extend(numbered.map(|(n, w)| row(n, *w)));
    })
}

pub fn edit(table: &Table, change: impl FnOnce(&mut Vec<Row>)) -> Table {
    let mut rows = table.rows();
    change(&mut rows);
    table.with_rows(&rows, EditId("e".into())).unwrap()
}

/// An in-memory plan store that replaces a plan only if its version matches.
#[derive(Default)]
pub struct Store {
    pub plans: Plans,
    pub won: usize,
    pub lost: usize,
}

impl Store {
    pub fn put(&mut self, proposal: Proposal) -> bool {
        let service = proposal.plan.service;
        let current = self
            .plans
            .get(&service)
            .map_or(PlanVersion(0), |p| p.version);
        if current != proposal.expected_version {
            self.lost += 1;
            return false;
        }
        self.won += 1;
        self.plans.insert(service, Arc::new(proposal.plan));
        true
    }

    pub fn plan(&self) -> &Plan {
        &self.plans[&SERVICE]
    }
}

pub fn moved(from: &Plan, to: &Plan) -> usize {
    let pairs = from.buckets.iter().zip(&to.buckets);
    pairs.filter(|(a, b)| a.target != b.target).count()
}

/// Minimum number of moves that give each target its exact share, rounded up or down.
pub fn min_moves(from: &Plan, weights: &[u32]) -> usize {
    let held = from.bucket_counts();
    let buckets = from.buckets.len() as u64;
    let total: u64 = weights.iter().map(|w| u64::from(*w)).sum();
    let (mut gained, mut assigned, mut free) = (0, 0, 0);
    for (n, weight) in (0..).zip(weights) {
        let held = held.get(&TargetId(n)).copied().unwrap_or(0) as u64;
        let floor = buckets * u64::from(*weight) / total;
        let remainder = buckets * u64::from(*weight) % total;
        gained += floor.saturating_sub(held);
        assigned += floor;
        // Rounding up costs no move if the target already holds the extra bucket.
        free += u64::from(held > floor && remainder > 0);
    }
    (gained + (buckets - assigned).saturating_sub(free)) as usize
}
