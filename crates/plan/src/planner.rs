//! Decides when a service needs a new plan, and which balancer proposes it.
//!
//! There is no lease and no leader election: every balancer runs a planner.
//! Rendezvous hashing over the live balancers ranks them for each service; the
//! first proposes, and the others take over one after the other if nothing happens.
//! The ranking only avoids duplicate work. Safety comes from the conditional
//! update, which replaces only the plan version that the proposal was computed
//! from: of two concurrent planners one wins, and a planner that was paused loses.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_table::{Table, Target};
use sequoiatrail_types::{NodeId, PlanVersion, ServiceId, TableVersion};

use crate::progress::Progress;
use crate::trigger::{Trigger, next_factors};
use crate::{Factors, Plan, PlannerSettings, rank, repair, weigh};

/// The latest known plan of each service.
pub type Plans = HashMap<ServiceId, Arc<Plan>>;

/// A plan to be stored by a conditional update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The plan.
    pub plan: Plan,
    /// Version that the plan replaces; 0 means that the service must not have a plan yet.
    pub expected_version: PlanVersion,
}

/// The planner of one balancer, without I/O.
#[derive(Debug)]
pub struct Planner {
    node: NodeId,
    settings: PlannerSettings,
    progress: HashMap<ServiceId, Progress>,
    /// Targets of each service in table version `grouped_version`, so that the
    /// table is not searched for each service on every call.
    targets: HashMap<ServiceId, Vec<Target>>,
    grouped_version: Option<TableVersion>,
}

impl Planner {
    /// Creates the planner of balancer `node`.
    pub fn new(node: NodeId, settings: PlannerSettings) -> Planner {
        Planner {
            node,
            settings,
            progress: HashMap::new(),
            targets: HashMap::new(),
            grouped_version: None,
        }
    }

    /// The balancer that this planner runs on.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Returns the plans that this balancer should store now. Call it about once a
    /// second and whenever the table changes.
    ///
    /// `live` are the balancers believed to be live; this balancer need not be
    /// among them. `factors` are the current factors of the targets. A proposal may
    /// be dropped if it cannot be stored: it is repeated with exponential backoff
    /// until the version of the plan rises.
    pub fn propose(
        &mut self,
        now: Duration,
        table: &Table,
        plans: &Plans,
        live: &[NodeId],
        factors: &Factors,
    ) -> Vec<Proposal> {
        self.group_targets(table);
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
        observed: &Factors,
    ) -> Option<Proposal> {
        let service = last.service;
        let settings = &self.settings;
        let fresh = || Progress::new(last.version, now, settings.initial_retry_delay);
        let progress = self.progress.entry(service).or_insert_with(fresh);
        if progress.version < last.version {
            *progress = fresh();
        }
        // A table older than that of the plan is outdated.
        if table < last.table {
            return None;
        }
        let targets = self.targets.get(&service).map_or(&[][..], Vec::as_slice);
        let factors = next_factors(targets, &last.factors, observed, settings.factor_threshold);
        let trigger = match progress.checked_table < table && last.table < table {
            true => Trigger::Table,
            false => Trigger::from_factors(targets, &last.factors, &factors),
        };
        if !progress.is_due(now, trigger, settings) {
            progress.clear_due();
            return None;
        }
        let rank = rank(self.node, service, live);
        if !progress.may_propose(now, rank, settings) {
            return None;
        }
        let Some(plan) = repair(last, table, &weigh(targets, &factors), factors) else {
            progress.checked_table = table;
            progress.clear_due();
            return None;
        };
        progress.record_proposal(now, settings.max_retry_delay);
        Some(Proposal {
            plan,
            expected_version: last.version,
        })
    }

    fn group_targets(&mut self, table: &Table) {
        if self.grouped_version == Some(table.version) {
            return;
        }
        self.targets.clear();
        for target in &table.targets {
            let group = self.targets.entry(target.service).or_default();
            group.push(target.clone());
        }
        self.progress.retain(|s, _| table.service(*s).is_some());
        self.grouped_version = Some(table.version);
    }
}
