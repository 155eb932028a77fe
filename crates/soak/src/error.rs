//! Errors of the soak.

use std::path::PathBuf;

use snafu::Snafu;

/// Result of this program.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why a run could not be set up; an invariant violation is not an error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// An option is not a number.
    #[snafu(display("--{name} {text}: not a number"))]
    Option {
        /// The option.
        name: String,
        /// Its value.
        text: String,
    },
    /// A file or directory can't be written.
    #[snafu(display("{}: {source}", file.display()))]
    File {
        /// The file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A balancer can't be started.
    #[snafu(display("{}: {source}", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A socket can't be opened.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// Cause.
        source: std::io::Error,
    },
    /// The store can't be started.
    #[snafu(display("store: {reason}"))]
    Store {
        /// Cause.
        reason: String,
    },
    /// The balancers never became ready before the first step.
    #[snafu(display("only {ready} of {all} balancers became ready; logs in {}", logs.display()))]
    NeverReady {
        /// Number of ready balancers.
        ready: usize,
        /// Number of balancers.
        all: usize,
        /// Directory of their logs.
        logs: PathBuf,
    },
}
