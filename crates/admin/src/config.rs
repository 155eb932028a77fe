//! Settings of the administration API.

use std::net::{Ipv4Addr, SocketAddr};

use crate::token::Tokens;
use crate::{Result, Token};

/// Settings of [`crate::launch`].
#[derive(Clone, Debug)]
pub struct AdminConfig {
    /// Address to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Threads that serve requests.
    pub workers: usize,
    /// Most edits worked on at once; further ones are refused at once.
    pub max_concurrent_edits: usize,
    /// Whether `/metrics` is shown without a token.
    pub open_metrics: bool,
    /// The tokens; without any, only health and readiness are shown.
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
    /// Fails if a token's secret is too short or stands twice.
    pub fn validate(&self) -> Result<()> {
        Tokens::new(&self.tokens).map(|_| ())
    }
}
