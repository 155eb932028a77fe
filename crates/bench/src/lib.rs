//! Drives several decision cores over a fake fabric and measures them.
//!
//! Time is passed in: a run depends on its schedule and seed alone, but for the
//! time that decisions take, which is measured on the real clock.

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
mod world;

pub use compare::compare;
pub use error::{Error, Result};
pub use measure::{BreakCause, Report, Sample};
pub use plot::plot;
pub use schedule::Schedule;
pub use world::{RunOptions, run};
