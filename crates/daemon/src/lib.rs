//! The load balancer daemon of one VM.
//!
//! [`Daemon::start`] runs a balancer on several threads: receiving threads handle
//! packets according to the decisions of the core, the control thread processes
//! updates and computes plans, one thread follows the platform and one writes to
//! it. Several daemons can run in one process. The `sequoiatraild` binary is its
//! command line.

mod admin_link;
mod batch;
mod control;
mod control_messages;
pub mod cookie;
mod counters;
mod daemon;
mod egress;
mod error;
mod fetch;
mod forward;
mod joining;
mod metrics;
mod peer_link;
mod platform_link;
mod probe;
mod receive;
mod shared_state;
mod stop;
mod targets;

pub use counters::{Count, CounterSet, Counters};
pub use daemon::{Daemon, StopReport};
pub use error::{Error, Result};
pub use stop::StopFlag;
