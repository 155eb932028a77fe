//! Decisions of the data path whose packets carry a flow cookie.
//!
//! Both ends of a flow hand back 32 bits that the balancer wrote into the
//! opening packet. The balancer writes the target's cookie there, so that every
//! later packet names its target and any balancer can forward it without state
//! about the flow. What is kept about flows here only serves placement and the
//! detection of silent targets; losing it breaks nothing.
//!
//! Nothing here does I/O; the time is an argument everywhere.

mod attempts;
mod balancer;
mod config;
mod decide;
mod decision;
mod directory;
mod effects;
mod flows;
mod health;
mod load;
mod manifest;
mod observe;
mod overload;
mod peers;
mod place;
mod routes;
mod segment;
mod silence;
mod snapshot;
mod target;
mod unknown;

pub use balancer::Balancer;
pub use config::Config;
pub use decision::{Decision, DropReason, PlaceReason, ResetReason};
pub use directory::{Directory, TargetChange, TargetEvent, TargetKey};
pub use effects::{Effects, FlowReset, ProbeRequest, Suspicion};
pub use flows::FlowTable;
pub use health::{Health, HealthConfig};
pub use load::Load;
pub use manifest::{Manifest, Route, Share};
pub use overload::{OverloadChange, OverloadConfig};
pub use peers::{PeerChange, PeerInfo, Peers, PeersConfig};
pub use place::{Candidate, PlacementConfig, choose};
pub use routes::{ManifestOutcome, Routes};
pub use segment::{Cookie, Flags, FlowId, Segment};
pub use snapshot::{Snapshot, SnapshotError, SnapshotOutcome};
pub use target::{Lifecycle, TargetEntry, TargetId};
