//! JSON bodies of the API.

use std::net::SocketAddr;

use sequoiatrail_platform::EditOutcome;
use sequoiatrail_table::{Change, EditId, Row, Table};
use sequoiatrail_types::{
    FailureDomain, NodeId, PlanVersion, Protocol, RefusalReason, ServiceId, TableVersion, TargetId,
};
use serde::{Deserialize, Serialize};

/// The table as shown to operators, without the key of the flow hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableView {
    /// Current version.
    pub version: TableVersion,
    /// Identifier of the edit that created this version.
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

/// Result of an edit; also the body of every failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum EditReply {
    /// The edit was applied exactly once.
    Accepted {
        /// Identifier of the edit.
        edit: EditId,
        /// Table version that it created.
        version: TableVersion,
    },
    /// The request was not executed and will not be.
    NotRun {
        /// Machine-readable cause.
        reason: RefusalReason,
        /// Human-readable cause.
        message: String,
        /// On a conflict, the changes from the current rows to those of the edit.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        differing: Vec<Change>,
        /// Seconds after which to retry, if known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        come_back_s: Option<u64>,
    },
    /// The request may have been executed. Repeating it with the same identifier
    /// returns the outcome and never executes it twice.
    Unknown {
        /// Identifier of the edit; empty if it had none.
        edit: EditId,
        /// Human-readable description of the failure.
        message: String,
        /// Seconds after which to retry.
        come_back_s: u64,
    },
}

impl EditReply {
    /// Creates the reply to an edit from its outcome.
    pub fn new(edit: EditId, outcome: EditOutcome) -> EditReply {
        match outcome {
            EditOutcome::Accepted { version } => EditReply::Accepted { edit, version },
            EditOutcome::NotRun {
                reason,
                message,
                differing,
                retry_delay,
            } => EditReply::NotRun {
                reason,
                message,
                differing,
                come_back_s: retry_delay.map(whole_seconds),
            },
            EditOutcome::Unknown {
                message,
                retry_delay,
            } => EditReply::Unknown {
                edit,
                message,
                come_back_s: whole_seconds(retry_delay),
            },
        }
    }

    /// Rejects a request that has not been executed.
    pub fn refused(reason: RefusalReason, message: impl Into<String>) -> EditReply {
        EditReply::NotRun {
            reason,
            message: message.into(),
            differing: Vec::new(),
            come_back_s: None,
        }
    }

    /// Seconds after which to retry, if known.
    pub fn come_back_s(&self) -> Option<u64> {
        match self {
            EditReply::Accepted { .. } => None,
            EditReply::NotRun { come_back_s, .. } => *come_back_s,
            EditReply::Unknown { come_back_s, .. } => Some(*come_back_s),
        }
    }

    /// The verdict as named in the JSON body.
    pub fn verdict(&self) -> &'static str {
        match self {
            EditReply::Accepted { .. } => "accepted",
            EditReply::NotRun { .. } => "not_run",
            EditReply::Unknown { .. } => "unknown",
        }
    }
}

/// Rounds up to whole seconds, at least one.
fn whole_seconds(delay: std::time::Duration) -> u64 {
    delay.as_secs_f64().ceil().max(1.0) as u64
}

/// Reply to a dry run of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReply {
    /// Current table version, which the rows were compared with.
    pub version: TableVersion,
    /// Changes from the current rows to the checked ones.
    pub changes: Vec<Change>,
}

/// Reply to a drain request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReply {
    /// Whether the balancer is draining.
    pub draining: bool,
}

/// Fields of one row to change; `None` leaves a field unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RowPatch {
    /// Relative share of new flows.
    pub weight: Option<u32>,
    /// Maximum number of open flows.
    pub max_connections: Option<u32>,
    /// Maximum number of concurrent requests.
    pub slots: Option<u32>,
    /// Seconds for which open flows may continue after the target is stopped.
    pub drain_limit_s: Option<u32>,
}

