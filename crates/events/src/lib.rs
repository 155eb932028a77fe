//! Numbered log events and their catalogue.
//!
//! Every log line of the balancer is one [`Event`] with a number, a name, a
//! level and typed fields. A dedicated thread writes the lines; when it cannot
//! keep up, lines are dropped and counted instead of delaying packets.

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
