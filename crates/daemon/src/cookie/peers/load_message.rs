//! Datagrams with load reports.
//!
//! A datagram is a kind and a version, one byte each, an authentication tag unless no
//! shared key is configured, and the encoded report.
//!
//! Reports of suspect targets arrive at the same socket. They begin with a hexadecimal
//! digit or a line feed, never with [`KIND`]. Builds that don't know load reports take
//! one for a report of suspect targets with a wrong tag and ignore it.

use sequoiatrail_cookie::{LoadMessage, LoadMessageError};
use sequoiatrail_wire::{Key, TAG_BYTES};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// First byte of a datagram with a load report.
pub(super) const KIND: u8 = b'L';
/// Version of the encoding.
const VERSION: u8 = 1;
/// Part of each authentication tag, so that no other message passes as a load report.
const CONTEXT: &[u8] = b"load report";

/// Result of opening a datagram.
pub(super) type Result<T, E = OpenError> = std::result::Result<T, E>;

/// Why a datagram is rejected.
#[derive(Debug, Snafu)]
pub(super) enum OpenError {
    /// The sender runs another build.
    #[snafu(display("unknown version of load reports"))]
    UnknownVersion,
    /// The datagram ends before the report.
    #[snafu(display("truncated datagram with a load report"))]
    Truncated,
    /// The sender uses a different key, or the datagram was modified in transit.
    #[snafu(display("authentication tag mismatch"))]
    TagMismatch,
    /// The report can't be decoded.
    #[snafu(display("{source}"))]
    Malformed { source: LoadMessageError },
}

/// Encodes a datagram of at most `max_bytes`.
pub(super) fn seal(key: Option<&Key>, message: &LoadMessage, max_bytes: usize) -> Vec<u8> {
    let tag_bytes = key.map_or(0, |_| TAG_BYTES);
    let body = message.encode(max_bytes - 2 - tag_bytes);
    let mut datagram = vec![KIND, VERSION];
    if let Some(key) = key {
        datagram.extend(key.tag(&[CONTEXT, &[VERSION], &body]));
    }
    datagram.extend(body);
    datagram
}

/// Verifies and decodes a datagram.
///
/// # Errors
///
/// The version is unknown, the tag does not match, or the report is malformed.
pub(super) fn open(key: Option<&Key>, datagram: &[u8]) -> Result<LoadMessage> {
    let (head, mut body) = datagram.split_at_checked(2).context(TruncatedSnafu)?;
    ensure!(head[1] == VERSION, UnknownVersionSnafu);
    if let Some(key) = key {
        let (tag, rest) = body.split_at_checked(TAG_BYTES).context(TruncatedSnafu)?;
        let authentic = key.verify(&[CONTEXT, &[VERSION], rest], tag);
        ensure!(authentic, TagMismatchSnafu);
        body = rest;
    }
    LoadMessage::decode(body).context(MalformedSnafu)
}
