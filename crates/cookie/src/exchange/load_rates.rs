//! Demand and responses per second of each service through this balancer.
//!
//! Handles demand that changes within a second, as bursts do: rates are counts that
//! decay exponentially, so that they follow a change within about one time constant
//! and need no history.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;

use crate::PriorityDemand;

/// Time constant of the rates. The limits on new flows have to follow the load within
/// a second.
const TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Rate below which a counter is removed, in events per second.
const MIN_RATE_PER_S: f64 = 0.01;

/// Events per second, averaged over about [`TIME_CONSTANT`].
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Number of events, decayed to `at`.
    count: f64,
    at: Duration,
}

impl Rate {
    fn record(&mut self, now: Duration) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
    }

    fn per_s(&self, now: Duration) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Demand of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct DemandRates {
    flows: Rate,
    requests: Rate,
    refused: Rate,
}

impl DemandRates {
    fn at(&self, now: Duration, priority: u32) -> PriorityDemand {
        PriorityDemand {
            priority,
            flows_per_s: self.flows.per_s(now),
            requests_per_s: self.requests.per_s(now),
            refused_per_s: self.refused.per_s(now),
        }
    }
}

/// Rates of one service.
#[derive(Clone, Debug, Default)]
struct ServiceRates {
    answered: Rate,
    by_priority: BTreeMap<u32, DemandRates>,
}

impl ServiceRates {
    fn demand(&self, now: Duration) -> Vec<PriorityDemand> {
        let demand = self.by_priority.iter();
        let demand = demand.map(|(priority, rates)| rates.at(now, *priority));
        demand.filter(|d| total(d) >= MIN_RATE_PER_S).collect()
    }
}

/// Rates of all services.
#[derive(Debug, Default)]
pub(crate) struct LoadRates {
    services: HashMap<Arc<str>, ServiceRates>,
}

impl LoadRates {
    /// Records the first SYN of a new flow.
    pub fn record_flow(&mut self, now: Duration, service: &Arc<str>, priority: u32) {
        self.demand(service, priority).flows.record(now);
    }

    /// Records that a new flow was refused.
    pub fn record_refusal(&mut self, now: Duration, service: &Arc<str>, priority: u32) {
        self.demand(service, priority).refused.record(now);
    }

    /// Records a request on an open flow.
    pub fn record_request(&mut self, now: Duration, service: &Arc<str>, priority: u32) {
        self.demand(service, priority).requests.record(now);
    }

    /// Records a response.
    pub fn record_response(&mut self, now: Duration, service: &Arc<str>) {
        self.service(service).answered.record(now);
    }

    /// Services with recent traffic: responses per second and demand by priority.
    pub fn all(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&Arc<str>, f64, Vec<PriorityDemand>)> {
        let services = self.services.iter();
        services.map(move |(name, rates)| (name, rates.answered.per_s(now), rates.demand(now)))
    }

    /// Recent demand for a service by priority.
    pub fn demand_of(&self, now: Duration, service: &str) -> Vec<PriorityDemand> {
        let rates = self.services.get(service);
        rates.map_or_else(Vec::new, |rates| rates.demand(now))
    }

    /// Removes services without recent traffic.
    pub fn sweep(&mut self, now: Duration) {
        self.services.retain(|_, rates| {
            let by_priority = &mut rates.by_priority;
            by_priority.retain(|priority, r| total(&r.at(now, *priority)) >= MIN_RATE_PER_S);
            !rates.by_priority.is_empty() || rates.answered.per_s(now) >= MIN_RATE_PER_S
        });
    }

    fn demand(&mut self, service: &Arc<str>, priority: u32) -> &mut DemandRates {
        self.service(service)
            .by_priority
            .entry(priority)
            .or_default()
    }

    fn service(&mut self, service: &Arc<str>) -> &mut ServiceRates {
        self.services.entry(Arc::clone(service)).or_default()
    }
}

fn total(demand: &PriorityDemand) -> f64 {
    demand.flows_per_s + demand.requests_per_s + demand.refused_per_s
}
