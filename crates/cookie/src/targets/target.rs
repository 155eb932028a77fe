//! Targets as registered in the store.

use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::Cookie;

/// Identity of a target. It prefixes each datagram, so that another process that took
/// over the address ignores the datagram.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub u64);

impl TargetId {
    /// The cookie that identifies this target, the same on every balancer; never 0.
    pub fn cookie(self) -> Cookie {
        let folded = (self.0 >> 32) as u32 ^ self.0 as u32;
        Cookie(folded.max(1))
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Lifecycle state of a target.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Lifecycle {
    /// Accepts new flows.
    Ready,
    /// About to leave: keeps its flows and gets no new ones.
    Draining,
}

/// Entry that a target registers in the store.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TargetEntry {
    /// Identity.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address to send datagrams to.
    pub address: SocketAddrV4,
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    /// Maximum number of concurrent requests; at least 1.
    pub slots: u32,
    /// Lifecycle state.
    pub lifecycle: Lifecycle,
    /// Remaining warm-up time when the entry was written.
    pub cold_for: Duration,
    /// Unix time of its start, in milliseconds; a change means that its flows are lost.
    pub born_ms: Option<u64>,
}
