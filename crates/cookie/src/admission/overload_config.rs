//! Settings of load shedding.

use std::time::Duration;

/// Load shedding settings.
#[derive(Clone, Copy, Debug)]
pub struct OverloadConfig {
    /// Fraction of a route's latency goal that the median latency may reach; the rest
    /// covers requests that take longer than the median.
    pub goal_fraction: f64,
    /// Multiple of that latency at which a limit begins. Above 1, so that a queue of
    /// usual length while some targets are lost begins none.
    pub begin_factor: f64,
    /// Minimum time between two updates of the limit.
    pub interval: Duration,
    /// Minimum number of responses per update.
    pub min_responses: usize,
    /// Consecutive slow intervals after which new flows are limited. A queue that
    /// lasts for one interval only is a burst that the targets absorb.
    pub slow_intervals: u32,
    /// Requests in flight through this balancer up to which no flow is refused.
    pub min_limit: u32,
    /// Factor on the limit for the most urgent route of a service.
    pub urgent_factor: f64,
    /// Whether a service whose routes differ in priority is limited by its demand
    /// against its capacity, the least urgent first, instead of by requests in flight.
    pub by_priority: bool,
    /// Fraction of a service's requests on flows that had one before, from which that
    /// applies. If most flows carry one request, the limit on requests in flight
    /// controls all of them.
    pub min_lasting: f64,
    /// Time that a response may take in multiples of the service time, the time in the
    /// target's queue included, even if its goal allows more: targets reject what
    /// exceeds a short queue.
    pub max_service_times: f64,
    /// Time for which a refused client stays refused; then others are.
    pub epoch: Duration,
    /// Bytes per second that the VM's link carries, both directions together; `None` if
    /// unknown.
    pub link_bytes_per_s: Option<f64>,
    /// Bytes of headers that each packet takes on the link.
    pub packet_overhead_bytes: u32,
    /// Key of the order in which clients are refused; the same on all balancers.
    pub key: u64,
}

impl Default for OverloadConfig {
    fn default() -> Self {
        Self {
            goal_fraction: 0.6,
            begin_factor: 1.25,
            interval: Duration::from_millis(100),
            min_responses: 8,
            slow_intervals: 2,
            min_limit: 2,
            urgent_factor: 1.25,
            by_priority: true,
            min_lasting: 0.25,
            max_service_times: 5.0,
            epoch: Duration::from_secs(1),
            link_bytes_per_s: None,
            packet_overhead_bytes: 72,
            key: 0,
        }
    }
}
