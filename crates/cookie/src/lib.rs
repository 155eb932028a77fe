//! Forwarding decisions for packets that carry a flow cookie.
//!
//! The balancer writes a 32-bit cookie that identifies the target into the SYN, and
//! both ends of the flow echo it. Every later packet thus identifies its target, and
//! any balancer can forward it without per-flow state. The flow table only serves
//! load-based placement and the detection of silent targets; losing it breaks no
//! flow.
//!
//! This crate does no I/O and reads no clock: callers pass the time, and carry out
//! decisions and [`Effects`].

mod admission;
mod balancer;
mod config;
mod effects;
mod exchange;
mod liveness;
mod packets;
mod peers;
mod placement;
mod targets;

pub use admission::overload::OverloadChange;
pub use admission::overload_config::OverloadConfig;
pub use balancer::Balancer;
pub use config::Config;
pub use effects::{Effects, FlowReset, ProbeRequest, Suspicion};
pub use exchange::domain_load::{DomainLoad, NeighborLoad, ServiceTotals};
pub use exchange::load::Load;
pub use exchange::load_message::{LoadMessage, LoadMessageError};
pub use exchange::load_report::{LoadReport, PriorityDemand, ServiceLoadReport, TargetLoadReport};
pub use exchange::load_rotation::{LoadRotation, LoadRotationConfig};
pub use liveness::evidence::{EvidenceConfig, ProbeOutcome};
pub use liveness::health::{Health, HealthConfig};
pub use liveness::reports::SuspectReport;
pub use packets::decision::{Decision, DropReason, PlaceReason, ResetReason};
pub use packets::flows::FlowTable;
pub use packets::manifest::{Manifest, Route, ServiceLimits, Share};
pub use packets::routes::{ManifestOutcome, ManifestVersion, Routes};
pub use packets::segment::{Cookie, Flags, FlowId, Segment};
pub use peers::{PeerChange, PeerInfo, Peers, PeersConfig};
pub use placement::pace::Paces;
pub use placement::place::{Candidate, PlacementConfig, choose};
pub use placement::warmup::{WarmupConfig, WarmupQuota};
pub use targets::corrections::Corrections;
pub use targets::directory::{Directory, TargetChange, TargetKey};
pub use targets::era::{EraOrder, EraTracker};
pub use targets::evacuations::{EvacuationChange, EvacuationEvent, EvacuationList, Evacuations};
pub use targets::presence::{TargetEvent, TargetState};
pub use targets::registrations::{Registration, RegistrationOutcome};
pub use targets::snapshot::{KnownRevisions, Snapshot, SnapshotError, SnapshotOutcome};
pub use targets::target::{Lifecycle, TargetEntry, TargetId};
