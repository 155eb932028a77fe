//! Numbered log events and their catalogue.
//!
//! Every line that the balancer writes is one [`Event`] with a number, a name,
//! a level and typed fields. Lines are written by a thread of their own; when
//! it cannot keep up, lines are dropped and counted, and no packet waits.

mod catalogue;
mod define;
mod log;
mod log_config;
mod render;
mod sampling;

pub use catalogue::{Event, EventKind};
pub use log::{Log, Output};
pub use log_config::{Format, LogConfig, LogLevel};
pub use render::markdown;
pub use sampling::{RateLimit, Sampler};
