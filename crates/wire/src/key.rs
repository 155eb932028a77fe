//! Message authentication with the key shared by all balancers.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::Result;
use crate::error::ShortKeySnafu;

/// Length of an authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Minimum length of the key material, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// An authentication tag: HMAC-SHA-256, truncated to [`TAG_BYTES`].
pub type Tag = [u8; TAG_BYTES];

/// The key shared by all balancers. Its `Debug` output does not reveal it.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Creates a key from the bytes of the settings.
    ///
    /// # Errors
    ///
    /// [`Error::ShortKey`](crate::Error::ShortKey) if there are fewer than 16 bytes.
    pub fn new(material: &[u8]) -> Result<Self> {
        if material.len() < MIN_KEY_BYTES {
            return ShortKeySnafu {
                len: material.len(),
                min: MIN_KEY_BYTES,
            }
            .fail();
        }
        let mac = Hmac::new_from_slice(material).expect("HMAC takes a key of any length");
        Ok(Self { mac })
    }

    /// Computes the tag of the concatenation of `parts`.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let digest = self.digest(parts).finalize().into_bytes();
        let mut tag = Tag::default();
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    /// Checks whether `tag` is the tag of `parts`, in constant time.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        if tag.len() != TAG_BYTES {
            return false;
        }
        self.digest(parts).verify_truncated_left(tag).is_ok()
    }

    fn digest(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }
}
