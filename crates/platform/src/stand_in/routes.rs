//! HTTP paths of the stand-in.

use std::path::{Component, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rocket::http::Status;
use rocket::tokio::sync::watch;
use rocket::tokio::time::timeout;
use rocket::{FromForm, Route, Shutdown, State, delete, get, put, routes};
use sequoiatrail_types::Clock;
use serde_json::Value;

use super::answer::{Answer, admitted, no_answer};
use super::guard::Caller;
use super::{CallKind, StandInService};
use crate::{MAX_VALUE_BYTES, Precondition, Revision, WriteResponse};

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// What the paths share.
pub(super) struct Shared {
    pub(super) service: Mutex<StandInService>,
    pub(super) clock: Arc<dyn Clock>,
    /// Wakes waiting watches.
    pub(super) changed: watch::Sender<Revision>,
    pub(super) allow_control: bool,
    /// The token that a caller needs.
    pub(super) token: Option<String>,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, StandInService> {
        self.service.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn admit(&self, kind: CallKind, shutdown: Shutdown) -> Result<(), Answer> {
        let admission = self.lock().admit(self.clock.now(), kind);
        admitted(admission, shutdown).await
    }

    pub(super) fn wake(&self) {
        let revision = self.lock().objects.revision();
        self.changed.send_replace(revision);
    }
}

/// What the paths share, as a request guard.
pub(super) type SharedState = State<Arc<Shared>>;

pub(super) fn all() -> Vec<Route> {
    routes![read, write, remove, list, changes, vms]
}

#[get("/v1/objects/<path..>")]
async fn read(
    _caller: Caller,
    path: PathBuf,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<Answer, Answer> {
    shared.admit(CallKind::Read, shutdown).await?;
    let object = shared.lock().get(&key(path)?);
    match object {
        Some(object) => Ok(Answer::ok(&object).with_revision(object.revision)),
        None => Err(Answer::refused(Status::NotFound, "no such object")),
    }
}

#[put("/v1/objects/<path..>", data = "<body>")]
async fn write(
    _caller: Caller,
    path: PathBuf,
    precondition: Precondition,
    body: String,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<Answer, Answer> {
    if body.len() > MAX_VALUE_BYTES {
        return Err(Answer::refused(Status::PayloadTooLarge, "value too large"));
    }
    let value = serde_json::from_str(&body)
        .map_err(|_| Answer::refused(Status::BadRequest, "the value is not JSON"))?;
    change(key(path)?, Some(value), precondition, shared, shutdown).await
}

#[delete("/v1/objects/<path..>")]
async fn remove(
    _caller: Caller,
    path: PathBuf,
    precondition: Precondition,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<Answer, Answer> {
    change(key(path)?, None, precondition, shared, shutdown).await
}

/// Runs a write in a task of its own: it takes effect also when its caller has
/// hung up in the meantime, as on a platform that is slow.
async fn change(
    key: String,
    value: Option<Value>,
    precondition: Precondition,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<Answer, Answer> {
    let shared = Arc::clone(shared);
    let write = async move { run_write(&key, value, precondition, &shared, shutdown).await };
    match rocket::tokio::spawn(write).await {
        Ok(answer) => answer,
        Err(_) => Err(Answer::fault()),
    }
}

async fn run_write(
    key: &str,
    value: Option<Value>,
    precondition: Precondition,
    shared: &Shared,
    shutdown: Shutdown,
) -> Result<Answer, Answer> {
    shared.admit(CallKind::Write, shutdown.clone()).await?;
    let (written, lost) = shared.lock().write(key, value, precondition);
    shared.wake();
    if lost {
        return Err(no_answer(shutdown).await);
    }
    let revision = written?;
    Ok(Answer::ok(&WriteResponse { revision }).with_revision(revision))
}

#[get("/v1/list?<prefix>")]
async fn list(
    _caller: Caller,
    prefix: Vec<String>,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<Answer, Answer> {
    shared.admit(CallKind::Read, shutdown).await?;
    Ok(Answer::ok(&shared.lock().list(&prefix)))
}

/// Query of a watch.
#[derive(FromForm)]
struct Watch {
    prefix: Vec<String>,
    after: u64,
    wait_ms: u64,
}

#[get("/v1/watch?<query..>")]
async fn changes(
    _caller: Caller,
    query: Watch,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<Answer, Answer> {
    let mut changed = shared.changed.subscribe();
    shared.admit(CallKind::Watch, shutdown.clone()).await?;
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WATCH_WAIT);
    let after = Revision(query.after);
    let found = async {
        loop {
            let changes = shared.lock().changes_after(&query.prefix, after)?;
            if !changes.changes.is_empty() || changed.changed().await.is_err() {
                return Ok::<_, Answer>(changes);
            }
        }
    };
    rocket::tokio::select! {
        found = timeout(wait, found) => match found {
            Ok(changes) => Ok(Answer::ok(&changes?)),
            Err(_) => {
                let changes = shared.lock().changes_after(&query.prefix, after)?;
                Ok(Answer::ok(&changes))
            }
        },
        () = shutdown => Err(Answer::refused(Status::ServiceUnavailable, "stopping")),
    }
}

#[get("/v1/vms")]
async fn vms(_caller: Caller, shared: &SharedState, shutdown: Shutdown) -> Result<Answer, Answer> {
    shared.admit(CallKind::Read, shutdown).await?;
    let now = shared.clock.now();
    Ok(Answer::ok(&shared.lock().vms(now)))
}

fn key(path: PathBuf) -> Result<String, Answer> {
    let invalid = || Answer::refused(Status::BadRequest, "invalid key");
    let mut parts = Vec::new();
    for part in path.components() {
        let Component::Normal(part) = part else {
            return Err(invalid());
        };
        parts.push(part.to_str().ok_or_else(invalid)?);
    }
    let key = parts.join("/");
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(invalid());
    }
    Ok(key)
}
