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

mod admit_flow;
mod attempts;
mod balancer;
mod config;
mod cross_domain_share;
mod decide;
mod decision;
mod departures;
mod directory;
mod domain_load;
mod effects;
mod era;
mod evacuations;
mod evidence;
mod flows;
mod health;
mod list_revision;
mod load;
mod load_exchange;
mod load_message;
mod load_rates;
mod load_report;
mod load_rotation;
mod manifest;
mod neighbor_cost;
mod observe;
mod overload;
mod overload_config;
mod pace;
mod peers;
mod place;
mod place_flow;
mod presence;
mod reports;
mod routes;
mod segment;
mod silence;
mod snapshot;
mod target;
mod unknown;
mod warmup;

pub use balancer::Balancer;
pub use config::Config;
pub use decision::{Decision, DropReason, PlaceReason, ResetReason};
pub use departures::Departures;
pub use directory::{Directory, TargetChange, TargetKey};
pub use domain_load::{DomainLoad, NeighborLoad, ServiceTotals};
pub use effects::{Effects, FlowReset, ProbeRequest, Suspicion};
pub use era::{EraOrder, EraTracker};
pub use evacuations::{EvacuationChange, EvacuationEvent, EvacuationList, Evacuations};
pub use evidence::{EvidenceConfig, ProbeOutcome};
pub use flows::FlowTable;
pub use health::{Health, HealthConfig};
pub use load::Load;
pub use load_message::{LoadMessage, LoadMessageError};
pub use load_report::{LoadReport, PriorityDemand, ServiceLoadReport, TargetLoadReport};
pub use load_rotation::{LoadRotation, LoadRotationConfig};
pub use manifest::{Manifest, Route, ServiceLimits, Share};
pub use overload::OverloadChange;
pub use overload_config::OverloadConfig;
pub use pace::Paces;
pub use peers::{PeerChange, PeerInfo, Peers, PeersConfig};
pub use place::{Candidate, PlacementConfig, choose};
pub use presence::TargetEvent;
pub use routes::{ManifestOutcome, ManifestVersion, Routes};
pub use segment::{Cookie, Flags, FlowId, Segment};
pub use snapshot::{KnownRevisions, Snapshot, SnapshotError, SnapshotOutcome};
pub use target::{Lifecycle, TargetEntry, TargetId};
pub use warmup::{WarmupConfig, WarmupQuota};
