//! Health, readiness and metrics.

use std::sync::Arc;

use rocket::http::Status;
use rocket::{State, get};

use crate::guard::MetricsReader;
use crate::response::{ApiResponse, Kind};
use crate::server::Shared;

/// The process runs and answers.
#[get("/healthz")]
pub(crate) fn alive() -> &'static str {
    "ok\n"
}

/// Whether the balancer may get packets; 503 if not.
#[get("/readyz")]
pub(crate) fn ready(shared: &State<Arc<Shared>>) -> ApiResponse {
    let readiness = (shared.state.ready)();
    let answer = ApiResponse::json(&readiness);
    if readiness.ready {
        return answer;
    }
    answer.with_status(Status::ServiceUnavailable)
}

/// The metrics in the text exposition format.
#[get("/metrics")]
pub(crate) fn metrics(_reader: MetricsReader, shared: &State<Arc<Shared>>) -> ApiResponse {
    ApiResponse::text(Kind::Metrics, (shared.state.metrics)())
}
