//! State of the stand-in's server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rocket::tokio::sync::watch;
use rocket::{Shutdown, State};
use sequoiatrail_types::Clock;

use super::api_response::{ApiResponse, apply_admission};
use super::{CallKind, StandInService};
use crate::Revision;

/// State shared by all routes.
pub(super) struct Shared {
    pub(super) service: Mutex<StandInService>,
    pub(super) clock: Arc<dyn Clock>,
    /// Wakes pending watches.
    pub(super) changed: watch::Sender<Revision>,
    pub(super) allow_control: bool,
    /// Bearer token required from clients.
    pub(super) token: Option<String>,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, StandInService> {
        self.service.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) async fn admit(
        &self,
        kind: CallKind,
        shutdown: Shutdown,
    ) -> Result<(), ApiResponse> {
        let admission = self.lock().admit(self.clock.now(), kind);
        apply_admission(admission, shutdown).await
    }

    pub(super) fn wake_watches(&self) {
        let revision = self.lock().objects.revision();
        self.changed.send_replace(revision);
    }
}

/// Request guard for [`Shared`].
pub(super) type SharedState = State<Arc<Shared>>;
