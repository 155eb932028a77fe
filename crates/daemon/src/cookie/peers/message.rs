//! Questions and answers between balancers.
//!
//! A message is a line with its authentication tag in hexadecimal, empty where
//! the balancers share no key, and JSON after it.

use std::sync::Arc;

use sequoiatrail_cookie::{PeerInfo, Snapshot};
use sequoiatrail_wire::{Key, TAG_BYTES};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Path that questions are sent to.
pub(super) const PATH: &str = "/v1/news";

/// Result of reading a message.
pub(super) type Result<T, E = MessageError> = std::result::Result<T, E>;

/// Why a message is not taken.
#[derive(Debug, Snafu)]
pub(super) enum MessageError {
    /// It has no line with a tag.
    #[snafu(display("no line with a tag"))]
    NoTag,
    /// Its sender has another key, or it was changed on the way.
    #[snafu(display("the tag does not fit"))]
    WrongTag,
    /// It is not of this form.
    #[snafu(display("{source}"))]
    Malformed { source: serde_json::Error },
}

/// What a balancer asks another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Question {
    /// The asking balancer, by where it takes questions itself.
    pub from: PeerInfo,
    /// Number that the answer's tag covers, so that an old answer is not taken.
    pub nonce: u64,
    /// Version of its manifest; 0 for none.
    pub manifest: u64,
    /// Revision of its targets; 0 for none.
    pub revision: u64,
    /// Whether it wants a snapshot, as the store does not answer it.
    pub wants_snapshot: bool,
}

/// What a balancer answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Answer {
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it could take packets.
    pub serves: bool,
    /// Some others that answered it.
    pub peers: Vec<PeerInfo>,
    /// Revision of its targets.
    pub revision: u64,
    /// Time since the store confirmed its targets, in milliseconds.
    pub age_ms: u64,
    /// What is newer than what the asking balancer knows, if it wants it.
    pub snapshot: Option<Snapshot>,
}

/// Writes a message; `context` is covered by its tag and not sent.
pub(super) fn seal(key: Option<&Key>, context: &[u8], message: &impl Serialize) -> Result<Vec<u8>> {
    let json = serde_json::to_vec(message).context(MalformedSnafu)?;
    let tag = key.map_or_else(String::new, |key| hex(&key.tag(&[context, &json])));
    let mut bytes = tag.into_bytes();
    bytes.push(b'\n');
    bytes.extend_from_slice(&json);
    Ok(bytes)
}

/// Reads a message.
///
/// # Errors
///
/// The tag is missing or does not fit, or the rest is no message of this kind.
pub(super) fn open<T: DeserializeOwned>(
    key: Option<&Key>,
    context: &[u8],
    bytes: &[u8],
) -> Result<T> {
    let end = bytes.iter().position(|b| *b == b'\n').context(NoTagSnafu)?;
    let (tag, json) = (&bytes[..end], &bytes[end + 1..]);
    if let Some(key) = key {
        let tag = unhex(tag).context(NoTagSnafu)?;
        ensure!(key.verify(&[context, json], &tag), WrongTagSnafu);
    }
    serde_json::from_slice(json).context(MalformedSnafu)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &[u8]) -> Option<Vec<u8>> {
    if text.len() != 2 * TAG_BYTES {
        return None;
    }
    let text = std::str::from_utf8(text).ok()?;
    let pairs = (0..TAG_BYTES).map(|n| u8::from_str_radix(text.get(2 * n..2 * n + 2)?, 16).ok());
    pairs.collect()
}
