//! HTTP server for readiness and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::http::Status;
use rocket::{Build, Rocket, State, get, routes};
use sequoiatrail_platform::{HttpServer, http_config};

use super::metrics::Metrics;
use super::shared::Shared;
use crate::Result;
use crate::error::PartSnafu;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Worker threads; routers and collectors send a few requests a second.
const WORKERS: usize = 1;

/// Starts an HTTP server for readiness and metrics.
pub(super) fn start(
    shared: &Arc<Shared>,
    metrics: &Arc<Metrics>,
    listen: SocketAddr,
    readiness_path: &str,
) -> Result<HttpServer> {
    let (state, metrics) = (Arc::clone(shared), Arc::clone(metrics));
    let server = rocket(state, metrics, listen, readiness_path);
    HttpServer::start(server, listen).or_else(|e| {
        PartSnafu {
            part: "cookie.http_listen or cookie.metrics_listen",
            reason: e.to_string(),
        }
        .fail()
    })
}

fn rocket(
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    listen: SocketAddr,
    readiness_path: &str,
) -> Rocket<Build> {
    rocket::custom(http_config(listen, WORKERS))
        .manage(shared)
        .manage(metrics)
        .mount(readiness_path, routes![readiness])
        .mount(METRICS_PATH, routes![metrics_text])
}

#[get("/")]
fn readiness(shared: &State<Arc<Shared>>) -> Status {
    match shared.is_ready() {
        true => Status::Ok,
        false => Status::ServiceUnavailable,
    }
}

#[get("/")]
fn metrics_text(metrics: &State<Arc<Metrics>>) -> String {
    metrics.text()
}
