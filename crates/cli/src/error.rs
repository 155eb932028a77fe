//! Errors of the tool, each with its exit code.

use sequoiatrail_admin::EditReply;
use sequoiatrail_types::RefusalReason;
use snafu::Snafu;

use crate::Exit;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The arguments are invalid.
    #[snafu(display("{reason}"))]
    Usage {
        /// What is invalid and what is allowed.
        reason: String,
    },
    /// A file can't be read or written.
    #[snafu(display("file {path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A file does not hold a valid table.
    #[snafu(display("file {path}: {source}"))]
    Table {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: sequoiatrail_table::Error,
    },
    /// The connection could not be established, so nothing was sent.
    #[snafu(display("the balancer at {admin} can't be reached: {reason}"))]
    Unreachable {
        /// Address of the API.
        admin: String,
        /// Error of the transport.
        reason: String,
    },
    /// The request was sent but no complete response was received.
    #[snafu(display("no response from the balancer at {admin}: {reason}"))]
    NoResponse {
        /// Address of the API.
        admin: String,
        /// Error of the transport.
        reason: String,
        /// Whether the request changes state.
        changes: bool,
    },
    /// The API rejected the request or does not know its outcome.
    #[snafu(display("{}", describe(answer)))]
    Rejected {
        /// Response of the API.
        answer: Box<EditReply>,
    },
    /// The output could not be written.
    #[snafu(context(false), display("output: {source}"))]
    Output {
        /// What went wrong.
        source: std::io::Error,
    },
}

impl Error {
    /// Exit code for this error.
    pub fn exit_code(&self) -> Exit {
        match self {
            Error::Usage { .. } | Error::File { .. } | Error::Table { .. } => Exit::Usage,
            Error::Unreachable { .. } | Error::NoResponse { changes: false, .. } => {
                Exit::Unreachable
            }
            Error::NoResponse { changes: true, .. } | Error::Output { .. } => Exit::Unknown,
            Error::Rejected { answer } => exit_code_of(answer),
        }
    }
}

fn exit_code_of(answer: &EditReply) -> Exit {
    match answer {
        EditReply::Accepted { .. } => Exit::Done,
        EditReply::Unknown { .. } => Exit::Unknown,
        EditReply::NotRun { reason, .. } => match reason {
            RefusalReason::Conflict => Exit::Conflict,
            RefusalReason::Forbidden => Exit::Forbidden,
            _ => Exit::NotRun,
        },
    }
}

fn describe(answer: &EditReply) -> String {
    let text = match answer {
        EditReply::Accepted { version, .. } => format!("accepted as version {version}"),
        EditReply::NotRun {
            reason, message, ..
        } => format!("not run ({reason}): {message}"),
        EditReply::Unknown { edit, message, .. } => {
            format!(
                "outcome unknown: {message}; retry with --edit-id {}",
                edit.0
            )
        }
    };
    match answer.come_back_s() {
        Some(seconds) => format!("{text}; retry after {seconds} s"),
        None => text,
    }
}
