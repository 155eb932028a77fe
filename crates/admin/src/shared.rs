//! State of the API server.

use std::sync::Arc;

use rocket::tokio::sync::Semaphore;

use crate::token::Tokens;
use crate::{AdminBackend, AdminConfig};

/// State shared by the routes.
pub(crate) struct Shared {
    pub(crate) cfg: AdminConfig,
    pub(crate) backend: AdminBackend,
    pub(crate) tokens: Tokens,
    /// One permit per concurrent edit.
    pub(crate) edit_permits: Arc<Semaphore>,
}
