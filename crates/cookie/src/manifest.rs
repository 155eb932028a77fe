//! The operators' manifest as far as the data path needs it.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Part of a route's new flows that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// An address that callers connect to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The address.
    pub address: SocketAddrV4,
    /// Services that new flows go to. Never empty.
    pub shares: Vec<Share>,
    /// Whether a request may be sent again after it may have run.
    pub idempotent: bool,
    /// Time within which a request is to be answered; `None` if it has none.
    #[serde(default)]
    pub latency_goal: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
}

/// All routes of one version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Manifest {
    /// Version given by the operator; rises with each change, in irregular steps.
    pub version: u64,
    /// Idle time after which a flow may be forgotten.
    pub flow_idle: Duration,
    /// The routes.
    pub routes: Vec<Route>,
}
