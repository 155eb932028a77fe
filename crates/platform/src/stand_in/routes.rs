//! HTTP routes of the stand-in.

use std::path::{Component, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rocket::http::Status;
use rocket::tokio::time::timeout;
use rocket::{FromForm, Route, Shutdown, delete, get, put, routes};
use serde_json::Value;

use super::CallKind;
use super::api_response::{ApiResponse, no_response};
use super::guard::AuthorizedClient;
use super::shared::{Shared, SharedState};
use crate::{MAX_VALUE_BYTES, Precondition, Revision, WriteResponse};

/// Max wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Max length of a key, in bytes.
const MAX_KEY_BYTES: usize = 256;

pub(super) fn all() -> Vec<Route> {
    routes![read, write, remove, list, changes, vms]
}

#[get("/v1/objects/<path..>")]
async fn read(
    _client: AuthorizedClient,
    path: PathBuf,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<ApiResponse, ApiResponse> {
    shared.admit(CallKind::Read, shutdown).await?;
    let object = shared.lock().get(&parse_key(path)?);
    match object {
        Some(object) => Ok(ApiResponse::ok(&object).with_revision(object.revision)),
        None => Err(ApiResponse::refused(Status::NotFound, "no such object")),
    }
}

#[put("/v1/objects/<path..>", data = "<body>")]
async fn write(
    _client: AuthorizedClient,
    path: PathBuf,
    precondition: Precondition,
    body: String,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<ApiResponse, ApiResponse> {
    if body.len() > MAX_VALUE_BYTES {
        return Err(ApiResponse::refused(
            Status::PayloadTooLarge,
            "value too large",
        ));
    }
    let value = serde_json::from_str(&body)
        .map_err(|_| ApiResponse::refused(Status::BadRequest, "the value is not JSON"))?;
    change(
        parse_key(path)?,
        Some(value),
        precondition,
        shared,
        shutdown,
    )
    .await
}

#[delete("/v1/objects/<path..>")]
async fn remove(
    _client: AuthorizedClient,
    path: PathBuf,
    precondition: Precondition,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<ApiResponse, ApiResponse> {
    change(parse_key(path)?, None, precondition, shared, shutdown).await
}

/// Runs a write in its own task, so that it takes effect even if the client has
/// disconnected meanwhile, as on a slow platform.
async fn change(
    key: String,
    value: Option<Value>,
    precondition: Precondition,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<ApiResponse, ApiResponse> {
    let shared = Arc::clone(shared);
    let write = async move { run_write(&key, value, precondition, &shared, shutdown).await };
    match rocket::tokio::spawn(write).await {
        Ok(res) => res,
        Err(_) => Err(ApiResponse::fault()),
    }
}

async fn run_write(
    key: &str,
    value: Option<Value>,
    precondition: Precondition,
    shared: &Shared,
    shutdown: Shutdown,
) -> Result<ApiResponse, ApiResponse> {
    shared.admit(CallKind::Write, shutdown.clone()).await?;
    let (written, lost) = shared.lock().write(key, value, precondition);
    shared.wake_watches();
    if lost {
        return Err(no_response(shutdown).await);
    }
    let revision = written?;
    Ok(ApiResponse::ok(&WriteResponse { revision }).with_revision(revision))
}

#[get("/v1/list?<prefix>")]
async fn list(
    _client: AuthorizedClient,
    prefix: Vec<String>,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<ApiResponse, ApiResponse> {
    shared.admit(CallKind::Read, shutdown).await?;
    Ok(ApiResponse::ok(&shared.lock().list(&prefix)))
}

/// Query parameters of a watch.
#[derive(FromForm)]
struct Watch {
    prefix: Vec<String>,
    after: u64,
    wait_ms: u64,
}

#[get("/v1/watch?<query..>")]
async fn changes(
    _client: AuthorizedClient,
    query: Watch,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<ApiResponse, ApiResponse> {
    let mut changed = shared.changed.subscribe();
    shared.admit(CallKind::Watch, shutdown.clone()).await?;
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WATCH_WAIT);
    let after = Revision(query.after);
    let poll = async {
        loop {
            let changes = shared.lock().changes_after(&query.prefix, after)?;
            if !changes.changes.is_empty() || changed.changed().await.is_err() {
                return Ok::<_, ApiResponse>(changes);
            }
        }
    };
    rocket::tokio::select! {
        polled = timeout(wait, poll) => match polled {
            Ok(changes) => Ok(ApiResponse::ok(&changes?)),
            Err(_) => {
                let changes = shared.lock().changes_after(&query.prefix, after)?;
                Ok(ApiResponse::ok(&changes))
            }
        },
        () = shutdown => Err(ApiResponse::refused(Status::ServiceUnavailable, "stopping")),
    }
}

#[get("/v1/vms")]
async fn vms(
    _client: AuthorizedClient,
    shared: &SharedState,
    shutdown: Shutdown,
) -> Result<ApiResponse, ApiResponse> {
    shared.admit(CallKind::Read, shutdown).await?;
    let now = shared.clock.now();
    Ok(ApiResponse::ok(&shared.lock().vms(now)))
}

fn parse_key(path: PathBuf) -> Result<String, ApiResponse> {
    let invalid = || ApiResponse::refused(Status::BadRequest, "invalid key");
    let mut segments = Vec::new();
    for part in path.components() {
        let Component::Normal(part) = part else {
            return Err(invalid());
        };
        segments.push(part.to_str().ok_or_else(invalid)?);
    }
    let key = segments.join("/");
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(invalid());
    }
    Ok(key)
}
