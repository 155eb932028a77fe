//! Reports of load between the balancers of a failure domain.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::TargetId;

/// Load of one balancer, as it tells the others of its failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of the report; rises with each report of a process.
    pub number: u64,
    /// Its services with recent traffic.
    pub services: Vec<ServiceLoadReport>,
    /// Its targets with open flows.
    pub targets: Vec<TargetLoadReport>,
}

/// Load of one service through one balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoadReport {
    /// The service.
    pub service: Arc<str>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Responses per second.
    pub answered_per_s: f64,
    /// Demand by route priority.
    pub demand: Vec<PriorityDemand>,
}

/// Demand of one priority for a service through one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PriorityDemand {
    /// Priority of the routes; 0 is the most urgent.
    pub priority: u32,
    /// First attempts of new flows per second, accepted or not.
    pub flows_per_s: f64,
    /// Requests per second on open flows.
    pub requests_per_s: f64,
    /// New flows refused per second.
    pub refused_per_s: f64,
}

/// Load of one target through one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoadReport {
    /// The target.
    pub id: TargetId,
    /// Open flows.
    pub flows: u32,
    /// Requests in flight.
    pub in_flight: u32,
}
