//! Reports of load between the balancers of a failure domain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Cookie;

/// Load of one balancer, as it tells the others of its failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Random number of the process; another one means that the balancer restarted.
    pub process: u32,
    /// Number of the report; rises with each report of a process.
    pub number: u64,
    /// Time after which the receiver gets the next one; set by the sender, which knows
    /// how many it tells.
    pub turn: Duration,
    /// A balancer of the failure domain that it heard lately, another one each time, so
    /// that all learn of each other.
    pub heard: Option<SocketAddr>,
    /// Its services with recent traffic, those with the most demand first.
    pub services: Vec<ServiceLoadReport>,
    /// Its targets with open flows, the most important to tell first. The sender leaves
    /// out what exceeds its datagram; the receiver counts those as having none.
    pub targets: Vec<TargetLoadReport>,
}

/// Load of one service through one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoadReport {
    /// The service.
    pub service: Arc<str>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Responses per second.
    pub answered_per_s: f64,
    /// Demand by route priority, the most urgent first.
    pub demand: Vec<PriorityDemand>,
}

/// Demand of one priority for a service through one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PriorityDemand {
    /// Priority of the routes; 0 is the most urgent.
    pub priority: u32,
    /// First SYNs of new flows per second, accepted or not; in the log of an overload
    /// without further attempts of clients that were refused.
    pub flows_per_s: f64,
    /// Requests per second sent to targets; in the log of an overload without the first
    /// ones of their flows.
    pub requests_per_s: f64,
    /// New flows refused per second.
    pub refused_per_s: f64,
}

/// Load of one target through one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoadReport {
    /// Cookie of the target; half as long as its identity.
    pub cookie: Cookie,
    /// Open flows.
    pub flows: u32,
    /// Requests in flight.
    pub in_flight: u32,
}
