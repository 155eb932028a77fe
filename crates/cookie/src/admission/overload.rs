//! Load shedding: which new flows of a service are refused while it has more requests than
//! its targets can process.
//!
//! Without it queues fill, every response is late, and retries add to the load. One of
//! three decides:
//!
//! - [`budget`], requests per second from demand against capacity, if the routes of the
//!   service differ in priority and enough requests are on flows that had one before;
//! - else [`room`], from the requests at all targets, if the load of all balancers is
//!   known, and for some seconds already: until then a share of the demand is a guess, and
//!   a wrong one refuses what would be served late;
//! - else [`in_flight_limit`], on the requests through this balancer. The service is
//!   overloaded while the median latency stays above what the latency goal
//!   allows for several intervals (a standing queue, as in CoDel). Each slow interval
//!   lowers the limit in proportion, every other one raises it by a constant (AIMD), so
//!   that balancers that share the targets reach similar limits without telling each
//!   other.

mod budget;
mod client_rank;
mod demand;
mod in_flight_limit;
mod latency;
mod link;
mod priorities;
mod priority_order;
mod priority_shares;
mod queueing;
mod room;
mod service_time;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};

use budget::Budget;
use in_flight_limit::InFlightLimit;
pub(crate) use latency::ResponseSample;
use link::LinkUse;
use room::Backlog;
pub(crate) use room::{FULL_PER_SLOT, Room};

use crate::{Manifest, OverloadConfig, PriorityDemand, Route};

/// Requests per second that clients have, of what balancers report: those sent, and a
/// third of the refused flows, since a refused client tries three times.
pub(crate) fn offered_per_s(demand: &[PriorityDemand]) -> f64 {
    let requests = demand
        .iter()
        .map(|d| d.requests_per_s + d.refused_per_s / demand::ATTEMPTS);
    requests.sum()
}

/// Start, state or end of refusals for a service; logged.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadChange {
    /// The service.
    pub service: Arc<str>,
    /// Limit on its requests in flight through this balancer; `None` if it has none.
    pub limit: Option<u32>,
    /// Requests per second that this balancer may send to its targets; `None` if all
    /// fit, or if its routes don't differ in priority.
    pub budget_per_s: Option<u32>,
    /// Requests per second that the usable slots can process for all balancers; `None`
    /// before enough responses were seen.
    pub slots_per_s: Option<u32>,
    /// Requests per second that this VM's link carries; `None` if that is unknown.
    pub link_per_s: Option<u32>,
    /// Demand by priority through this balancer, the most urgent first; empty if its
    /// routes don't differ in priority.
    pub demand: Vec<PriorityDemand>,
    /// Requests in flight when it was last checked.
    pub in_flight: u32,
    /// Responses per second in the last interval.
    pub responses_per_s: u32,
    /// New flows accepted since the last report.
    pub accepted: u32,
    /// New flows refused since the last report.
    pub refused: u32,
}

impl OverloadChange {
    /// Whether the service is no longer overloaded.
    pub fn has_ended(&self) -> bool {
        self.limit.is_none() && self.budget_per_s.is_none()
    }
}

/// What the targets of a service and this VM can do, for one interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// Slots of the targets that are neither silent nor suspect, but at least half of
    /// all; those of cold targets count in part.
    pub slots: f64,
    /// Requests per second of the other balancers, as far as they are known.
    pub others_per_s: f64,
    /// Requests per second that this VM's link carries, both directions together, if that
    /// is known.
    pub link_per_s: Option<f64>,
}

/// A new flow of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewFlow {
    /// Priority of the route.
    pub priority: u32,
    /// Address of the client.
    pub client: Ipv4Addr,
    /// Requests of the service that are unanswered, through this balancer.
    pub in_flight: u32,
    /// Whether a target has no more requests than its slots and a short queue.
    pub has_room: bool,
    /// Requests at all targets of the service, if they are known.
    pub room: Option<Room>,
}

/// Load of all services.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    limits: HashMap<Arc<str>, InFlightLimit>,
    /// Services whose routes with a latency goal differ in priority.
    by_priority: HashSet<Arc<str>>,
    /// Shortest latency goal of the routes of each service.
    goals: HashMap<Arc<str>, Duration>,
    backlogs: HashMap<Arc<str>, Backlog>,
    budgets: HashMap<Arc<str>, Budget>,
    /// Time since the Unix epoch minus the monotonic time.
    wall_offset: Duration,
    link: LinkUse,
}

