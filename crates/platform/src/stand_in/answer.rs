//! Answers of the stand-in.

use std::time::Duration;

use rocket::http::{ContentType, Header, Status};
use rocket::response::{self, Responder, Response};
use rocket::{Request, Shutdown, catch};
use serde::Serialize;

use super::{Admission, ObjectsError};
use crate::{Refusal, Revision};

/// An answer with a JSON body.
pub(super) struct Answer {
    status: Status,
    body: String,
    revision: Option<Revision>,
    retry_delay: Option<Duration>,
}

impl Answer {
    /// A success.
    pub(super) fn ok(body: &impl Serialize) -> Answer {
        Answer {
            status: Status::Ok,
            body: serde_json::to_string(body).unwrap_or_default(),
            revision: None,
            retry_delay: None,
        }
    }

    /// The same with the object's revision as its entity tag.
    pub(super) fn with_revision(self, revision: Revision) -> Answer {
        Answer {
            revision: Some(revision),
            ..self
        }
    }

    /// A refusal that surely did not run.
    pub(super) fn refused(status: Status, error: &str) -> Answer {
        Answer::from_refusal(status, error, None)
    }

    /// An answer that does not say whether the call ran.
    pub(super) fn fault() -> Answer {
        Answer {
            status: Status::InternalServerError,
            body: String::new(),
            revision: None,
            retry_delay: None,
        }
    }

    fn from_refusal(status: Status, error: &str, current: Option<Revision>) -> Answer {
        let refusal = Refusal {
            error: error.to_owned(),
            ran: false,
            current,
        };
        Answer {
            status,
            ..Answer::ok(&refusal)
        }
    }
}

impl From<ObjectsError> for Answer {
    fn from(error: ObjectsError) -> Answer {
        match error {
            ObjectsError::Conflict(current) => Answer::from_refusal(
                Status::PreconditionFailed,
                "the object has another revision",
                current,
            ),
            ObjectsError::HistoryExpired => {
                Answer::refused(Status::Gone, "the history has expired")
            }
        }
    }
}

impl<'r> Responder<'r, 'static> for Answer {
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

/// Waits as the admission says; an answer instead of `Ok` ends the call.
pub(super) async fn admitted(admission: Admission, shutdown: Shutdown) -> Result<(), Answer> {
    match admission {
        Admission::Run { delay } => {
            if !delay.is_zero() {
                rocket::tokio::time::sleep(delay).await;
            }
            Ok(())
        }
        Admission::Unavailable => Err(away()),
        Admission::OverRate { retry_delay } => Err(Answer {
            retry_delay: Some(retry_delay),
            ..Answer::refused(Status::TooManyRequests, "too many calls")
        }),
        Admission::Hang => Err(no_answer(shutdown).await),
    }
}

/// Holds the call until the stand-in stops, so that its caller gets no answer.
pub(super) async fn no_answer(shutdown: Shutdown) -> Answer {
    shutdown.await;
    Answer::fault()
}

/// Answers what no path took, which surely did not run.
#[catch(default)]
pub(super) fn other(status: Status, _req: &Request<'_>) -> Answer {
    if status.code >= 500 {
        return Answer::fault();
    }
    Answer::refused(status, status.reason_lossy())
}

fn away() -> Answer {
    Answer::refused(Status::ServiceUnavailable, "the platform is away")
}
