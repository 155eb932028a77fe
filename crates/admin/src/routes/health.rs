//! Routes for health, readiness and metrics.

use std::sync::Arc;

use rocket::http::Status;
use rocket::{State, get};

use crate::guard::MetricsReader;
use crate::response::{ApiResponse, Format};
use crate::shared::Shared;

/// Liveness: the process runs and serves requests.
#[get("/healthz")]
pub(crate) fn alive() -> &'static str {
    "ok\n"
}

/// Readiness to receive packets; responds with 503 if not ready.
#[get("/readyz")]
pub(crate) fn ready(shared: &State<Arc<Shared>>) -> ApiResponse {
    let readiness = (shared.backend.ready)();
    let response = ApiResponse::json(&readiness);
    if readiness.ready {
        return response;
    }
    response.with_status(Status::ServiceUnavailable)
}

/// The metrics in the Prometheus text exposition format.
#[get("/metrics")]
pub(crate) fn metrics(_reader: MetricsReader, shared: &State<Arc<Shared>>) -> ApiResponse {
    ApiResponse::text(Format::Metrics, (shared.backend.metrics)())
}
