//! Parses platform responses. Must not panic, whatever bytes are received.

use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::http::HeaderMap;

use crate::{Error, Refusal, Result};

/// Cap on the `Retry-After` value of a response.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3_600);

/// A raw response, borrowed.
#[derive(Clone, Copy, Debug)]
pub struct RawResponse<'a> {
    /// HTTP status.
    pub status: u16,
    /// `Retry-After` header, unparsed.
    pub retry_after: Option<&'a str>,
    /// Response body.
    pub body: &'a [u8],
}

/// A complete, unparsed response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Value of a header; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parsed `Retry-After` header.
    pub fn retry_delay(&self) -> Option<Duration> {
        self.header("Retry-After").and_then(parse_retry_after)
    }
}

/// Decodes a success response, or returns the error it stands for.
///
/// A status code alone is no proof that the request did not run: the verdict "not
/// run" requires a [`Refusal`] body with `ran: false`.
pub fn parse<T: DeserializeOwned>(response: RawResponse<'_>) -> Result<T> {
    let status = response.status;
    if (200..300).contains(&status) {
        return serde_json::from_slice(response.body).map_err(|e| invalid(status, &e.to_string()));
    }
    let refusal: Refusal =
        serde_json::from_slice(response.body).map_err(|e| invalid(status, &e.to_string()))?;
    if refusal.ran {
        return Err(invalid(status, &refusal.error));
    }
    Err(match status {
        412 => Error::Conflict {
            current: refusal.current,
        },
        410 => Error::HistoryExpired,
        400 | 401 | 403 | 404 | 413 => Error::Invalid { status },
        _ => Error::Refused {
            status,
            retry_delay: response.retry_after.and_then(parse_retry_after),
        },
    })
}

fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds: u64 = text.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_RETRY_DELAY))
}

fn invalid(status: u16, reason: &str) -> Error {
    Error::InvalidResponse {
        status,
        reason: reason.to_owned(),
    }
}
