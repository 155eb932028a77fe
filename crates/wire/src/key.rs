//! The key that all balancers share.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::Result;
use crate::error::ShortKeySnafu;

/// Bytes of an authentication tag.
pub const TAG_BYTES: usize = 16;

/// Fewest bytes of key material that are accepted.
const MIN_KEY_BYTES: usize = 16;

/// An authentication tag.
pub type Tag = [u8; TAG_BYTES];

/// The key that all balancers share, from their settings.
///
/// It is never printed; its `Debug` form hides it.
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
    /// A key from the bytes of the settings.
    ///
    /// # Errors
    ///
    /// Fewer than 16 bytes.
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

    /// The tag of `parts`, as if they were one string of bytes.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let digest = self.digest(parts).finalize().into_bytes();
        let mut tag = Tag::default();
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the tag of `parts`, in a time that does not depend on where they differ.
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
