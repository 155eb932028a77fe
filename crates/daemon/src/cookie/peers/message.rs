//! Messages between balancers.
//!
//! A message is a line with a hexadecimal authentication tag, empty if no shared
//! key is configured, followed by JSON.

use std::sync::Arc;

use sequoiatrail_cookie::{Corrections, KnownRevisions, ManifestVersion, PeerInfo, Snapshot};
use sequoiatrail_types::StoreRevision;
use sequoiatrail_wire::{Key, TAG_BYTES};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Path of the peer API.
pub(super) const PATH: &str = "/v1/news";

/// Result of encoding or decoding a message.
pub(super) type Result<T, E = MessageError> = std::result::Result<T, E>;

/// Why a message can't be encoded or is rejected.
#[derive(Debug, Snafu)]
pub(super) enum MessageError {
    /// The tag line is missing or malformed.
    #[snafu(display("missing or malformed authentication tag"))]
    MissingTag,
    /// The sender uses a different key, or the message was modified in transit.
    #[snafu(display("authentication tag mismatch"))]
    TagMismatch,
    /// The JSON is malformed.
    #[snafu(display("invalid JSON: {source}"))]
    Malformed { source: serde_json::Error },
}

/// A request to a peer balancer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PeerRequest {
    /// The requesting balancer, with the address of its own peer API.
    pub from: PeerInfo,
    /// Covered by the tag of the response, to prevent replay of an old one.
    pub nonce: u64,
    /// Manifest version of the requester; 0 for none.
    pub manifest: u64,
    /// Store revision at which that manifest was written.
    #[serde(default)]
    pub manifest_at: StoreRevision,
    /// Target revision of the requester; 0 for none.
    #[serde(flatten)]
    pub revision: StoreRevision,
    /// Store revision of its evacuations; missing if it doesn't follow them.
    #[serde(default)]
    pub evacuations_at: Option<StoreRevision>,
    /// Whether to include a snapshot, since the requester can't reach the store.
    pub wants_snapshot: bool,
    /// Whether to include corrections of a restored store, since the requester started lately.
    #[serde(default)]
    pub wants_corrections: bool,
}

/// A response to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PeerResponse {
    /// Failure domain of the responder.
    pub domain: Arc<str>,
    /// Whether the responder can forward packets.
    pub serves: bool,
    /// A sample of peers that are not failing.
    pub peers: Vec<PeerInfo>,
    /// Manifest version of the responder; 0 for none, or if it does not tell.
    #[serde(default)]
    pub manifest: u64,
    /// Store revision at which that manifest was written.
    #[serde(default)]
    pub manifest_at: StoreRevision,
    /// Target revision of the responder.
    #[serde(flatten)]
    pub revision: StoreRevision,
    /// Time since the store confirmed these targets, in milliseconds.
    pub age_ms: u64,
    /// State newer than the requester's, if requested.
    pub snapshot: Option<Snapshot>,
    /// What the responder knows better than a restored store, if requested.
    #[serde(default)]
    pub corrections: Option<Corrections>,
}

impl PeerRequest {
    /// What the requester knows.
    pub fn known_revisions(&self) -> KnownRevisions {
        KnownRevisions {
            manifest: ManifestVersion {
                version: self.manifest,
                at: self.manifest_at,
            },
            targets: self.revision,
            evacuations: self.evacuations_at,
        }
    }
}

/// Encodes a message. The tag also covers `context`, which is not sent.
pub(super) fn seal(key: Option<&Key>, context: &[u8], message: &impl Serialize) -> Result<Vec<u8>> {
    let json = serde_json::to_vec(message).context(MalformedSnafu)?;
    let tag = key.map_or_else(String::new, |key| hex(&key.tag(&[context, &json])));
    let mut bytes = tag.into_bytes();
    bytes.push(b'\n');
    bytes.extend_from_slice(&json);
    Ok(bytes)
}

/// Verifies and decodes a message.
///
/// # Errors
///
/// The tag is missing or does not match, or the JSON is not a `T`.
pub(super) fn open<T: DeserializeOwned>(
    key: Option<&Key>,
    context: &[u8],
    bytes: &[u8],
) -> Result<T> {
    let end = bytes
        .iter()
        .position(|b| *b == b'\n')
        .context(MissingTagSnafu)?;
    let (tag, json) = (&bytes[..end], &bytes[end + 1..]);
    if let Some(key) = key {
        let tag = unhex(tag).context(MissingTagSnafu)?;
        ensure!(key.verify(&[context, json], &tag), TagMismatchSnafu);
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
