//! The decision core: which target a packet goes to, without I/O.
//!
//! Inputs are a packet's facts, a peer's message, a platform event or a tick,
//! each with the time; outputs are a [`Decision`] or [`Action`]s. The core has
//! no threads, clock or random source of its own; it may be shared by threads.
//!
//! The design is in `docs/design/flow-consistency.md`.

mod api;
mod config;
mod core;
mod counting;
mod decide;
mod decide_unknown;
mod explain;
mod flow_set;
mod flow_table;
mod handover;
mod join;
mod known_flows;
mod limits;
mod map;
mod outbox;
mod owners;
mod question;
mod record;
mod round;
mod service_view;
mod settle;
mod shares;
mod silence;
mod target_view;
mod transition;
mod view;

pub use api::{Action, Decision, DropReason, Event, FlowEvidence, ForwardReason, Peer, Via};
pub use config::CoreConfig;
pub use core::Core;
pub use explain::FlowInfo;
pub use flow_table::FlowStats;
pub use outbox::message_bytes;
