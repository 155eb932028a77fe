//! Injected faults, set in code or over HTTP.

use serde::{Deserialize, Serialize};

/// Simulated outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outage {
    /// Requests are served.
    #[default]
    None,
    /// Requests are refused immediately and do not run.
    Refuse,
    /// Requests do not run and get no response.
    Hang,
}

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Simulated outage.
    pub outage: Outage,
    /// Delay before each request runs, in milliseconds.
    pub delay_ms: u64,
    /// Number of subsequent writes that run but get no response.
    pub lose_answers: u32,
    /// If set, rejects every request as rate limited, with this `Retry-After` in seconds.
    pub over_rate_s: Option<u64>,
}

/// Number of requests received, served or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Object reads, lists and VM list reads.
    pub reads: u64,
    /// Watches; a long poll counts once.
    pub watches: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Requests rejected by the rate limit.
    pub over_rate: u64,
}
