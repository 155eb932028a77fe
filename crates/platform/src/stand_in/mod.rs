//! In-memory stand-in for the platform's object API, with fault injection.
//!
//! Used by tests, the demo and the daemon's embedded platform. Objects are not
//! persisted: they are lost when the stand-in stops.

mod api_response;
mod config;
mod control;
mod faults;
mod guard;
mod objects;
mod routes;
mod service;
mod shared;

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::tokio::sync::watch;

pub use config::StandInConfig;
pub use faults::{CallCounts, Faults, Outage};
pub use objects::{Objects, ObjectsError};
pub use service::{Admission, CallKind, StandInService};

use crate::http_server::{HttpServer, StartError, http_config};
use crate::{Revision, Vm};
use shared::Shared;

/// A running stand-in; stopped on drop.
pub struct StandIn {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl StandIn {
    /// Starts a stand-in and waits until it listens.
    pub fn start(cfg: StandInConfig) -> Result<StandIn, StartError> {
        let shared = Arc::new(Shared {
            service: StandInService::new(&cfg).into(),
            clock: Arc::clone(&cfg.clock),
            changed: watch::Sender::new(Revision(0)),
            allow_control: cfg.allow_control,
            token: cfg.token.clone(),
        });
        let rocket = rocket::custom(http_config(cfg.listen, cfg.workers))
            .manage(Arc::clone(&shared))
            .mount("/", routes::all())
            .mount("/", control::all())
            .register("/", rocket::catchers![api_response::catch_all]);
        let server = HttpServer::start(rocket, cfg.listen)?;
        Ok(StandIn { server, shared })
    }

    /// Address on which the stand-in listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Expires the change history, so that every watcher has to list again.
    pub fn expire_history(&self) {
        self.shared.lock().objects.expire_history();
        self.shared.wake_watches();
    }

    /// Sets the VM list, which is served after the configured lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let now = self.shared.clock.now();
        self.shared.lock().set_vms(now, vms);
    }

    /// Request counts since the start.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts()
    }

    /// Stops the stand-in; its objects are lost.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}
