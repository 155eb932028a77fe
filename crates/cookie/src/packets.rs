//! A packet comes in: which flow it belongs to, and where it goes.
//!
//! Load: every packet of every flow, from whichever balancer the routers choose. Reads
//! the manifest in force, the flow table, the cookie and the directory of targets;
//! placement and admission decide only on the first SYN of a flow.

pub(crate) mod decide;
pub(crate) mod decision;
pub(crate) mod flows;
pub(crate) mod lost;
pub(crate) mod manifest;
pub(crate) mod routes;
pub(crate) mod segment;
pub(crate) mod unknown;
