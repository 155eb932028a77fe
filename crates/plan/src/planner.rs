//! Decides when a service needs a new plan, what it is and who proposes it.
//!
//! No lease and no election: every balancer runs a planner. A rank by
//! rendezvous over the live balancers says who proposes first, and the next in
//! rank step in one after the other while nothing happens. The rank only saves
//! work. What makes a proposal safe is the conditional update: it replaces the
//! plan version that it was computed from and no other, so of two planners one
//! wins, and one that was paused loses.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_table::{Table, Target};
use sequoiatrail_types::{NodeId, PlanVersion, ServiceId, TableVersion};

use crate::need::{Need, wanted_factors};
use crate::progress::Progress;
use crate::{Factors, Plan, PlannerSettings, rank, repair, weigh};

/// The last known plan of each service.
pub type Plans = HashMap<ServiceId, Arc<Plan>>;

/// A plan to be stored on one condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The plan.
    pub plan: Plan,
    /// Store the plan only in place of this version; version 0 means that
    /// there must be no plan of the service yet.
    pub expected_version: PlanVersion,
}

/// The planner of one balancer, without I/O.
#[derive(Debug)]
pub struct Planner {
    node: NodeId,
    settings: PlannerSettings,
    progress: HashMap<ServiceId, Progress>,
    /// Targets of each service in the table of version `grouped`, so that a
    /// call does not look through the table for each service.
    targets: HashMap<ServiceId, Vec<Target>>,
    grouped: Option<TableVersion>,
}

impl Planner {
    /// The planner of balancer `node`.
    pub fn new(node: NodeId, settings: PlannerSettings) -> Planner {
        Planner {
            node,
            settings,
            progress: HashMap::new(),
            targets: HashMap::new(),
            grouped: None,
        }
    }

    /// The balancer that this planner works for.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// The plans that this balancer should store now. Call it about once a
    /// second and whenever the table changes.
    ///
    /// `live` are the balancers that this one believes live; whether it is
    /// among them itself makes no difference. `factors` say what each target is
    /// worth now. A proposal may be dropped if it cannot be stored: it is made
    /// again later, at growing intervals, until the plan's version rises.
    pub fn propose(
        &mut self,
        now: Duration,
        table: &Table,
        plans: &Plans,
        live: &[NodeId],
        factors: &Factors,
    ) -> Vec<Proposal> {
        self.group(table);
        let mut proposals = Vec::new();
        for service in &table.services {
            let last = match plans.get(&service.id) {
                Some(plan) => Arc::clone(plan),
                None => Arc::new(Plan::empty(service.id, self.settings.buckets)),
            };
            proposals.extend(self.propose_for(now, table.version, &last, live, factors));
        }
        proposals
    }

    fn propose_for(
        &mut self,
        now: Duration,
        table: TableVersion,
        last: &Plan,
        live: &[NodeId],
        seen: &Factors,
    ) -> Option<Proposal> {
        let service = last.service;
        let settings = &self.settings;
        let fresh = || Progress::new(last.version, now, settings.initial_retry_delay);
        let progress = self.progress.entry(service).or_insert_with(fresh);
        if progress.version < last.version {
            *progress = fresh();
        }
        // A table older than the plan's own is a view left behind.
        if table < last.table {
            return None;
        }
        let targets = self.targets.get(&service).map_or(&[][..], Vec::as_slice);
        let factors = wanted_factors(targets, &last.factors, seen, settings.factor_threshold);
        let need = match progress.checked < table && last.table < table {
            true => Need::Table,
            false => Need::of_factors(targets, &last.factors, &factors),
        };
        if !progress.is_due(now, need, settings) {
            progress.clear();
            return None;
        }
        let rank = rank(self.node, service, live);
        if !progress.is_turn(now, rank, settings) {
            return None;
        }
        let Some(plan) = repair(last, table, &weigh(targets, &factors), factors) else {
            progress.checked = table;
            progress.clear();
            return None;
        };
        progress.proposed(now, settings.max_retry_delay);
        Some(Proposal {
            plan,
            expected_version: last.version,
        })
    }

    fn group(&mut self, table: &Table) {
        if self.grouped == Some(table.version) {
            return;
        }
        self.targets.clear();
        for target in &table.targets {
            let group = self.targets.entry(target.service).or_default();
            group.push(target.clone());
        }
        self.progress.retain(|s, _| table.service(*s).is_some());
        self.grouped = Some(table.version);
    }
}
