//! Identifiers, versions, verdicts and the clock shared by all crates.
//!
//! This crate does no I/O; only [`SystemClock`] accesses the operating system.

mod clock;
mod flow;
mod flow_hash_builder;
mod ids;
mod store_revision;
mod verdict;

pub use clock::{Clock, ManualClock, SystemClock};
pub use flow::{FlowHash, FlowHasher, FlowKey, HashSeed, Protocol};
pub use flow_hash_builder::{FlowHashBuilder, FlowHashHasher};
pub use ids::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion, TargetId};
pub use store_revision::{Era, StoreRevision};
pub use verdict::{RefusalReason, Verdict};
