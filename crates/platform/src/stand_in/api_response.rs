//! HTTP responses of the stand-in.

use std::time::Duration;

use rocket::http::{ContentType, Header, Status};
use rocket::response::{self, Responder, Response};
use rocket::{Request, Shutdown, catch};
use serde::Serialize;

use super::{Admission, ObjectsError};
use crate::{Refusal, Revision};

/// A response with a JSON body.
pub(super) struct ApiResponse {
    status: Status,
    body: String,
    revision: Option<Revision>,
    retry_delay: Option<Duration>,
}

impl ApiResponse {
    /// A success response.
    pub(super) fn ok(body: &impl Serialize) -> ApiResponse {
        ApiResponse {
            status: Status::Ok,
            body: serde_json::to_string(body).unwrap_or_default(),
            revision: None,
            retry_delay: None,
        }
    }

    /// Adds the object's revision as `ETag`.
    pub(super) fn with_revision(self, revision: Revision) -> ApiResponse {
        ApiResponse {
            revision: Some(revision),
            ..self
        }
    }

    /// A refusal, which states that the request did not run.
    pub(super) fn refused(status: Status, error: &str) -> ApiResponse {
        ApiResponse::from_refusal(status, error, None)
    }

    /// A server error that does not state whether the request ran.
    pub(super) fn fault() -> ApiResponse {
        ApiResponse {
            status: Status::InternalServerError,
            body: String::new(),
            revision: None,
            retry_delay: None,
        }
    }

    fn from_refusal(status: Status, error: &str, current: Option<Revision>) -> ApiResponse {
        let refusal = Refusal {
            error: error.to_owned(),
            ran: false,
            current,
        };
        ApiResponse {
            status,
            ..ApiResponse::ok(&refusal)
        }
    }
}

impl From<ObjectsError> for ApiResponse {
    fn from(error: ObjectsError) -> ApiResponse {
        match error {
            ObjectsError::Conflict(current) => ApiResponse::from_refusal(
                Status::PreconditionFailed,
                "the object has another revision",
                current,
            ),
            ObjectsError::HistoryExpired => {
                ApiResponse::refused(Status::Gone, "the history has expired")
            }
        }
    }
}

impl<'r> Responder<'r, 'static> for ApiResponse {
    fn respond_to(self, req: &'r Request<'_>) -> response::Result<'static> {
        let mut res = Response::build_from(self.body.respond_to(req)?);
        res.status(self.status).header(ContentType::JSON);
        if let Some(revision) = self.revision {
            res.header(Header::new("ETag", format!("\"{revision}\"")));
        }
        if let Some(wait) = self.retry_delay {
            let seconds = wait.as_secs_f64().ceil().max(1.0);
            res.header(Header::new("Retry-After", format!("{seconds}")));
        }
        res.ok()
    }
}

/// Applies an admission decision: waits, or returns the response that ends the request.
pub(super) async fn apply_admission(
    admission: Admission,
    shutdown: Shutdown,
) -> Result<(), ApiResponse> {
    match admission {
        Admission::Run { delay } => {
            if !delay.is_zero() {
                rocket::tokio::time::sleep(delay).await;
            }
            Ok(())
        }
        Admission::Unavailable => Err(unavailable()),
        Admission::OverRate { retry_delay } => Err(ApiResponse {
            retry_delay: Some(retry_delay),
            ..ApiResponse::refused(Status::TooManyRequests, "too many calls")
        }),
        Admission::Hang => Err(no_response(shutdown).await),
    }
}

/// Holds the request until the stand-in stops, so that the client gets no response.
pub(super) async fn no_response(shutdown: Shutdown) -> ApiResponse {
    shutdown.await;
    ApiResponse::fault()
}

/// Handles errors outside of the routes. Below status 500 the request did not run.
#[catch(default)]
pub(super) fn catch_all(status: Status, _req: &Request<'_>) -> ApiResponse {
    if status.code >= 500 {
        return ApiResponse::fault();
    }
    ApiResponse::refused(status, status.reason_lossy())
}

fn unavailable() -> ApiResponse {
    ApiResponse::refused(Status::ServiceUnavailable, "the platform is away")
}
