//! A blocking client of the platform's object API.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::http::{Method, Request, Response};
use ureq::{Agent, Body, RequestBuilder};

use crate::parse::{RawResponse, Reply, parse};
use crate::{
    Changes, ClientConfig, Error, Listing, MAX_VALUE_BYTES, Object, Precondition, Result, Revision,
    TokenBucket, Vm, WriteResponse,
};

/// A client; one is shared by all threads of a process.
///
/// A call is sent at most once: what to repeat, and when, is the caller's
/// decision by the verdict of the error.
pub struct Client {
    cfg: ClientConfig,
    agent: Agent,
    rate: Mutex<TokenBucket>,
}

impl Client {
    /// A client; no call is made yet.
    pub fn new(cfg: ClientConfig) -> Client {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(cfg.connect_timeout))
            .build()
            .new_agent();
        let rate = TokenBucket::new(cfg.calls_per_second, cfg.burst).into();
        Client { cfg, agent, rate }
    }

    /// Settings.
    pub fn config(&self) -> &ClientConfig {
        &self.cfg
    }

    /// Reads an object; `None` if there is none.
    pub fn get(&self, key: &str) -> Result<Option<Object>> {
        self.pace()?;
        let req = self.agent.get(self.url(&format!("objects/{key}")));
        match self.receive(self.prepared(req, self.cfg.call_timeout).call()) {
            Ok(object) => Ok(Some(object)),
            Err(Error::Invalid { status: 404 }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Writes an object if the condition holds.
    pub fn put(
        &self,
        key: &str,
        value: &impl Serialize,
        precondition: Precondition,
    ) -> Result<Revision> {
        let body = body_of(value)?;
        self.pace()?;
        let req = self.agent.put(self.url(&format!("objects/{key}")));
        let req = with_precondition(req, precondition).header("Content-Type", "application/json");
        let written: WriteResponse =
            self.receive(self.prepared(req, self.cfg.call_timeout).send(&body))?;
        Ok(written.revision)
    }

    /// Deletes an object if the condition holds.
    pub fn delete(&self, key: &str, precondition: Precondition) -> Result<Revision> {
        self.pace()?;
        let req = self.agent.delete(self.url(&format!("objects/{key}")));
        let req = with_precondition(req, precondition);
        let written: WriteResponse =
            self.receive(self.prepared(req, self.cfg.call_timeout).call())?;
        Ok(written.revision)
    }

    /// Lists the objects under any of the prefixes.
    pub fn list(&self, prefixes: &[&str]) -> Result<Listing> {
        self.pace()?;
        let url = self.url(&format!("list?{}", query(prefixes)));
        self.receive(
            self.prepared(self.agent.get(url), self.cfg.call_timeout)
                .call(),
        )
    }

    /// Waits at the platform for changes after a revision, for at most `wait`.
    pub fn watch(&self, prefixes: &[&str], after: Revision, wait: Duration) -> Result<Changes> {
        self.pace()?;
        let wait_ms = wait.as_millis();
        let prefixes = query(prefixes);
        let url = self.url(&format!("watch?{prefixes}after={after}&wait_ms={wait_ms}"));
        let timeout = wait + self.cfg.call_timeout;
        self.receive(self.prepared(self.agent.get(url), timeout).call())
    }

    /// The platform's list of VMs, which lags.
    pub fn vms(&self) -> Result<Vec<Vm>> {
        self.pace()?;
        let req = self.agent.get(self.url("vms"));
        self.receive(self.prepared(req, self.cfg.call_timeout).call())
    }

    /// Makes one call with a path of the caller's and returns the answer as it
    /// came, whatever its status. `timeout` is for the whole call.
    pub fn exchange(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Reply> {
        self.pace()?;
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.cfg.endpoint))
            .header("Content-Type", "application/json")
            .body(body)
            .map_err(|e| Error::InvalidValue {
                reason: e.to_string(),
            })?;
        let req = self
            .agent
            .configure_request(req)
            .timeout_global(Some(timeout))
            .build();
        read_reply(self.agent.run(req), self.cfg.max_response_bytes)
    }

    /// Adds the time limit and the token.
    fn prepared<B>(&self, req: RequestBuilder<B>, timeout: Duration) -> RequestBuilder<B> {
        let req = req.config().timeout_global(Some(timeout)).build();
        match &self.cfg.token {
            Some(token) => req.header("Authorization", format!("Bearer {token}")),
            None => req,
        }
    }

    fn receive<T: DeserializeOwned>(
        &self,
        answer: Result<Response<Body>, ureq::Error>,
    ) -> Result<T> {
        let reply = read_reply(answer, self.cfg.max_response_bytes)?;
        parse(RawResponse {
            status: reply.status,
            retry_after: reply.retry_after.as_deref(),
            body: &reply.body,
        })
    }

    fn pace(&self) -> Result<()> {
        let now = self.cfg.clock.now();
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        rate.take(now)
            .map_err(|retry_delay| Error::RateLimited { retry_delay })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.cfg.endpoint)
    }
}

fn body_of(value: &impl Serialize) -> Result<Vec<u8>> {
    let body = serde_json::to_vec(value).map_err(|e| Error::InvalidValue {
        reason: e.to_string(),
    })?;
    let bytes = body.len();
    if bytes > MAX_VALUE_BYTES {
        let reason = format!("it has {bytes} bytes; allowed: up to {MAX_VALUE_BYTES}");
        return Err(Error::InvalidValue { reason });
    }
    Ok(body)
}

fn query(prefixes: &[&str]) -> String {
    prefixes.iter().map(|p| format!("prefix={p}&")).collect()
}

fn with_precondition<B>(req: RequestBuilder<B>, precondition: Precondition) -> RequestBuilder<B> {
    match precondition {
        Precondition::Any => req,
        Precondition::Absent => req.header("If-None-Match", "*"),
        Precondition::Revision(revision) => req.header("If-Match", format!("\"{revision}\"")),
    }
}

fn read_reply(answer: Result<Response<Body>, ureq::Error>, most: u64) -> Result<Reply> {
    let mut answer = answer.map_err(transport_error)?;
    let status = answer.status().as_u16();
    let body = answer
        .body_mut()
        .with_config()
        .limit(most)
        .read_to_vec()
        .map_err(|e| Error::NoResponse {
            reason: e.to_string(),
        })?;
    let retry_after = answer.headers().get("Retry-After");
    let retry_after = retry_after.and_then(|v| v.to_str().ok());
    Ok(Reply {
        status,
        retry_after: retry_after.map(str::to_owned),
        body,
    })
}

/// Only an error from before the request was written is surely "not run".
fn transport_error(error: ureq::Error) -> Error {
    let reason = error.to_string();
    let not_sent = match &error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if not_sent {
        return Error::NotSent { reason };
    }
    Error::NoResponse { reason }
}
