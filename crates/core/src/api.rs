//! Inputs and outputs of the core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_plan::Plan;
use sequoiatrail_table::Table;
use sequoiatrail_types::{
    FailureDomain, NodeId, PlanVersion, RefusalReason, ServiceId, TargetId, Verdict,
};
use sequoiatrail_wire::message::{FlowMessage, RelayHeader, Share};

/// How a packet reached this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// Received from the network fabric.
    Fabric,
    /// Relayed by another balancer.
    Peer {
        /// Balancer that relayed it.
        from: NodeId,
        /// Relay header sent with the packet.
        header: RelayHeader,
    },
}

/// What to do with a packet. Each packet has exactly one decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Encapsulate it and send it to a target, once.
    Forward {
        /// Selected target.
        target: TargetId,
        /// Address of the target's tunnel endpoint.
        to: SocketAddr,
        /// Why this target was selected.
        reason: ForwardReason,
    },
    /// Relay it to another balancer, as data traffic.
    Relay {
        /// Receiving balancer.
        to: NodeId,
        /// Relay header to send with the packet.
        header: RelayHeader,
    },
    /// Reject it with the protocol's usual reply. No data of the flow has
    /// reached a target.
    Refuse(RefusalReason),
    /// Reset the client's side of a stalled flow, or of one whose stopped target
    /// is past its drain limit. Its request may have run.
    Reset,
    /// Drop it silently and count it.
    Drop(DropReason),
}

impl Decision {
    /// What is known about the outcome of the request that the packet belongs
    /// to.
    pub fn verdict(&self) -> Verdict {
        match self {
            Decision::Forward { .. } => Verdict::Done,
            Decision::Refuse(reason) => Verdict::NotRun(*reason),
            Decision::Relay { .. } | Decision::Reset | Decision::Drop(_) => Verdict::MayHaveRun,
        }
    }
}

/// Why a packet is forwarded to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum ForwardReason {
    /// The flow has an entry in the flow table.
    Known,
    /// The flow is new and goes to the plan's target.
    Plan,
    /// The flow is unknown and its bucket is settled, so it goes to the plan's
    /// target.
    Settled,
    /// The flow's bucket is in transition and the flow is older than the
    /// transition.
    Baseline,
    /// The target was decided by another balancer, and this one is the backup.
    Backup,
    /// The flow is listed in a filter of off-plan flows.
    Filter,
    /// The flow is new and its planned target is down, stopped or full.
    NextTarget,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// No service has this address, port and protocol.
    UnknownService,
    /// The flow's target is no longer in the table.
    TargetGone,
    /// The packet was relayed too many times.
    TooManyHops,
    /// There is no target for the flow, and the packet does not open it, so its
    /// request may have run.
    NoTarget,
}

/// A live balancer as reported by the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Identifier of the balancer.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether it can own flows.
    pub ready: bool,
    /// Newest plan version that it has prepared, per service.
    pub prepared: Vec<(ServiceId, PlanVersion)>,
}

/// An input other than a packet or a tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new table; ignored unless newer than the current one.
    Table(Arc<Table>),
    /// A new plan of one service; ignored unless newer than the current one.
    Plan(Arc<Plan>),
    /// The current list of live balancers, including this one.
    Peers(Vec<Peer>),
    /// A message from another balancer, other than a relayed packet.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: FlowMessage,
    },
    /// The balancers agreed that a target is down. Its new flows go to another
    /// target at once, without waiting for a new plan.
    TargetDown {
        /// Target that is down.
        target: TargetId,
        /// Time of the agreement by this balancer's clock.
        agreed_at: Duration,
    },
    /// A target that was down is up again.
    TargetUp {
        /// Target that is up.
        target: TargetId,
    },
    /// Flow counts of another balancer. Targets that are left out keep their
    /// previous counts.
    Shares {
        /// Balancer that sent the counts.
        from: NodeId,
        /// Counts by target.
        shares: Vec<Share>,
    },
}

/// An output other than a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a control message to another balancer.
    Send {
        /// Receiving balancer.
        to: NodeId,
        /// The message.
        message: FlowMessage,
    },
    /// Announce to the peers that this balancer has prepared a plan.
    Prepared {
        /// Service of the plan.
        service: ServiceId,
        /// Version of the plan.
        plan: PlanVersion,
    },
}

/// Passive health evidence for a target, collected from new flows at this
/// balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowEvidence {
    /// The target.
    pub target: TargetId,
    /// New flows that were answered promptly.
    pub answered: u32,
    /// First packets that were retransmitted because they were not answered.
    pub retransmitted: u32,
}