impl RowPatch {
    /// Applies the changes to a row.
    pub fn apply(&self, row: &mut Row) {
        row.weight = self.weight.unwrap_or(row.weight);
        row.max_connections = self.max_connections.unwrap_or(row.max_connections);
        row.slots = self.slots.unwrap_or(row.slots);
        row.drain_limit_s = self.drain_limit_s.unwrap_or(row.drain_limit_s);
    }
}

/// A service and its state on this balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Numeric identifier.
    pub id: ServiceId,
    /// Name.
    pub name: String,
    /// Team that owns it.
    pub owner: String,
    /// Address and port that clients connect to.
    pub address: SocketAddr,
    /// Transport protocol.
    pub protocol: Protocol,
    /// Number of targets.
    pub targets: usize,
    /// Number of targets that accept new flows.
    pub taking_new_flows: usize,
    /// Current plan on this balancer; `None` before the first.
    pub plan: Option<PlanVersion>,
}

/// Readiness of a balancer to receive packets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it is ready.
    pub ready: bool,
    /// Why it is not ready; empty if it is.
    pub reasons: Vec<String>,
}

/// Status of a balancer and its view of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Node identifier of this process.
    pub node: NodeId,
    /// Name of its VM.
    pub vm: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Readiness to receive packets.
    pub readiness: Readiness,
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether the platform responded to the last call.
    pub platform_reachable: bool,
    /// Table version in use.
    pub table: TableVersion,
    /// Plan versions in use.
    pub plans: Vec<(ServiceId, PlanVersion)>,
    /// Known balancers, including this one.
    pub balancers: Vec<BalancerReport>,
    /// Targets in the table.
    pub targets: Vec<TargetReport>,
    /// Flow counters.
    pub flows: FlowReport,
}

/// State of a balancer according to the failure detector.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum BalancerState {
    /// Responds to probes.
    #[default]
    Alive,
    /// Did not respond to recent probes.
    Suspect,
    /// Announced that it leaves.
    Leaving,
    /// Considered failed.
    Dead,
}

/// A balancer as seen by this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerReport {
    /// Node identifier of the process.
    pub node: NodeId,
    /// Name of its VM; empty if unknown.
    pub vm: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// State according to the failure detector.
    pub state: BalancerState,
    /// Whether it can own flows.
    pub ready: bool,
    /// Table version that it announced, if any.
    pub table: Option<TableVersion>,
}

/// A target as seen by this balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Numeric identifier.
    pub id: TargetId,
    /// Name of the service.
    pub service: String,
    /// Name of the target.
    pub target: String,
    /// State in the table: `started` or `stopped`.
    pub state: String,
    /// Result of health checks: `healthy`, `suspect`, `dead` or `unknown`.
    pub health: String,
    /// Open flows known to this balancer.
    pub open_flows: u64,
    /// Number of buckets that the plan of its service assigns to it.
    pub buckets: u32,
}

/// Flow counters of this balancer since its start, except for `open`, which is
/// the current number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowReport {
    /// Flow table entries.
    pub open: u64,
    /// New flows.
    pub new: u64,
    /// Flows refused; their requests were definitely not executed.
    pub refused: u64,
    /// Flows broken by a fault.
    pub broken: u64,
    /// Packets relayed to another balancer.
    pub relayed_packets: u64,
}

/// Query for the explanation of a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainQuery {
    /// Name of the service.
    pub service: String,
    /// Address and port of the client.
    pub src: SocketAddr,
}

/// Target of a flow, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the service.
    pub service: String,
    /// Address and port of the client.
    pub src: SocketAddr,
    /// Hash of the flow, in hexadecimal.
    pub flow: String,
    /// Bucket of the flow.
    pub bucket: usize,
    /// Plan version in use.
    pub plan: PlanVersion,
    /// Name of the target; `None` if the flow would be rejected.
    pub target: Option<String>,
    /// Reason for this target, as named in the log.
    pub reason: String,
    /// Whether this balancer already knows the flow.
    pub known: bool,
    /// Whether the bucket of the flow is in transition on this balancer.
    pub in_transition: bool,
}
