//! Answers of the API.

use rocket::http::{ContentType, Header, Status};
use rocket::response::{self, Responder, Response};
use rocket::{Request, catch};
use sequoiatrail_table::EditId;
use sequoiatrail_types::RefusalReason;
use serde::Serialize;

use crate::EditReply;

/// Seconds to come back after a fault of the API itself.
const FAULT_COME_BACK_S: u64 = 5;

/// Type of a body.
#[derive(Clone, Copy)]
pub(crate) enum Kind {
    Json,
    Csv,
    /// Metrics in the text exposition format.
    Metrics,
}

impl Kind {
    fn content_type(self) -> ContentType {
        match self {
            Kind::Json => ContentType::JSON,
            Kind::Csv => ContentType::CSV,
            Kind::Metrics => ContentType::new("text", "plain").with_params(("version", "0.0.4")),
        }
    }
}

/// A body with its type and, for the table, its version as entity tag.
pub(crate) struct ApiResponse {
    status: Status,
    kind: Kind,
    body: String,
    etag: Option<u64>,
    come_back_s: Option<u64>,
}

impl ApiResponse {
    pub(crate) fn text(kind: Kind, body: String) -> ApiResponse {
        ApiResponse {
            status: Status::Ok,
            kind,
            body,
            etag: None,
            come_back_s: None,
        }
    }

    pub(crate) fn json(body: &impl Serialize) -> ApiResponse {
        let body = serde_json::to_string(body).unwrap_or_default();
        ApiResponse::text(Kind::Json, body)
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

    /// A refusal that surely did not run.
    pub(crate) fn refused(reason: RefusalReason, message: impl Into<String>) -> ApiResponse {
        EditReply::refused(reason, message).into()
    }
}

impl From<EditReply> for ApiResponse {
    fn from(edit: EditReply) -> ApiResponse {
        let etag = match &edit {
            EditReply::Accepted { version, .. } => Some(version.0),
            _ => None,
        };
        ApiResponse {
            status: status_of(&edit),
            etag,
            come_back_s: edit.come_back_s(),
            ..ApiResponse::json(&edit)
        }
    }
}

fn status_of(edit: &EditReply) -> Status {
    match edit {
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
        res.status(self.status).header(self.kind.content_type());
        res.header(Header::new("Cache-Control", "no-store"));
        if let Some(version) = self.etag {
            res.header(Header::new("ETag", format!("\"{version}\"")));
        }
        if let Some(seconds) = self.come_back_s {
            res.header(Header::new("Retry-After", seconds.to_string()));
        }
        if self.status == Status::Unauthorized {
            res.header(Header::new("WWW-Authenticate", "Bearer"));
        }
        res.ok()
    }
}

/// Answers what no path answered. A fault inside a path may have run.
#[catch(default)]
pub(crate) fn other(status: Status, _req: &Request<'_>) -> ApiResponse {
    let message = match status.code {
        401 => "no token, or one that is not known",
        403 => "the token does not allow it",
        413 => "the body is too large",
        428 => "If-Match is missing; it names the version that the edit was made from",
        _ => status.reason_lossy(),
    };
    if status.code >= 500 {
        let fault = EditReply::Unknown {
            edit: EditId::default(),
            message: message.to_owned(),
            come_back_s: FAULT_COME_BACK_S,
        };
        return ApiResponse::from(fault).with_status(status);
    }
    let reason = match status.code {
        401 | 403 => RefusalReason::Forbidden,
        _ => RefusalReason::Invalid,
    };
    ApiResponse::refused(reason, message).with_status(status)
}
