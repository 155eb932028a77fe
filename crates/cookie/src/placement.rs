//! Which target a new flow goes to.
//!
//! Load: flows that are long or short, and targets and failure domains that differ in
//! room. Reads the own load of each target, what other balancers report, the paces of
//! targets, their warm-up, and the evidence against them.

pub(crate) mod cross_domain_share;
pub(crate) mod neighbor_cost;
pub(crate) mod pace;
pub(crate) mod place;
pub(crate) mod place_flow;
pub(crate) mod warmup;
