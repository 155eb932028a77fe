//! Settings errors; each names the file.

use std::path::PathBuf;

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error while loading settings. No part of invalid settings is applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", file.display()))]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The file is not valid TOML.
    #[snafu(display("{}: invalid TOML: {source}", file.display()))]
    Syntax {
        /// Path of the file.
        file: PathBuf,
        /// Parse error with its position.
        source: Box<toml::de::Error>,
    },
    /// The value of a key is not allowed.
    #[snafu(display("{}: {key} = {value} is not allowed; allowed: {allowed}", file.display()))]
    Value {
        /// Path of the file.
        file: PathBuf,
        /// Key, including its section.
        key: String,
        /// Rejected value.
        value: String,
        /// Allowed values.
        allowed: String,
    },
}
