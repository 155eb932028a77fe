//! Backend servers as they register themselves.

use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::Cookie;

/// Identity of a target; it prefixes each datagram, so that a process which
/// took over the address ignores what was meant for another one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub u64);

impl TargetId {
    /// The cookie that names this target, the same on every balancer; never 0.
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

/// Whether a target takes new flows.
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
    /// Takes new flows.
    Ready,
    /// Is about to leave: keeps its flows, gets no new ones.
    Draining,
}

/// What a target says about itself.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TargetEntry {
    /// Identity.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address that datagrams are sent to.
    pub address: SocketAddrV4,
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    /// Requests that it works on at the same time; at least 1.
    pub slots: u32,
    /// Whether it takes new flows.
    pub lifecycle: Lifecycle,
    /// How much longer it is slow after its start, when the entry was written.
    pub cold_for: Duration,
    /// Unix time of its start, in milliseconds; a change means that its flows are gone.
    pub born_ms: Option<u64>,
}
