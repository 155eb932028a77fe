//! The server of the API.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::tokio::sync::Semaphore;
use rocket::{catchers, custom};
use sequoiatrail_platform::{HttpServer, http_config};

use crate::response::other;
use crate::token::Tokens;
use crate::{AdminBackend, AdminConfig, Result, routes};

/// What the paths share.
pub(crate) struct Shared {
    pub(crate) cfg: AdminConfig,
    pub(crate) state: AdminBackend,
    pub(crate) tokens: Tokens,
    /// One permit per edit that may be worked on at once.
    pub(crate) edits: Arc<Semaphore>,
}

/// A running API; it stops when dropped.
pub struct AdminServer {
    server: HttpServer,
}

impl AdminServer {
    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops it. A second call does nothing.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Starts the API and waits until it listens.
pub fn launch(cfg: AdminConfig, state: AdminBackend) -> Result<AdminServer> {
    let tokens = Tokens::new(&cfg.tokens)?;
    let listen = cfg.listen;
    let rocket_cfg = http_config(listen, cfg.workers);
    let shared = Arc::new(Shared {
        edits: Arc::new(Semaphore::new(cfg.max_concurrent_edits)),
        cfg,
        state,
        tokens,
    });
    let rocket = custom(rocket_cfg)
        .manage(shared)
        .mount("/", routes::all())
        .register("/", catchers![other]);
    let server = HttpServer::start(rocket, listen)?;
    Ok(AdminServer { server })
}
