//! Load of the failure domain: the sum of what its other balancers report.

use std::time::Duration;

use crate::TargetId;

/// Flows and requests of the other balancers at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NeighborLoad {
    /// Open flows.
    pub flows: f64,
    /// Requests in flight.
    pub in_flight: f64,
}

/// Load of a service summed over the failure domain, this balancer excluded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceTotals {
    /// Requests in flight.
    pub in_flight: f64,
    /// Responses per second.
    pub answered_per_s: f64,
    /// Demand by route priority, the most urgent first.
    pub demand: Vec<crate::PriorityDemand>,
}

/// What the other balancers of the failure domain reported lately. Balancers that were
/// not heard count as the mean of the others.
#[derive(Debug, Default)]
pub struct DomainLoad {}

impl DomainLoad {
    /// Load that the other balancers have at a target; `None` while too few are heard.
    pub fn target(&self, _now: Duration, _id: TargetId) -> Option<NeighborLoad> {
        None
    }

    /// Load of a service through the other balancers; `None` while too few are heard.
    pub fn service(&self, _now: Duration, _service: &str) -> Option<ServiceTotals> {
        None
    }
}
