//! The simulated platform: the table, the plans and their edits.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_plan::{Factors, Plan, Planner, PlannerSettings, Plans};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, HashSeed, NodeId, Protocol};
use snafu::ResultExt;

use crate::Result;
use crate::error::TableSnafu;
use crate::schedule::{Schedule, Service};

/// Weight of a target until an edit changes it.
const DEFAULT_WEIGHT: u32 = 100;
/// Node id of the planner of a run.
const PLANNER_NODE: NodeId = NodeId(1);
/// Port of every service.
const SERVICE_PORT: u16 = 443;
/// Port of every target's tunnel endpoint.
const TUNNEL_PORT: u16 = 5_555;

/// The table and the plans.
pub(crate) struct Platform {
    pub table: Arc<Table>,
    pub plans: Plans,
    /// Rows of the next commit.
    rows: Vec<Row>,
    /// Single planner in place of the planners of all balancers.
    planner: Planner,
    failure_domains: u16,
}

impl Platform {
    /// Creates the platform with a schedule's table and its first plans.
    pub fn new(schedule: &Schedule, seed: u64) -> Result<Self> {
        let planner_settings = PlannerSettings {
            buckets: schedule.buckets,
            ..PlannerSettings::default()
        };
        let mut platform = Self {
            table: Arc::new(Table::with_seed(HashSeed(seed, !seed))),
            plans: Plans::new(),
            rows: Vec::new(),
            planner: Planner::new(PLANNER_NODE, planner_settings),
            failure_domains: schedule.failure_domains,
        };
        for (index, service) in schedule.services.iter().enumerate() {
            for _ in 0..service.targets {
                platform.add_row(index, service);
            }
        }
        platform.commit()?;
        platform.next_plans(Duration::ZERO);
        Ok(platform)
    }

    /// Adds a target to a service; takes effect with the next commit.
    pub fn add_row(&mut self, index: usize, service: &Service) {
        let number = self
            .rows
            .iter()
            .filter(|r| r.service == service.name)
            .count();
        let failure_domain = FailureDomain(number as u16 % self.failure_domains);
        let target_ip = Ipv4Addr::new(127, 1, index as u8, number as u8 + 1);
        self.rows.push(Row {
            service: service.name.clone(),
            owner: String::new(),
            address: IpAddr::V4(Ipv4Addr::new(198, 51, 100, index as u8 + 1)),
            port: SERVICE_PORT,
            protocol: Protocol::Tcp,
            target: format!("t{number}"),
            target_address: SocketAddr::from((target_ip, TUNNEL_PORT)),
            failure_domain,
            weight: DEFAULT_WEIGHT,
            max_connections: service.max_connections,
            slots: service.slots,
            state: TargetState::Started,
            drain_limit_s: 0,
        });
    }

    /// Changes a row of a service; takes effect with the next commit.
    pub fn edit_row(&mut self, service: &str, target: usize, change: impl FnOnce(&mut Row)) {
        let row = self
            .rows
            .iter_mut()
            .filter(|r| r.service == service)
            .nth(target);
        if let Some(row) = row {
            change(row);
        }
    }

    /// Commits the rows as the next version of the table.
    pub fn commit(&mut self) -> Result<()> {
        let edit = EditId(format!("edit-{}", self.table.version.0 + 1));
        let next = self.table.with_rows(&self.rows, edit).context(TableSnafu)?;
        self.table = Arc::new(next);
        Ok(())
    }

    /// Stores the plans of the current table; returns those that changed.
    pub fn next_plans(&mut self, now: Duration) -> Vec<Arc<Plan>> {
        let factors = Factors::default();
        let proposals =
            self.planner
                .propose(now, &self.table, &self.plans, &[PLANNER_NODE], &factors);
        let mut changed = Vec::new();
        for proposal in proposals {
            let plan = Arc::new(proposal.plan);
            self.plans.insert(plan.service, plan.clone());
            changed.push(plan);
        }
        changed
    }
}
