//! Actions and events that the failure detector returns to its caller.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiatrail_types::{NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::Membership as Message;

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a control address.
    Send {
        /// Control address of the recipient.
        to: SocketAddr,
        /// The message to encode and send.
        message: Message,
    },
    /// Report a membership change.
    Event(Event),
}

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Event {
    /// A balancer became a member.
    Joined(NodeId),
    /// A member did not reply to probes; it still counts as running.
    Suspected(NodeId),
    /// A suspected member refuted the suspicion.
    Refuted(NodeId),
    /// A member was declared dead.
    Died(NodeId),
    /// A member announced that it leaves.
    Left(NodeId),
    /// The address, readiness or direct reachability of a member changed.
    Changed(NodeId),
    /// A member prepared a plan.
    Prepared {
        /// The member.
        node: NodeId,
        /// The plan's service.
        service: ServiceId,
        /// The plan.
        version: PlanVersion,
    },
    /// A member announced a newer table.
    Table {
        /// The member.
        node: NodeId,
        /// The table.
        version: TableVersion,
    },
    /// This balancer was suspected and raised its incarnation to refute that.
    RefutedSelf {
        /// The new incarnation.
        incarnation: u32,
    },
    /// This balancer was declared dead and raised its incarnation. Other members have
    /// discarded its state.
    Resurrected {
        /// The new incarnation.
        incarnation: u32,
    },
    /// This process was paused; its view of the members may be stale.
    Woke {
        /// Duration of the pause.
        pause: Duration,
    },
}
