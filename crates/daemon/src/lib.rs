//! The balancer daemon of one VM.
//!
//! [`Daemon::start`] runs a balancer on a few threads: some receive packets and
//! act on the decisions of the core, one takes in news and makes plans, one
//! follows the platform and one writes to it. Several daemons can run in one
//! process. The program `sequoiatraild` is a command line around it.

mod admin_link;
mod batch;
mod board;
mod control;
pub mod cookie;
mod counters;
mod daemon;
mod error;
mod fetch;
mod forward;
mod joining;
mod metrics;
mod outlet;
mod peer_link;
mod platform_link;
mod probe;
mod receive;
mod stop;
mod targets;

pub use counters::{Count, CounterSet, Counters};
pub use daemon::{Daemon, StopReport};
pub use error::{Error, Result};
pub use stop::StopFlag;
