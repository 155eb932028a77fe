//! What is done with a packet, and why.

use std::net::SocketAddrV4;

use crate::{Cookie, TargetId};

/// Why a packet goes to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PlaceReason {
    /// First packet of a flow, placed by load.
    Placed,
    /// Copy of a first packet, sent to the same target again.
    Repeated,
    /// Copy of a first packet whose target did not answer, sent to another one.
    Moved,
    /// The packet's cookie names the target.
    Cookie,
    /// The packet has no cookie; the balancer remembers the flow's target.
    Remembered,
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ResetReason {
    /// There is no such route.
    NoRoute,
    /// The route was removed while the flow was open.
    RouteRemoved,
    /// No target of the service takes new flows.
    NoTarget,
    /// The targets of the service can't keep up; nothing was sent on the flow.
    Overloaded,
    /// The flow's target has left or died.
    TargetGone,
    /// The flow's target has been silent on all its flows.
    TargetSilent,
    /// The cookie names no target of a directory that is known to be current.
    UnknownTarget,
}

/// Why a packet is dropped without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// The balancer has no manifest or no targets yet.
    NotReady,
    /// The cookie names no target that is known here, so far.
    UnknownCookie,
    /// The packet has no cookie and its flow is not remembered.
    NoCookie,
    /// An opening packet that was held up on its way; its caller has gone on.
    HeldUp,
    /// A reset of a flow that has no target.
    PointlessReset,
}

/// What is done with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to a target.
    Forward {
        /// The target.
        target: TargetId,
        /// Its address.
        to: SocketAddrV4,
        /// Cookie to write into the packet; `None` leaves it as it is.
        cookie: Option<Cookie>,
        /// Why.
        reason: PlaceReason,
    },
    /// End the flow for its caller.
    Reset(ResetReason),
    /// Do nothing.
    Drop(DropReason),
}
