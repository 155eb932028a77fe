//! The JSON bodies of the API.

use std::net::SocketAddr;

use sequoiatrail_platform::EditOutcome;
use sequoiatrail_table::{Change, EditId, Row, Table};
use sequoiatrail_types::{
    FailureDomain, NodeId, PlanVersion, Protocol, RefusalReason, ServiceId, TableVersion, TargetId,
};
use serde::{Deserialize, Serialize};

/// The table as operators see it; the key of the flow hash stays inside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableView {
    /// Version in force.
    pub version: TableVersion,
    /// The edit that made it.
    pub edit: EditId,
    /// The rows.
    pub rows: Vec<Row>,
}

impl From<&Table> for TableView {
    fn from(table: &Table) -> Self {
        Self {
            version: table.version,
            edit: table.edit.clone(),
            rows: table.rows(),
        }
    }
}

/// Response to an edit, and to every request that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum EditReply {
    /// It is in the table, once.
    Accepted {
        /// Identifier of the edit.
        edit: EditId,
        /// The version that it made.
        version: TableVersion,
    },
    /// It has not run and never will.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// Why, for a person to read.
        message: String,
        /// On a conflict: from the rows in force to the rows of the edit.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        differing: Vec<Change>,
        /// Seconds after which to come back, if that is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        come_back_s: Option<u64>,
    },
    /// It may have run. Asking again with the same identifier finds out and
    /// never makes it run twice.
    Unknown {
        /// Identifier of the edit; empty if it had none.
        edit: EditId,
        /// What happened, for a person to read.
        message: String,
        /// Seconds after which to come back.
        come_back_s: u64,
    },
}

impl EditReply {
    /// The answer to an edit from its outcome.
    pub fn new(edit: EditId, outcome: EditOutcome) -> EditReply {
        match outcome {
            EditOutcome::Accepted { version } => EditReply::Accepted { edit, version },
            EditOutcome::NotRun {
                reason,
                message,
                differing,
                come_back,
            } => EditReply::NotRun {
                reason,
                message,
                differing,
                come_back_s: come_back.map(whole_seconds),
            },
            EditOutcome::Unknown { message, come_back } => EditReply::Unknown {
                edit,
                message,
                come_back_s: whole_seconds(come_back),
            },
        }
    }

    /// A refusal that surely did not run.
    pub fn refused(reason: RefusalReason, message: impl Into<String>) -> EditReply {
        EditReply::NotRun {
            reason,
            message: message.into(),
            differing: Vec::new(),
            come_back_s: None,
        }
    }

    /// Seconds after which to come back, if that is known.
    pub fn come_back_s(&self) -> Option<u64> {
        match self {
            EditReply::Accepted { .. } => None,
            EditReply::NotRun { come_back_s, .. } => *come_back_s,
            EditReply::Unknown { come_back_s, .. } => Some(*come_back_s),
        }
    }

    /// The verdict as the body names it.
    pub fn verdict(&self) -> &'static str {
        match self {
            EditReply::Accepted { .. } => "accepted",
            EditReply::NotRun { .. } => "not_run",
            EditReply::Unknown { .. } => "unknown",
        }
    }
}

fn whole_seconds(wait: std::time::Duration) -> u64 {
    wait.as_secs_f64().ceil().max(1.0) as u64
}

/// Response to a check of rows that changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReply {
    /// The version compared with.
    pub version: TableVersion,
    /// From the rows in force to the rows checked.
    pub changes: Vec<Change>,
}

/// Response to the start of a graceful stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReply {
    /// Whether the balancer is stopping.
    pub draining: bool,
}

/// Cells of one row to change; the others stay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RowPatch {
    /// Share of new flows.
    pub weight: Option<u32>,
    /// Most open flows.
    pub max_connections: Option<u32>,
    /// Requests worked on at once.
    pub slots: Option<u32>,
    /// Seconds that open flows may go on after a stop.
    pub drain_limit_s: Option<u32>,
}

