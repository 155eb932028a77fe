//! Reading the platform's answers. Any bytes may come: nothing here panics.

use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::{Error, Refusal, Result};

/// Longest time to come back that is believed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3_600);

/// An answer as it came.
#[derive(Clone, Copy, Debug)]
pub struct RawResponse<'a> {
    /// HTTP status.
    pub status: u16,
    /// Text of the `Retry-After` header.
    pub retry_after: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

/// A whole answer that no one has looked into.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Text of the `Retry-After` header.
    pub retry_after: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// When the platform asks to be called again.
    pub fn retry_delay(&self) -> Option<Duration> {
        self.retry_after.as_deref().and_then(retry_delay)
    }
}

/// Reads a success, or turns the answer into an error.
///
/// Only a body that says so makes an error with the verdict "not run".
pub fn parse<T: DeserializeOwned>(answer: RawResponse<'_>) -> Result<T> {
    let status = answer.status;
    if (200..300).contains(&status) {
        return serde_json::from_slice(answer.body).map_err(|e| bad(status, &e.to_string()));
    }
    let refusal: Refusal =
        serde_json::from_slice(answer.body).map_err(|e| bad(status, &e.to_string()))?;
    if refusal.ran {
        return Err(bad(status, &refusal.error));
    }
    Err(match status {
        412 => Error::Conflict {
            current: refusal.current,
        },
        410 => Error::HistoryExpired,
        400 | 401 | 403 | 404 | 413 => Error::Invalid { status },
        _ => Error::Refused {
            status,
            retry_delay: answer.retry_after.and_then(retry_delay),
        },
    })
}

fn retry_delay(text: &str) -> Option<Duration> {
    let seconds: u64 = text.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_RETRY_DELAY))
}

fn bad(status: u16, reason: &str) -> Error {
    Error::InvalidResponse {
        status,
        reason: reason.to_owned(),
    }
}
