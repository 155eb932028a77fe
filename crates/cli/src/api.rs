//! Calls to a balancer's administration API.

use std::time::Duration;

use sequoiatrail_admin::EditReply;
use sequoiatrail_table::EditId;
use sequoiatrail_types::RefusalReason;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use ureq::Agent;
use ureq::http::Request;

use crate::error::{AnswerSnafu, FileSnafu, NoAnswerSnafu, UnreachableSnafu};
use crate::options::{Settings, usage};
use crate::{Environment, Error, Result};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// Times that an edit without an answer is asked for, the first included.
const EDIT_ATTEMPTS: u32 = 3;
/// Wait before an edit is asked for again.
const EDIT_WAIT: Duration = Duration::from_millis(500);

/// One request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
    /// Whether it asks for a change, so that its outcome matters.
    pub(crate) changes: bool,
}

impl Call {
    pub(crate) fn get(path: impl Into<String>) -> Call {
        Call {
            method: "GET",
            path: path.into(),
            ..Call::default()
        }
    }

    pub(crate) fn change(method: &'static str, path: impl Into<String>) -> Call {
        Call {
            method,
            changes: true,
            ..Call::get(path)
        }
    }

    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Call {
        self.headers.push((name, value.into()));
        self
    }

    pub(crate) fn csv(self, text: impl Into<String>) -> Call {
        let body = text.into();
        let call = self.header("Content-Type", "text/csv");
        Call { body, ..call }
    }

    pub(crate) fn json(self, value: &impl Serialize) -> Call {
        let body = serde_json::to_string(value).unwrap_or_default();
        let call = self.header("Content-Type", "application/json");
        Call { body, ..call }
    }
}

/// The API of one balancer.
pub(crate) struct Api {
    admin: String,
    token: String,
    agent: Agent,
}

impl Api {
    /// The API that the settings name; reads the token.
    pub(crate) fn new(settings: &Settings, env: &Environment) -> Result<Api> {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(settings.timeout))
            .build()
            .new_agent();
        Ok(Api {
            admin: settings.admin.clone(),
            token: token(settings, env)?,
            agent,
        })
    }

    /// Sends a request once and reads the text of its success.
    pub(crate) fn text(&self, call: &Call) -> Result<String> {
        let (status, body) = self.send(call)?;
        if (200..300).contains(&status) {
            return Ok(body);
        }
        match serde_json::from_str(&body) {
            Ok(answer) => AnswerSnafu {
                answer: Box::new(answer),
            }
            .fail(),
            Err(_) => self.no_answer(call, format!("status {status} without a verdict")),
        }
    }

    /// Sends a request once and reads its success.
    pub(crate) fn read<T: DeserializeOwned>(&self, call: &Call) -> Result<T> {
        let body = self.text(call)?;
        serde_json::from_str(&body).or_else(|e| self.no_answer(call, e.to_string()))
    }

    /// Makes an edit. It carries its identifier, so that it can be asked for
    /// again when no answer came, and never runs twice.
    pub(crate) fn edit(&self, call: Call, edit_id: Option<&str>) -> Result<EditReply> {
        let random = || format!("{:032x}", rand::random::<u128>());
        let id = edit_id.map_or_else(random, str::to_owned);
        let call = call.header("Edit-Id", &id);
        let again = call.clone().header("Edit-Repeated", "true");
        let mut unknown = None;
        for attempt in 0..EDIT_ATTEMPTS {
            if attempt > 0 {
                std::thread::sleep(EDIT_WAIT);
            }
            let first = attempt == 0 && edit_id.is_none();
            match self.read(if first { &call } else { &again }) {
                Err(e) if may_have_run(&e, first) => unknown = Some(e),
                settled => return settled,
            }
        }
        let message = unknown.map(|e| e.to_string()).unwrap_or_default();
        let answer = Box::new(EditReply::Unknown {
            edit: EditId(id),
            message,
            come_back_s: EDIT_WAIT.as_secs().max(1),
        });
        AnswerSnafu { answer }.fail()
    }

    fn send(&self, call: &Call) -> Result<(u16, String)> {
        let uri = format!("http://{}{}", self.admin, call.path);
        let mut req = Request::builder().method(call.method).uri(uri);
        if !self.token.is_empty() {
            req = req.header("Authorization", format!("Bearer {}", self.token));
        }
        for (name, value) in &call.headers {
            req = req.header(*name, value);
        }
        let req = req
            .body(call.body.clone())
            .map_err(|e| usage(format!("request: {e}")))?;
        let mut res = self.agent.run(req).map_err(|e| self.transport(call, e))?;
        let status = res.status().as_u16();
        let body = res.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        match body.read_to_string() {
            Ok(body) => Ok((status, body)),
            Err(e) => self.no_answer(call, e.to_string()),
        }
    }

    /// Only an error from before the request was sent means "not run".
    fn transport(&self, call: &Call, error: ureq::Error) -> Error {
        let refused = std::io::ErrorKind::ConnectionRefused;
        let not_sent = match &error {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
            ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
            ureq::Error::Io(e) => e.kind() == refused,
            _ => false,
        };
        let (admin, reason) = (&self.admin, error.to_string());
        if not_sent {
            return UnreachableSnafu { admin, reason }.build();
        }
        let changes = call.changes;
        NoAnswerSnafu {
            admin,
            reason,
            changes,
        }
        .build()
    }

    fn no_answer<T>(&self, call: &Call, reason: String) -> Result<T> {
        let admin = &self.admin;
        let changes = call.changes;
        NoAnswerSnafu {
            admin,
            reason,
            changes,
        }
        .fail()
    }
}

/// Whether this attempt, or one before it, may have run. A balancer that could
/// not be asked says nothing of earlier attempts; nor does a refused token.
fn may_have_run(error: &Error, first: bool) -> bool {
    match error {
        Error::NoAnswer { .. } => true,
        Error::Unreachable { .. } => !first,
        Error::Answer { answer } => match answer.as_ref() {
            EditReply::NotRun { reason, .. } => !first && *reason == RefusalReason::Forbidden,
            // The balancer has settled what could be settled; a fault in it names no edit.
            EditReply::Unknown { edit, .. } => edit.0.is_empty(),
            EditReply::Accepted { .. } => false,
        },
        _ => false,
    }
}

fn token(settings: &Settings, env: &Environment) -> Result<String> {
    if let Some(path) = &settings.token_file {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        return Ok(text.trim().to_owned());
    }
    Ok(env.token.clone().unwrap_or_default().trim().to_owned())
}
