//! Exit codes of the tool, for use in scripts.

/// Exit code of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::EnumMessage)]
#[repr(u8)]
pub enum Exit {
    /// Success; an edit was accepted.
    #[strum(message = "done; an edit was accepted")]
    Done = 0,
    /// The arguments or a local file are invalid; nothing was sent.
    #[strum(message = "invalid arguments or file; nothing was sent")]
    Usage = 2,
    /// Rejected; the request was certainly not run.
    #[strum(message = "rejected, certainly not run")]
    NotRun = 3,
    /// The outcome is unknown; the edit may have run.
    #[strum(message = "outcome unknown; retry with the printed --edit-id")]
    Unknown = 4,
    /// The table was changed concurrently; nothing was run.
    #[strum(message = "the table was changed concurrently, not run")]
    Conflict = 5,
    /// The balancer could not be reached; nothing was run.
    #[strum(message = "the balancer could not be reached, not run")]
    Unreachable = 6,
    /// The token does not permit the request; nothing was run.
    #[strum(message = "the token does not permit the request, not run")]
    Forbidden = 7,
}
