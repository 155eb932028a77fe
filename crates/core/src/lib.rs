//! The decision core: selects the target of each packet, without I/O.
//!
//! Inputs are packet headers, peer messages, platform events and ticks, each
//! with a timestamp; outputs are a [`Decision`] or a list of [`Action`]s. The
//! core has no threads, clock or random source of its own and can be shared
//! between threads.
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
mod map;
mod outbox;
mod owners;
mod packet_context;
mod record;
mod round;
mod service_view;
mod settle;
mod shares;
mod stall;
mod target_counts;
mod target_view;
mod transition;
mod view;

pub use api::{Action, Decision, DropReason, Event, FlowEvidence, ForwardReason, Peer, Via};
pub use config::CoreConfig;
pub use core::Core;
pub use explain::FlowInfo;
pub use flow_table::FlowStats;
pub use outbox::message_bytes;
