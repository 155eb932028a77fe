//! The decision on a packet and its reason.

use std::net::SocketAddrV4;

use crate::{Cookie, TargetId};

/// Why a packet is forwarded to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PlaceReason {
    /// First SYN of a flow, placed by load.
    Placed,
    /// Duplicate of a SYN, forwarded to the same target.
    Repeated,
    /// Retransmitted SYN whose target did not respond, forwarded to another one.
    Moved,
    /// The packet's cookie identifies the target.
    Cookie,
    /// The packet has no cookie; the flow table has the flow's target.
    Remembered,
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ResetReason {
    /// No route matches the destination address.
    NoRoute,
    /// The route was removed while the flow was open.
    RouteRemoved,
    /// No target of the service accepts new flows.
    NoTarget,
    /// All targets of the service that accept new flows are in evacuated failure domains.
    Evacuated,
    /// Only targets that are warming up accept new flows, and none has room.
    ColdTargets,
    /// The service is overloaded; no data was sent on the flow yet.
    Overloaded,
    /// The flow's target was removed or has died.
    TargetGone,
    /// The flow's target is unresponsive on all its flows.
    TargetSilent,
    /// The cookie stayed unknown for longer than [`crate::Config::unknown_cookie_grace`].
    UnknownTarget,
}

/// Why a packet is silently dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// The balancer has no manifest or no target list yet.
    NotReady,
    /// The cookie belongs to no target known here yet.
    UnknownCookie,
    /// The packet has no cookie and its flow is not in the flow table.
    NoCookie,
    /// A SYN that was delayed on its way; its client has already moved on.
    HeldUp,
    /// An incoming reset of a flow without a target; it is never answered by a reset.
    PointlessReset,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward it to a target.
    Forward {
        /// The target.
        target: TargetId,
        /// Its address.
        to: SocketAddrV4,
        /// Cookie to write into the packet; `None` leaves the packet unchanged.
        cookie: Option<Cookie>,
        /// Why.
        reason: PlaceReason,
    },
    /// Reset the flow towards the client.
    Reset(ResetReason),
    /// Drop it.
    Drop(DropReason),
}
