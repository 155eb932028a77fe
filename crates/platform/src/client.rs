//! Blocking client for the platform's object API.

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

/// Client for the platform, shared by all threads of a process.
///
/// Sends each request at most once: the caller decides whether and when to retry,
/// based on [`Error::verdict`].
pub struct Client {
    cfg: ClientConfig,
    agent: Agent,
    rate_limit: Mutex<TokenBucket>,
}

impl Client {
    /// Creates a client without connecting.
    pub fn new(cfg: ClientConfig) -> Client {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(cfg.connect_timeout))
            // On a connection that is used again, a second copy of a response would be taken
            // for the next one: HTTP/1.1 doesn't name the request that is answered.
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .build()
            .new_agent();
        let rate_limit = TokenBucket::new(cfg.calls_per_second, cfg.burst).into();
        Client {
            cfg,
            agent,
            rate_limit,
        }
    }

    /// Settings.
    pub fn config(&self) -> &ClientConfig {
        &self.cfg
    }

    /// Reads an object; `None` if it does not exist.
    pub fn get(&self, key: &str) -> Result<Option<Object>> {
        self.check_rate_limit()?;
        let req = self.agent.get(self.url(&format!("objects/{key}")));
        match self.parse_reply(self.prepare(req, self.cfg.call_timeout).call()) {
            Ok(object) => Ok(Some(object)),
            Err(Error::Invalid { status: 404 }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Writes an object if the precondition holds.
    pub fn put(
        &self,
        key: &str,
        value: &impl Serialize,
        precondition: Precondition,
    ) -> Result<Revision> {
        let body = encode_body(value)?;
        self.check_rate_limit()?;
        let req = self.agent.put(self.url(&format!("objects/{key}")));
        let req = with_precondition(req, precondition).header("Content-Type", "application/json");
        let written: WriteResponse =
            self.parse_reply(self.prepare(req, self.cfg.call_timeout).send(&body))?;
        Ok(written.revision)
    }

    /// Deletes an object if the precondition holds.
    pub fn delete(&self, key: &str, precondition: Precondition) -> Result<Revision> {
        self.check_rate_limit()?;
        let req = self.agent.delete(self.url(&format!("objects/{key}")));
        let req = with_precondition(req, precondition);
        let written: WriteResponse =
            self.parse_reply(self.prepare(req, self.cfg.call_timeout).call())?;
        Ok(written.revision)
    }

    /// Lists the objects under any of the prefixes.
    pub fn list(&self, prefixes: &[&str]) -> Result<Listing> {
        self.check_rate_limit()?;
        let url = self.url(&format!("list?{}", prefix_query(prefixes)));
        self.parse_reply(
            self.prepare(self.agent.get(url), self.cfg.call_timeout)
                .call(),
        )
    }

    /// Long-polls for changes after a revision, for at most `wait`.
    pub fn watch(&self, prefixes: &[&str], after: Revision, wait: Duration) -> Result<Changes> {
        self.check_rate_limit()?;
        let wait_ms = wait.as_millis();
        let prefixes = prefix_query(prefixes);
        let url = self.url(&format!("watch?{prefixes}after={after}&wait_ms={wait_ms}"));
        let timeout = wait + self.cfg.call_timeout;
        self.parse_reply(self.prepare(self.agent.get(url), timeout).call())
    }

    /// Reads the platform's VM list, which lags behind reality.
    pub fn vms(&self) -> Result<Vec<Vm>> {
        self.check_rate_limit()?;
        let req = self.agent.get(self.url("vms"));
        self.parse_reply(self.prepare(req, self.cfg.call_timeout).call())
    }

    /// Sends a request to an arbitrary path and returns the raw response, whatever
    /// its status. `timeout` covers the whole exchange.
    pub fn exchange(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Reply> {
        self.check_rate_limit()?;
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

    /// Adds the timeout and the bearer token.
    fn prepare<B>(&self, req: RequestBuilder<B>, timeout: Duration) -> RequestBuilder<B> {
        let req = req.config().timeout_global(Some(timeout)).build();
        match &self.cfg.token {
            Some(token) => req.header("Authorization", format!("Bearer {token}")),
            None => req,
        }
    }

    fn parse_reply<T: DeserializeOwned>(
        &self,
        res: Result<Response<Body>, ureq::Error>,
    ) -> Result<T> {
        let reply = read_reply(res, self.cfg.max_response_bytes)?;
        parse(RawResponse {
            status: reply.status,
            retry_after: reply.header("Retry-After"),
            body: &reply.body,
        })
    }

    fn check_rate_limit(&self) -> Result<()> {
        let now = self.cfg.clock.now();
        let mut rate_limit = self
            .rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        rate_limit
            .take(now)
            .map_err(|retry_delay| Error::RateLimited { retry_delay })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.cfg.endpoint)
    }
}

fn encode_body(value: &impl Serialize) -> Result<Vec<u8>> {
    let body = serde_json::to_vec(value).map_err(|e| Error::InvalidValue {
        reason: e.to_string(),
    })?;
    let bytes = body.len();
    if bytes > MAX_VALUE_BYTES {
        let reason = format!("{bytes} bytes; allowed: up to {MAX_VALUE_BYTES}");
        return Err(Error::InvalidValue { reason });
    }
    Ok(body)
}

fn prefix_query(prefixes: &[&str]) -> String {
    prefixes.iter().map(|p| format!("prefix={p}&")).collect()
}

fn with_precondition<B>(req: RequestBuilder<B>, precondition: Precondition) -> RequestBuilder<B> {
    match precondition {
        Precondition::Any => req,
        Precondition::Absent => req.header("If-None-Match", "*"),
        Precondition::Revision(revision) => req.header("If-Match", format!("\"{revision}\"")),
    }
}

fn read_reply(res: Result<Response<Body>, ureq::Error>, max_bytes: u64) -> Result<Reply> {
    let mut res = res.map_err(transport_error)?;
    let status = res.status().as_u16();
    let body = res
        .body_mut()
        .with_config()
        .limit(max_bytes)
        .read_to_vec()
        .map_err(|e| Error::NoResponse {
            reason: e.to_string(),
        })?;
    Ok(Reply {
        status,
        headers: std::mem::take(res.headers_mut()),
        body,
    })
}

/// Only errors that occur before the request is written rule out that it ran.
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
