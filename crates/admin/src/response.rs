//! HTTP responses of the API.

use rocket::http::{ContentType, Header, Status};
use rocket::response::{self, Responder, Response};
use rocket::{Request, catch};
use sequoiatrail_table::EditId;
use sequoiatrail_types::RefusalReason;
use serde::Serialize;

use crate::EditReply;

/// Retry delay after an internal error of the API, in seconds.
const INTERNAL_ERROR_RETRY_AFTER_S: u64 = 5;

/// Format of a response body.
#[derive(Clone, Copy)]
pub(crate) enum Format {
    Json,
    Csv,
    /// Metrics in the Prometheus text exposition format.
    Metrics,
}

impl Format {
    fn content_type(self) -> ContentType {
        match self {
            Format::Json => ContentType::JSON,
            Format::Csv => ContentType::CSV,
            Format::Metrics => ContentType::new("text", "plain").with_params(("version", "0.0.4")),
        }
    }
}

/// An HTTP response. Those about the table carry its version as `ETag`.
pub(crate) struct ApiResponse {
    status: Status,
    format: Format,
    body: String,
    etag: Option<u64>,
    retry_after_s: Option<u64>,
}

impl ApiResponse {
    pub(crate) fn text(format: Format, body: String) -> ApiResponse {
        ApiResponse {
            status: Status::Ok,
            format,
            body,
            etag: None,
            retry_after_s: None,
        }
    }

    pub(crate) fn json(body: &impl Serialize) -> ApiResponse {
        let body = serde_json::to_string(body).unwrap_or_default();
        ApiResponse::text(Format::Json, body)
    }

    pub(crate) fn with_etag(self, version: u64) -> ApiResponse {
        ApiResponse {
            etag: Some(version),
            ..self
        }
    }

    pub(crate) fn with_status(self, status: Status) -> ApiResponse {
        ApiResponse { status, ..self }
    }

    /// Rejects a request that has not been executed.
    pub(crate) fn refused(reason: RefusalReason, message: impl Into<String>) -> ApiResponse {
        EditReply::refused(reason, message).into()
    }
}

impl From<EditReply> for ApiResponse {
    fn from(reply: EditReply) -> ApiResponse {
        let etag = match &reply {
            EditReply::Accepted { version, .. } => Some(version.0),
            _ => None,
        };
        ApiResponse {
            status: status_of(&reply),
            etag,
            retry_after_s: reply.come_back_s(),
            ..ApiResponse::json(&reply)
        }
    }
}

fn status_of(reply: &EditReply) -> Status {
    match reply {
        EditReply::Accepted { .. } => Status::Ok,
        EditReply::Unknown { .. } => Status::GatewayTimeout,
        EditReply::NotRun { reason, .. } => match reason {
            RefusalReason::Conflict => Status::PreconditionFailed,
            RefusalReason::Forbidden => Status::Forbidden,
            RefusalReason::Invalid => Status::BadRequest,
            _ => Status::ServiceUnavailable,
        },
    }
}

impl<'r> Responder<'r, 'static> for ApiResponse {
    fn respond_to(self, req: &'r Request<'_>) -> response::Result<'static> {
        let mut res = Response::build_from(self.body.respond_to(req)?);
        res.status(self.status).header(self.format.content_type());
        res.header(Header::new("Cache-Control", "no-store"));
        if let Some(version) = self.etag {
            res.header(Header::new("ETag", format!("\"{version}\"")));
        }
        if let Some(seconds) = self.retry_after_s {
            res.header(Header::new("Retry-After", seconds.to_string()));
        }
        if self.status == Status::Unauthorized {
            res.header(Header::new("WWW-Authenticate", "Bearer"));
        }
        res.ok()
    }
}

/// Turns errors that no route handled into JSON. After an internal error, the
/// request may have been executed.
#[catch(default)]
pub(crate) fn other(status: Status, _req: &Request<'_>) -> ApiResponse {
    let message = match status.code {
        401 => "missing or unknown token",
        403 => "the token does not permit this request",
        413 => "the body is too large",
        428 => "missing If-Match header with the table version that the edit is based on",
        _ => status.reason_lossy(),
    };
    if status.code >= 500 {
        let reply = EditReply::Unknown {
            edit: EditId::default(),
            message: message.to_owned(),
            come_back_s: INTERNAL_ERROR_RETRY_AFTER_S,
        };
        return ApiResponse::from(reply).with_status(status);
    }
    let reason = match status.code {
        401 | 403 => RefusalReason::Forbidden,
        _ => RefusalReason::Invalid,
    };
    ApiResponse::refused(reason, message).with_status(status)
}
