//! Tokens and what they allow.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::error::{DuplicateSecretSnafu, ShortSecretSnafu};
use crate::{Error, Result};

/// Shortest secret of a token, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// What a token allows.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// To read.
    #[default]
    Read,
    /// To read and to edit.
    Edit,
}

/// A token as the settings give it.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Token {
    /// Name for the log; not secret.
    pub name: String,
    /// What it allows.
    #[serde(default)]
    pub role: Role,
    /// Owners whose services it may edit; empty means all services.
    #[serde(default)]
    pub owners: Vec<String>,
    /// The secret that a request carries; 16 bytes or more.
    pub secret: String,
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Token")
            .field("name", &self.name)
            .field("role", &self.role)
            .field("owners", &self.owners)
            .finish_non_exhaustive()
    }
}

/// What the holder of a token may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Access {
    /// Name of the token.
    pub name: String,
    /// What it allows.
    pub role: Role,
    /// Owners whose services it may edit; empty means all services.
    pub owners: Vec<String>,
}

impl Access {
    /// Whether it allows to edit.
    pub fn may_edit(&self) -> bool {
        self.role == Role::Edit
    }

    /// Whether it allows to edit services of any owner.
    pub fn may_edit_all(&self) -> bool {
        self.may_edit() && self.owners.is_empty()
    }

    /// Whether it allows to edit services of this owner.
    pub fn may_edit_owner(&self, owner: &str) -> bool {
        self.may_edit() && (self.owners.is_empty() || self.owners.iter().any(|o| o == owner))
    }
}

/// The tokens, ready to compare without telling by time how much was right.
#[derive(Debug)]
pub(crate) struct Tokens {
    /// Digests, so that the comparison takes the same time for all lengths.
    known: Vec<([u8; 32], Access)>,
}

impl Tokens {
    pub(crate) fn new(tokens: &[Token]) -> Result<Tokens> {
        let mut known: Vec<([u8; 32], Access)> = Vec::new();
        for token in tokens {
            let bytes = token.secret.len();
            if bytes < MIN_SECRET_BYTES {
                let name = &token.name;
                return ShortSecretSnafu { name, bytes }.fail();
            }
            let digest = digest(&token.secret);
            if let Some((_, same)) = known.iter().find(|(d, _)| *d == digest) {
                return Err::<_, Error>(
                    DuplicateSecretSnafu {
                        first: &same.name,
                        second: &token.name,
                    }
                    .build(),
                );
            }
            let access = Access {
                name: token.name.clone(),
                role: token.role,
                owners: token.owners.clone(),
            };
            known.push((digest, access));
        }
        Ok(Tokens { known })
    }

    /// What a secret allows. Looks at every token whatever matches.
    pub(crate) fn find(&self, secret: &str) -> Option<&Access> {
        let digest = digest(secret);
        let mut found = None;
        for (known, access) in &self.known {
            if bool::from(known.ct_eq(&digest)) {
                found = Some(access);
            }
        }
        found
    }
}

fn digest(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}
