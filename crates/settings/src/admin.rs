//! Administration API settings.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check;
use crate::key::section;

/// Permissions of an API token.
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
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum TokenRole {
    /// Read-only access.
    #[default]
    Read,
    /// Read and edit access.
    Edit,
}

/// API token of the administration API.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TokenSettings {
    /// Name shown in the log; not secret.
    pub name: String,
    /// Permissions of the token.
    pub role: TokenRole,
    /// Owners whose services the token may edit; empty means all.
    pub owners: Vec<String>,
    /// Secret that a request must carry.
    pub secret: String,
}

section! {
    /// The administration API.
    "admin" AdminSettings {
        /// Listen address of the API; port 0 selects a free port.
        listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7500)), "an IP address and port", check::socket;
        /// Whether metrics are served without a token.
        open_metrics: bool = true, "true, false", check::boolean;
        /// API tokens, each with `name`, `role`, `owners` whose services it may edit (empty: all) and `secret`. Without tokens, only health, readiness and open metrics are served.
        tokens: Vec<TokenSettings> = Vec::new(), "a list of tables: name as node.name, role `read` or `edit`, owners a list of names, secret of at least 16 bytes", check::tokens;
    }
}
