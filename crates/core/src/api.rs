//! What goes into the core and what comes out of it.

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
    /// From the fabric.
    Fabric,
    /// Relayed by another balancer.
    Peer {
        /// The balancer that sent it here.
        from: NodeId,
        /// What it asks for.
        header: RelayHeader,
    },
}

/// What to do with a packet. Exactly one thing is done with each packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Encapsulate it towards a target, once.
    Forward {
        /// The target.
        target: TargetId,
        /// Its tunnel end.
        to: SocketAddr,
        /// Why this target.
        reason: ForwardReason,
    },
    /// Send it to another balancer, as data.
    Relay {
        /// The balancer.
        to: NodeId,
        /// What goes with the packet.
        header: RelayHeader,
    },
    /// Answer the caller by the usual protocol answer; no data was passed on.
    Refuse(RefusalReason),
    /// Reset the caller's side of a flow that makes no progress; it may have run.
    Reset,
    /// Say nothing and count it.
    Drop(DropReason),
}

impl Decision {
    /// What may be said of the request that the packet belongs to.
    pub fn verdict(&self) -> Verdict {
        match self {
            Decision::Forward { .. } => Verdict::Done,
            Decision::Refuse(reason) => Verdict::NotRun(*reason),
            Decision::Relay { .. } | Decision::Reset | Decision::Drop(_) => Verdict::MayHaveRun,
        }
    }
}

/// Why a packet goes to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum ForwardReason {
    /// The flow is known here.
    Known,
    /// The flow is new and follows the plan.
    Plan,
    /// The flow is unknown and its bucket is settled: the plan's target.
    Settled,
    /// The flow's bucket is in transition and the flow is older than it.
    Baseline,
    /// Its owner decided and this balancer is the backup.
    Backup,
    /// A filter of flows off the plan holds it.
    Filter,
    /// The flow is new and its plan's target is dead, stopped or full.
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
    /// Relayed too often.
    TooManyHops,
    /// Opens a flow that was refused just before.
    NoTarget,
}

/// A live balancer, as membership sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The balancer.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether it can own flows.
    pub ready: bool,
    /// Newest plan that it has prepared, per service.
    pub prepared: Vec<(ServiceId, PlanVersion)>,
}

/// An input other than a packet.
#[derive(Clone, Debug)]
pub enum Event {
    /// A table; ignored unless newer than the present one.
    Table(Arc<Table>),
    /// A plan of one service; ignored unless newer than the present one.
    Plan(Arc<Plan>),
    /// The live balancers, this one included.
    Peers(Vec<Peer>),
    /// A message of another balancer, other than a relayed packet.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: FlowMessage,
    },
    /// The balancers agreed that a target is dead: its new flows go to the
    /// next target at once, without a plan.
    TargetDown {
        /// The target.
        target: TargetId,
        /// When it was agreed, by this balancer's clock.
        agreed_at: Duration,
    },
    /// A dead target lives again.
    TargetUp {
        /// The target.
        target: TargetId,
    },
    /// What another balancer counts; replaces its counts before.
    Shares {
        /// The balancer.
        from: NodeId,
        /// Its counts, one for each target.
        shares: Vec<Share>,
    },
}

/// An output other than a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another balancer, as control traffic.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: FlowMessage,
    },
    /// Tell the peers soon that this plan is prepared here.
    Prepared {
        /// The service.
        service: ServiceId,
        /// The plan.
        plan: PlanVersion,
    },
}

/// What new flows of a target showed at this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowEvidence {
    /// The target.
    pub target: TargetId,
    /// New flows that were answered at once.
    pub answered: u32,
    /// First packets that were repeated because they were not answered.
    pub retransmitted: u32,
}
