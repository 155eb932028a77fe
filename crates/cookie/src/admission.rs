//! Whether a new flow is accepted at all.
//!
//! Load: more requests than the targets of a service can process, for a moment or for
//! long. Three deciders, by what is known: a budget of requests where flows stay open
//! (`overload/budget.rs`), the room at all targets where the load of all balancers is known
//! (`overload/room.rs`), and a limit on the own requests in flight otherwise
//! (`overload/in_flight_limit.rs`). `admit_flow.rs` gathers what they decide from.

pub(crate) mod admit_flow;
pub(crate) mod overload;
pub(crate) mod overload_config;