impl RowPatch {
    /// Writes the cells into a row.
    pub fn apply(&self, row: &mut Row) {
        row.weight = self.weight.unwrap_or(row.weight);
        row.max_connections = self.max_connections.unwrap_or(row.max_connections);
        row.slots = self.slots.unwrap_or(row.slots);
        row.drain_limit_s = self.drain_limit_s.unwrap_or(row.drain_limit_s);
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Number.
    pub id: ServiceId,
    /// Name.
    pub name: String,
    /// Team that owns it.
    pub owner: String,
    /// Address and port that callers connect to.
    pub address: SocketAddr,
    /// Transport protocol.
    pub protocol: Protocol,
    /// Targets.
    pub targets: usize,
    /// Targets that may get new flows.
    pub taking_new_flows: usize,
    /// Plan in force here; `None` before the first.
    pub plan: Option<PlanVersion>,
}

/// Whether a balancer may get packets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it may.
    pub ready: bool,
    /// Why not; empty if it may.
    pub reasons: Vec<String>,
}

/// Status of a balancer and what it knows of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// This process.
    pub node: NodeId,
    /// Name of its VM.
    pub vm: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it may get packets.
    pub readiness: Readiness,
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether the platform answered its last call.
    pub platform_reachable: bool,
    /// Table in force here.
    pub table: TableVersion,
    /// Plans in force here.
    pub plans: Vec<(ServiceId, PlanVersion)>,
    /// Balancers known here, this one included.
    pub balancers: Vec<BalancerReport>,
    /// Targets.
    pub targets: Vec<TargetReport>,
    /// Flows.
    pub flows: FlowReport,
}

/// What membership believes of a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum BalancerState {
    /// It answers.
    #[default]
    Alive,
    /// It has not answered lately.
    Suspect,
    /// It announced that it leaves.
    Leaving,
    /// It is believed to be gone.
    Dead,
}

/// A balancer as known here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerReport {
    /// The process.
    pub node: NodeId,
    /// Name of its VM; empty if not known.
    pub vm: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// What membership believes of it.
    pub state: BalancerState,
    /// Whether it can own flows.
    pub ready: bool,
    /// Table in force on it, if it has told.
    pub table: Option<TableVersion>,
}

/// A target as known here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Number.
    pub id: TargetId,
    /// Name of the service.
    pub service: String,
    /// Name of the target.
    pub target: String,
    /// Its state in the table: `started` or `stopped`.
    pub state: String,
    /// What health checks believe: `healthy`, `suspect`, `dead` or `unknown`.
    pub health: String,
    /// Open flows known on this balancer.
    pub open_flows: u64,
    /// Buckets of its service that the plan gives it.
    pub buckets: u32,
}

/// Counts of flows on this balancer since it started, but for the open ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowReport {
    /// Flow entries held now.
    pub open: u64,
    /// New flows.
    pub new: u64,
    /// Flows refused, surely not run.
    pub refused: u64,
    /// Flows that were cut by a fault.
    pub broken: u64,
    /// Packets relayed to another balancer.
    pub relayed_packets: u64,
}

/// The flow that an explanation is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainQuery {
    /// Name of the service.
    pub service: String,
    /// The caller's address and port.
    pub src: SocketAddr,
}

/// Which target a flow goes to, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the service.
    pub service: String,
    /// The caller's address and port.
    pub src: SocketAddr,
    /// Hash of the flow, in hexadecimal.
    pub flow: String,
    /// Its bucket.
    pub bucket: usize,
    /// Plan in force here.
    pub plan: PlanVersion,
    /// Name of the target; `None` if the flow would be refused.
    pub target: Option<String>,
    /// Why this target, as the log names it.
    pub reason: String,
    /// Whether the flow is known on this balancer.
    pub known: bool,
    /// Whether the flow's bucket is in transition here.
    pub in_transition: bool,
}
