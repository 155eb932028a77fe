//! Settings of the administration API.

use std::net::{Ipv4Addr, SocketAddr};

use crate::token::Tokens;
use crate::{Result, Token};

/// Settings of [`crate::launch`].
#[derive(Clone, Debug)]
pub struct AdminConfig {
    /// Address to listen on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Number of worker threads.
    pub workers: usize,
    /// Maximum number of concurrent edits; more are rejected immediately.
    pub max_concurrent_edits: usize,
    /// Whether `/metrics` is accessible without a token.
    pub open_metrics: bool,
    /// Accepted tokens; without any, only health and readiness (and open metrics)
    /// are accessible.
    pub tokens: Vec<Token>,
}

impl Default for AdminConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_500)),
            workers: 2,
            max_concurrent_edits: 8,
            open_metrics: false,
            tokens: Vec::new(),
        }
    }
}

impl AdminConfig {
    /// Checks the tokens.
    ///
    /// # Errors
    ///
    /// A secret is too short or used by two tokens.
    pub fn validate(&self) -> Result<()> {
        Tokens::new(&self.tokens).map(|_| ())
    }
}
