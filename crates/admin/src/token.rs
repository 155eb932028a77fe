//! Access tokens and their permissions.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::error::{DuplicateSecretSnafu, ShortSecretSnafu};
use crate::{Error, Result};

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Permission level of a token.
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
    /// Read access.
    #[default]
    Read,
    /// Read and edit access.
    Edit,
}

/// A token as configured in the settings.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Token {
    /// Name for the audit log; not secret.
    pub name: String,
    /// Permission level.
    #[serde(default)]
    pub role: Role,
    /// Owners whose services may be edited; empty means all services.
    #[serde(default)]
    pub owners: Vec<String>,
    /// Secret sent by clients as bearer token; at least 16 bytes.
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

/// Permissions of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Access {
    /// Name of the token.
    pub name: String,
    /// Permission level.
    pub role: Role,
    /// Owners whose services may be edited; empty means all services.
    pub owners: Vec<String>,
}

impl Access {
    /// Whether it permits edits.
    pub fn may_edit(&self) -> bool {
        self.role == Role::Edit
    }

    /// Whether it permits edits to services of all owners.
    pub fn may_edit_all(&self) -> bool {
        self.may_edit() && self.owners.is_empty()
    }

    /// Whether it permits edits to services of this owner.
    pub fn may_edit_owner(&self, owner: &str) -> bool {
        self.may_edit() && (self.owners.is_empty() || self.owners.iter().any(|o| o == owner))
    }
}

/// The tokens, prepared for constant-time comparison.
#[derive(Debug)]
pub(crate) struct Tokens {
    /// Digests of the secrets, so that comparison time does not depend on their
    /// length.
    entries: Vec<([u8; 32], Access)>,
}

impl Tokens {
    pub(crate) fn new(tokens: &[Token]) -> Result<Tokens> {
        let mut entries: Vec<([u8; 32], Access)> = Vec::new();
        for token in tokens {
            let bytes = token.secret.len();
            if bytes < MIN_SECRET_BYTES {
                let name = &token.name;
                return ShortSecretSnafu { name, bytes }.fail();
            }
            let digest = digest(&token.secret);
            if let Some((_, existing)) = entries.iter().find(|(d, _)| *d == digest) {
                return Err::<_, Error>(
                    DuplicateSecretSnafu {
                        first: &existing.name,
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
            entries.push((digest, access));
        }
        Ok(Tokens { entries })
    }

    /// Finds the permissions of a secret. Always compares with all tokens, so that
    /// the time does not reveal which one matches.
    pub(crate) fn find(&self, secret: &str) -> Option<&Access> {
        let digest = digest(secret);
        let mut found = None;
        for (expected, access) in &self.entries {
            if bool::from(expected.ct_eq(&digest)) {
                found = Some(access);
            }
        }
        found
    }
}

fn digest(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}
