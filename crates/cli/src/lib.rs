//! The operators' command-line tool, as a library so that tests can call it.

mod api;
mod commands;
mod environment;
mod error;
mod exit;
mod options;
mod render;
mod run;
mod usage;

pub use environment::Environment;
pub use error::{Error, Result};
pub use exit::Exit;
pub use run::run;
