//! Simulates several decision cores behind a network fabric and measures them.
//!
//! The clock is simulated: a run depends only on its schedule and seed, except for
//! the decision times, which are measured on the real clock.

mod balancer;
mod compare;
mod error;
mod faults;
mod flows;
mod gossip;
mod links;
mod measure;
mod packets;
mod platform;
mod plot;
mod queue;
mod sampling;
pub mod schedule;
mod simulation;

pub use compare::compare;
pub use error::{Error, Result};
pub use measure::{BreakCause, Report, Sample};
pub use plot::plot;
pub use schedule::Schedule;
pub use simulation::{RunOptions, run};
