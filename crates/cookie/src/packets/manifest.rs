//! The part of the operator's manifest that the data path uses.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Share of a route's new flows that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// An address that clients connect to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The address.
    pub address: SocketAddrV4,
    /// Services that new flows are split among; never empty.
    pub shares: Vec<Share>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time within which requests should be answered; `None` if there is no goal.
    #[serde(default)]
    pub latency_goal: Option<Duration>,
    /// Priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
}

/// Limits of a service's targets.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceLimits {
    /// The service.
    pub service: Arc<str>,
    /// New flows per second that a target bears while it is warming up; `None` if there
    /// is no limit.
    pub cold_flows_per_s: Option<f64>,
}

/// All routes of one version.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Manifest {
    /// Version set by the operator; increases with each change, not always by 1.
    pub version: u64,
    /// Idle timeout of flows.
    pub flow_idle: Duration,
    /// The routes.
    pub routes: Vec<Route>,
    /// Limits of services that have some.
    #[serde(default)]
    pub services: Vec<ServiceLimits>,
}
