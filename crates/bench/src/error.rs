//! Errors of the bench.

use std::path::PathBuf;

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why a run failed or its result could not be written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The schedule is not valid TOML of the expected form.
    #[snafu(display("schedule: {source}"))]
    Toml {
        /// The parser's error.
        source: toml::de::Error,
    },
    /// The schedule or an option is invalid.
    #[snafu(display("schedule: {reason}"))]
    Schedule {
        /// What is wrong.
        reason: String,
    },
    /// An edit of the schedule does not give a valid table.
    #[snafu(display("edit: {source}"))]
    Table {
        /// The table's error.
        source: sequoiatrail_table::Error,
    },
    /// A result is not valid JSON of the expected form.
    #[snafu(display("result: {source}"))]
    Json {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The plot cannot be drawn.
    #[snafu(display("plot: {reason}"))]
    Plot {
        /// The drawing library's error.
        reason: String,
    },
}