impl Overload {
    /// Finds the goals of the services, and whose routes differ in priority.
    pub fn apply_manifest(&mut self, manifest: &Manifest) {
        let mut priorities: BTreeMap<&Arc<str>, HashSet<u32>> = BTreeMap::new();
        let routes = manifest.routes.iter();
        let mut goals: HashMap<Arc<str>, Duration> = HashMap::new();
        for route in routes {
            let Some(goal) = route.latency_goal else {
                continue;
            };
            for share in &route.shares {
                let used = priorities.entry(&share.service).or_default();
                used.insert(route.priority);
                let least = goals.entry(Arc::clone(&share.service)).or_insert(goal);
                *least = goal.min(*least);
            }
        }
        let differ = priorities.into_iter().filter(|(_, used)| used.len() > 1);
        self.by_priority = differ.map(|(service, _)| Arc::clone(service)).collect();
        self.budgets.retain(|s, _| goals.contains_key(s));
        self.backlogs.retain(|s, _| goals.contains_key(s));
        self.goals = goals;
    }

    /// Sets the wall clock, which all balancers derive the same epochs from.
    pub fn set_wall_clock(&mut self, now: Duration, wall: Duration) {
        self.wall_offset = wall.saturating_sub(now);
    }

    fn uses_priorities(&self, cfg: &OverloadConfig, service: &str) -> bool {
        cfg.by_priority && self.by_priority.contains(service)
    }

    fn budget_mut(&mut self, service: &Arc<str>) -> Option<&mut Budget> {
        if !self.goals.contains_key(service) {
            return None;
        }
        Some(self.budgets.entry(Arc::clone(service)).or_default())
    }

    /// Whether a budget decides on the new flows of a service instead of the limit.
    pub fn decides_by_budget(&self, cfg: &OverloadConfig, service: &str) -> bool {
        let budget = self.budgets.get(service);
        self.uses_priorities(cfg, service) && budget.is_some_and(|b| b.has_lasting_flows(cfg))
    }

    /// Records the time from a SYN to the client's next packet.
    pub fn record_handshake(&mut self, now: Duration, service: &Arc<str>, time: Duration) {
        if let Some(budget) = self.budget_mut(service) {
            budget.record_handshake(now, time);
        }
    }

    /// Counts a response, also one whose latency says nothing.
    pub fn record_answer(&mut self, service: &Arc<str>) {
        if let Some(budget) = self.budget_mut(service) {
            budget.record_answer();
        }
    }

    /// Counts a request; `age` is that of its flow if it is not the first one there.
    pub fn record_request(
        &mut self,
        cfg: &OverloadConfig,
        service: &Arc<str>,
        route: &Route,
        age: Option<Duration>,
    ) {
        self.link.record_request();
        if let (Some(age), Some(budget)) = (age, self.budget_mut(service)) {
            budget.record_later_request(route.priority, age < cfg.epoch);
        }
    }

    /// Counts a packet that is forwarded with this much data.
    pub fn record_forwarded(&mut self, cfg: &OverloadConfig, data_bytes: u16) {
        let bytes = cfg.packet_overhead_bytes + u32::from(data_bytes);
        self.link.record_forwarded(bytes);
    }

    /// Counts a reset.
    pub fn record_reset(&mut self, cfg: &OverloadConfig) {
        self.link.record_reset(cfg.packet_overhead_bytes);
    }

    /// Whether [`Overload::update`] is due before a new flow of the service.
    pub fn is_due(&self, cfg: &OverloadConfig, now: Duration, service: &str) -> bool {
        let budget = self.budgets.get(service);
        self.goals.contains_key(service) && budget.is_none_or(|b| b.is_due(cfg, now))
    }

    /// Ends an interval of a service whose routes differ in priority.
    pub fn update(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        service: &Arc<str>,
        capacity: Capacity,
    ) {
        let mut budgets = self.budgets.values();
        let overloaded = budgets.any(|b| b.budget_at(now).is_some());
        self.link.update(now, cfg.interval, overloaded);
        let link_per_s = cfg
            .link_bytes_per_s
            .and_then(|capacity| self.link.requests_per_s(capacity));
        let capacity = Capacity {
            link_per_s,
            ..capacity
        };
        let wall = now + self.wall_offset;
        if let Some(budget) = self.budget_mut(service) {
            budget.update(cfg, now, wall, capacity);
        }
    }

    /// Records a response to a request that was not retransmitted.
    pub fn record(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        service: &Arc<str>,
        sample: ResponseSample,
    ) {
        let load = self.limits.entry(Arc::clone(service)).or_default();
        load.record(cfg, now, sample);
        if sample.found_free {
            let backlog = self.backlogs.entry(Arc::clone(service)).or_default();
            backlog.record(sample.latency);
        }
        if let Some(budget) = self.budget_mut(service) {
            budget.record_response(cfg, now, sample);
        }
    }

