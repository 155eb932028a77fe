//! Client of a balancer's administration API.

use std::time::Duration;

use sequoiatrail_admin::EditReply;
use sequoiatrail_table::EditId;
use sequoiatrail_types::RefusalReason;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use ureq::Agent;
use ureq::http::Request;

use crate::error::{FileSnafu, NoResponseSnafu, RejectedSnafu, UnreachableSnafu};
use crate::options::{Settings, usage};
use crate::{Environment, Error, Result};

/// Max size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Max attempts of an edit that gets no response, including the first.
const MAX_EDIT_ATTEMPTS: u32 = 3;
/// Delay before an edit is retried.
const EDIT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request to the API.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
    /// Whether it changes state, so that a missing response leaves its outcome unknown.
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
    /// Creates a client for the API address in the settings; reads the token file.
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

    /// Sends a request once and returns the body of a successful response.
    pub(crate) fn text(&self, call: &Call) -> Result<String> {
        let (status, body) = self.send(call)?;
        if (200..300).contains(&status) {
            return Ok(body);
        }
        match serde_json::from_str(&body) {
            Ok(answer) => RejectedSnafu {
                answer: Box::new(answer),
            }
            .fail(),
            Err(_) => self.no_response(
                call,
                format!("HTTP status {status} with an unreadable body"),
            ),
        }
    }

    /// Sends a request once and decodes a successful response.
    pub(crate) fn read<T: DeserializeOwned>(&self, call: &Call) -> Result<T> {
        let body = self.text(call)?;
        serde_json::from_str(&body).or_else(|e| self.no_response(call, e.to_string()))
    }

    /// Sends an edit, with retries. Its identifier makes it idempotent: an edit
    /// without a response can be retried and never runs twice.
    pub(crate) fn edit(&self, call: Call, edit_id: Option<&str>) -> Result<EditReply> {
        let random = || format!("{:032x}", rand::random::<u128>());
        let id = edit_id.map_or_else(random, str::to_owned);
        let call = call.header("Edit-Id", &id);
        let retry = call.clone().header("Edit-Repeated", "true");
        let mut unknown = None;
        for attempt in 0..MAX_EDIT_ATTEMPTS {
            if attempt > 0 {
                std::thread::sleep(EDIT_RETRY_DELAY);
            }
            let first = attempt == 0 && edit_id.is_none();
            match self.read(if first { &call } else { &retry }) {
                Err(e) if may_have_run(&e, first) => unknown = Some(e),
                result => return result,
            }
        }
        let message = unknown.map(|e| e.to_string()).unwrap_or_default();
        let answer = Box::new(EditReply::Unknown {
            edit: EditId(id),
            message,
            come_back_s: EDIT_RETRY_DELAY.as_secs().max(1),
        });
        RejectedSnafu { answer }.fail()
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
        let mut res = self
            .agent
            .run(req)
            .map_err(|e| self.transport_error(call, e))?;
        let status = res.status().as_u16();
        let body = res.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        match body.read_to_string() {
            Ok(body) => Ok((status, body)),
            Err(e) => self.no_response(call, e.to_string()),
        }
    }

    /// Classifies a transport error. Only an error from before the request was
    /// sent proves that it did not run.
    fn transport_error(&self, call: &Call, error: ureq::Error) -> Error {
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
        NoResponseSnafu {
            admin,
            reason,
            changes,
        }
        .build()
    }

    fn no_response<T>(&self, call: &Call, reason: String) -> Result<T> {
        let admin = &self.admin;
        let changes = call.changes;
        NoResponseSnafu {
            admin,
            reason,
            changes,
        }
        .fail()
    }
}

/// Whether this attempt or an earlier one may have run. An unreachable balancer
/// or a rejected token says nothing about earlier attempts.
fn may_have_run(error: &Error, first: bool) -> bool {
    match error {
        Error::NoResponse { .. } => true,
        Error::Unreachable { .. } => !first,
        Error::Rejected { answer } => match answer.as_ref() {
            EditReply::NotRun { reason, .. } => !first && *reason == RefusalReason::Forbidden,
            // With an identifier, the balancer has already tried to resolve the outcome;
            // an internal error of the balancer carries none.
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
