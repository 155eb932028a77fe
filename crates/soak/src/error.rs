//! Why a run could not be made.

use std::path::PathBuf;

use snafu::Snafu;

/// Result of this program.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a run could not be made; it says nothing about promises.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// An option is no number.
    #[snafu(display("--{name} {text}: not a number"))]
    Option {
        /// The option.
        name: String,
        /// What was given.
        text: String,
    },
    /// A file or folder can't be written.
    #[snafu(display("{}: {source}", file.display()))]
    File {
        /// The file.
        file: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A balancer can't be started.
    #[snafu(display("{}: {source}", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A socket can't be opened.
    #[snafu(display("socket: {source}"))]
    Socket {
        /// Why not.
        source: std::io::Error,
    },
    /// The store can't be started.
    #[snafu(display("store: {reason}"))]
    Store {
        /// Why not.
        reason: String,
    },
    /// The balancers never became ready before the first step.
    #[snafu(display("only {ready} of {all} balancers became ready; logs in {}", logs.display()))]
    NeverReady {
        /// Ready ones.
        ready: usize,
        /// All.
        all: usize,
        /// Where their logs are.
        logs: PathBuf,
    },
}
