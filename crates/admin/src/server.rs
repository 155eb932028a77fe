//! HTTP server of the API.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::tokio::sync::Semaphore;
use rocket::{catchers, custom};
use sequoiatrail_platform::{HttpServer, http_config};

use crate::response::other;
use crate::shared::Shared;
use crate::token::Tokens;
use crate::{AdminBackend, AdminConfig, Result, routes};

/// A running API server; dropping it stops it.
pub struct AdminServer {
    server: HttpServer,
}

impl AdminServer {
    /// Address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the server. Further calls have no effect.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Starts the API server and waits until it listens.
///
/// # Errors
///
/// The tokens are invalid or the server cannot be started.
pub fn launch(cfg: AdminConfig, backend: AdminBackend) -> Result<AdminServer> {
    let tokens = Tokens::new(&cfg.tokens)?;
    let listen = cfg.listen;
    let rocket_cfg = http_config(listen, cfg.workers);
    let shared = Arc::new(Shared {
        edit_permits: Arc::new(Semaphore::new(cfg.max_concurrent_edits)),
        cfg,
        backend,
        tokens,
    });
    let rocket = custom(rocket_cfg)
        .manage(shared)
        .mount("/", routes::all())
        .register("/", catchers![other]);
    let server = HttpServer::start(rocket, listen)?;
    Ok(AdminServer { server })
}
