//! What the control thread is told, and what it has written to the platform.

use std::sync::Arc;

use sequoiatrail_health::{Probe, ProbeOutcome};
use sequoiatrail_membership::Event as MemberEvent;
use sequoiatrail_plan::{Plan, Proposal};
use sequoiatrail_platform::{BalancerStatus, StoreEvent};
use sequoiatrail_table::Table;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{FlowMessage, TargetMessage};

/// Inputs of the control thread.
pub(crate) enum Input {
    /// Event of the platform.
    Store(StoreEvent),
    /// Event of the failure detector.
    Member(MemberEvent),
    /// Message about flows from another balancer.
    Flow(NodeId, FlowMessage),
    /// Message about targets from another balancer.
    Target(NodeId, TargetMessage),
    /// Table fetched from another balancer.
    PeerTable(Arc<Table>),
    /// Plan fetched from another balancer.
    PeerPlan(Arc<Plan>),
    /// State fetched from a ready balancer.
    State(Vec<FlowMessage>),
    /// Outcome of a target probe.
    Probed(Probe, ProbeOutcome),
}

/// Write to the platform.
pub(crate) enum Write {
    /// Writes a plan if the plan that it replaces is still current.
    Plan(Proposal),
    /// Writes the status of this balancer.
    Status(BalancerStatus),
    /// Removes the status of this balancer.
    Remove(NodeId),
}