    /// Whether to accept a new flow.
    pub fn admits(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        service: &Arc<str>,
        flow: NewFlow,
    ) -> bool {
        let by_budget = match self.decides_by_budget(cfg, service) {
            true => self.budget_mut(service).map(|b| b.admits(cfg, flow)),
            false => None,
        };
        let decided = by_budget.or_else(|| self.admits_by_room(cfg, now, service, flow));
        let load = self.limits.get_mut(service);
        let admitted = match (decided, load) {
            (Some(admitted), Some(load)) => load.record_decision(flow.in_flight, admitted),
            (Some(admitted), None) => admitted,
            (None, Some(load)) => load.admits(cfg, now, flow.priority, flow.in_flight),
            (None, None) => true,
        };
        if by_budget.is_none()
            && let Some(budget) = self.budget_mut(service)
        {
            budget.record_attempt(flow.priority, admitted);
        }
        admitted
    }

    /// Whether to accept a new flow, if the requests at all targets are known.
    fn admits_by_room(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        service: &Arc<str>,
        flow: NewFlow,
    ) -> Option<bool> {
        let room = flow.room?;
        let goal = self.goals.get(service)?.mul_f64(cfg.goal_fraction);
        let budget = self.budgets.get(service);
        let path = budget.and_then(Budget::path);
        let load = self.limits.get(service);
        let urgent_factor = match load.is_some_and(|load| load.is_urgent(flow.priority)) {
            true => cfg.urgent_factor,
            false => 1.0,
        };
        let backlog = self.backlogs.entry(Arc::clone(service)).or_default();
        backlog.observe(room);
        if !room.settled {
            return None;
        }
        let per_slot = backlog.goal_per_slot(goal, path);
        Some(backlog.admits(now, room, per_slot, cfg.min_limit.into(), urgent_factor))
    }

    /// Limit on a service's requests in flight; `None` if it is not overloaded.
    pub fn limit(&self, now: Duration, service: &str) -> Option<u32> {
        self.limits.get(service)?.limit_at(now)
    }

    /// Whether the service is overloaded, by the limit or the budget.
    pub fn is_overloaded(&self, now: Duration, service: &str) -> bool {
        self.limit(now, service).is_some() || self.budget(now, service).is_some()
    }

    /// Requests per second that may be sent to the targets of a service; `None` while
    /// all fit.
    pub fn budget(&self, now: Duration, service: &str) -> Option<f64> {
        self.budgets.get(service)?.budget_at(now)
    }

    /// Whether a request with this latency goal that is unanswered for `age` takes
    /// many times as long as the service's fastest ones.
    pub fn is_abnormal(&self, service: &str, goal: Duration, age: Duration) -> bool {
        let load = self.limits.get(service);
        load.is_some_and(|load| load.is_abnormal(goal, age))
    }

    /// Returns the services that are overloaded, and those that no longer are since
    /// the last call.
    pub fn take_changes(&mut self, cfg: &OverloadConfig, now: Duration) -> Vec<OverloadChange> {
        let budgets = &mut self.budgets;
        let mut changes = Vec::new();
        for (service, load) in &mut self.limits {
            let budget = budgets.get_mut(service);
            let budget = budget.filter(|b| b.has_lasting_flows(cfg));
            let per_s = budget.as_ref().and_then(|b| b.budget_at(now));
            let by_room = self.backlogs.get(service).and_then(|b| b.limit_at(now));
            let decided = match (budget.is_some(), by_room) {
                (true, _) => Some(per_s.is_some()),
                (false, Some(_)) => Some(true),
                (false, None) => None,
            };
            let Some(mut change) = load.take_change(now, service, decided) else {
                continue;
            };
            change.limit = by_room.or(change.limit);
            if let Some(budget) = budget {
                change.budget_per_s = per_s.map(|b| b.round() as u32);
                change.slots_per_s = budget.slots_per_s().map(|s| s.round() as u32);
                change.link_per_s = budget.link_per_s().map(|l| l.round() as u32);
                change.demand = budget.demand().collect();
            }
            changes.push(change);
        }
        changes
    }

    /// Discards responses that a pause of this process may have delayed.
    pub fn reset(&mut self) {
        for load in self.limits.values_mut() {
            load.reset();
        }
        for budget in self.budgets.values_mut() {
            budget.reset();
        }
    }
}
