//! Load of the failure domain: the sum of what its other balancers report.
//!
//! Handles load that one balancer can't see: with many balancers, each has few of a
//! target's flows, so that a target with a long queue looks idle to most of them.
//!
//! Each balancer reports to the others in turn. One that was not heard in time, because
//! a report was lost or its turn has not come, counts as the mean of those heard, since
//! zero would invite flows. One that was heard before and is silent for [`GONE_AFTER`]
//! has stopped: its clients' packets now reach others.

use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashMap;

use crate::{Cookie, LoadReport, PriorityDemand, ServiceLoadReport, TargetId};

/// Age at which a report no longer counts, unless the sender's turn takes longer.
const MIN_RETENTION: Duration = Duration::from_secs(1);
/// Longest age at which a report counts.
const MAX_RETENTION: Duration = Duration::from_secs(2);
/// Multiple of the sender's turn for which its report counts, as turns vary.
const TURN_FACTOR: f64 = 1.25;
/// Time without a report after which a balancer that was heard has stopped.
const GONE_AFTER: Duration = Duration::from_secs(3);
/// Time without [`DomainLoad::refresh`] after which nothing is known: the exchange has
/// stopped.
const STALE_AFTER: Duration = Duration::from_millis(1_500);
/// Time after the exchange began until rates have settled, here and at others that may
/// have started at the same time.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Maximum number of balancers remembered; twice as many as a balancer knows.
const MAX_NEIGHBORS: usize = 128;

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
    pub demand: Vec<PriorityDemand>,
}

/// Another balancer of the failure domain that was heard.
#[derive(Debug)]
struct Neighbor {
    heard_at: Duration,
    process: u32,
    /// The process before its last restart, whose late reports are ignored.
    previous_process: Option<u32>,
    number: u64,
    /// Its last report while that counts; part of [`DomainLoad::targets`].
    report: Option<LoadReport>,
}

impl Neighbor {
    fn is_newer(&self, report: &LoadReport) -> bool {
        match report.process == self.process {
            true => report.number > self.number,
            false => Some(report.process) != self.previous_process,
        }
    }

    /// Whether its report no longer counts.
    fn is_outdated(&self, now: Duration) -> bool {
        let turn = self.report.as_ref().map_or(Duration::ZERO, |r| r.turn);
        let retention = turn.min(MAX_RETENTION).mul_f64(TURN_FACTOR);
        now >= self.heard_at + retention.clamp(MIN_RETENTION, MAX_RETENTION)
    }

    fn is_gone(&self, now: Duration) -> bool {
        now >= self.heard_at + GONE_AFTER
    }
}

/// Sum of the reports that count, for one target.
#[derive(Clone, Copy, Debug, Default)]
struct TargetSum {
    flows: u64,
    in_flight: u64,
}

/// What the other balancers of the failure domain reported lately. Balancers that were
/// not heard count as the mean of the others.
#[derive(Debug, Default)]
pub struct DomainLoad {
    neighbors: HashMap<SocketAddr, Neighbor>,
    /// Sums over the neighbors whose report counts.
    targets: HashMap<Cookie, TargetSum>,
    /// Number of neighbors whose report counts.
    heard: usize,
    /// Number of other balancers that run, as of `refreshed_at`.
    expected: usize,
    /// Address of this balancer.
    own: Option<SocketAddr>,
    /// Other balancers of the failure domain that run as far as others know.
    known: Vec<SocketAddr>,
    /// Balancers that others heard, and when they last said so.
    mentioned: HashMap<SocketAddr, Duration>,
    refreshed_at: Option<Duration>,
    /// When the exchange began.
    started_at: Option<Duration>,
}

impl DomainLoad {
    /// Load that the other balancers have at a target; `None` while too few are heard.
    pub fn target(&self, now: Duration, id: TargetId) -> Option<NeighborLoad> {
        let scale = self.scale(now)?;
        let sum = self.targets.get(&id.cookie()).copied().unwrap_or_default();
        Some(NeighborLoad {
            flows: sum.flows as f64 * scale,
            in_flight: sum.in_flight as f64 * scale,
        })
    }

    /// Load of a service through the other balancers; `None` while too few are heard.
    pub fn service(&self, now: Duration, service: &str) -> Option<ServiceTotals> {
        let scale = self.scale(now)?;
        let reports = self.neighbors.values().filter_map(|n| n.report.as_ref());
        let mut totals = ServiceTotals::default();
        for report in reports.flat_map(|r| &r.services) {
            if *report.service == *service {
                totals.add(report);
            }
        }
        totals.scale(scale);
        Some(totals)
    }

    /// Load of a service through the other balancers, which is none if there are no others;
    /// `None` while too few are heard.
    pub(crate) fn service_if_any(&self, now: Duration, service: &str) -> Option<ServiceTotals> {
        match self.is_alone(now) {
            true => Some(ServiceTotals::default()),
            false => self.service(now, service),
        }
    }

    /// A balancer whose report counts, another one for each number.
    pub(crate) fn heard_peer(&self, number: u64) -> Option<SocketAddr> {
        let counting = self.neighbors.iter().filter(|(_, n)| n.report.is_some());
        let position = number.checked_rem(self.heard as u64)?;
        let mut addresses = counting.map(|(address, _)| *address);
        addresses.nth(position as usize)
    }

    /// Number of balancers whose report counts.
    pub fn heard(&self) -> usize {
        self.heard
    }

    /// Number of other balancers of the failure domain that are known to run.
    pub fn expected(&self) -> usize {
        self.expected.max(self.heard)
    }

    /// Age of the oldest report that counts; zero if there is none.
    pub fn age(&self, now: Duration) -> Duration {
        let counting = self.neighbors.values().filter(|n| n.report.is_some());
        let oldest = counting.map(|n| n.heard_at).min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Records a report; returns whether it counts. Older ones than the last, which the
    /// network may deliver late, don't, and none does before the first
    /// [`DomainLoad::refresh`]: this balancer takes no part in the exchange.
    pub(crate) fn record(&mut self, now: Duration, from: SocketAddr, report: LoadReport) -> bool {
        let known = self.neighbors.get(&from);
        if self.refreshed_at.is_none() || known.is_some_and(|n| !n.is_newer(&report)) {
            return false;
        }
        if known.is_none() && self.neighbors.len() >= MAX_NEIGHBORS {
            return false;
        }
        let last = self.neighbors.remove(&from);
        let (process, number) = (report.process, report.number);
        let previous_process = match &last {
            Some(last) if last.process != process => Some(last.process),
            Some(last) => last.previous_process,
            None => None,
        };
        if let Some(last) = last.and_then(|n| n.report) {
            self.subtract(&last);
        }
        self.add(&report);
        let mentioned = report.heard;
        let neighbor = Neighbor {
            heard_at: now,
            process,
            previous_process,
            number,
            report: Some(report),
        };
        self.neighbors.insert(from, neighbor);
        if let Some(peer) = mentioned.filter(|peer| Some(*peer) != self.own) {
            self.record_mention(now, peer);
        }
        true
    }

    fn record_mention(&mut self, now: Duration, peer: SocketAddr) {
        if self.mentioned.len() < MAX_NEIGHBORS || self.mentioned.contains_key(&peer) {
            self.mentioned.insert(peer, now);
        }
    }

    /// Removes old reports and updates the balancers of the failure domain that are
    /// known. To be called several times a second. Returns whom to tell the own load,
    /// in order.
    pub(crate) fn refresh(
        &mut self,
        now: Duration,
        own: SocketAddr,
        known: Vec<SocketAddr>,
    ) -> Vec<SocketAddr> {
        self.own = Some(own);
        self.known = known;
        self.refreshed_at = Some(now);
        self.started_at.get_or_insert(now);
        self.mentioned.retain(|_, at| now < *at + GONE_AFTER);
        self.expire_reports(now);
        self.count_expected(now);
        self.recipients(now)
    }

    fn expire_reports(&mut self, now: Duration) {
        let neighbors = self.neighbors.values_mut();
        let old = neighbors.filter(|n| n.is_outdated(now));
        let old: Vec<LoadReport> = old.filter_map(|n| n.report.take()).collect();
        for report in &old {
            self.subtract(report);
        }
        // Those that have stopped are remembered while others name them, since they would
        // count as unheard otherwise.
        let (known, mentioned) = (&self.known, &self.mentioned);
        let named = |a: &SocketAddr| known.contains(a) || mentioned.contains_key(a);
        self.neighbors.retain(|a, n| !n.is_gone(now) || named(a));
    }

    /// All balancers that may run, also those that were never heard.
    fn recipients(&self, now: Duration) -> Vec<SocketAddr> {
        let running = self.neighbors.iter().filter(|(_, n)| !n.is_gone(now));
        let mut all = self.known.clone();
        all.extend(self.mentioned.keys());
        all.extend(running.map(|(address, _)| *address));
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Whether the exchange has run for so long that shares of the demand are certain.
    pub(crate) fn is_settled(&self, now: Duration) -> bool {
        self.started_at.is_some_and(|at| now >= at + SETTLED_AFTER)
    }

    /// Whether no other balancer is known.
    fn is_alone(&self, now: Duration) -> bool {
        self.is_refreshed(now) && self.expected() == 0
    }

    fn is_refreshed(&self, now: Duration) -> bool {
        self.refreshed_at.is_some_and(|at| now < at + STALE_AFTER)
    }

    /// Factor on sums to include the balancers that were not heard.
    fn scale(&self, now: Duration) -> Option<f64> {
        let enough = self.heard > 0 && 2 * self.heard >= self.expected();
        (self.is_refreshed(now) && enough).then(|| self.expected() as f64 / self.heard as f64)
    }

    fn count_expected(&mut self, now: Duration) {
        let mut unheard: Vec<&SocketAddr> = self.known.iter().collect();
        unheard.extend(self.mentioned.keys());
        unheard.retain(|address| !self.neighbors.contains_key(*address));
        unheard.sort_unstable();
        unheard.dedup();
        let running = self.neighbors.values().filter(|n| !n.is_gone(now)).count();
        self.expected = unheard.len() + running;
    }

    fn add(&mut self, report: &LoadReport) {
        self.heard += 1;
        for target in &report.targets {
            let sum = self.targets.entry(target.cookie).or_default();
            sum.flows += u64::from(target.flows);
            sum.in_flight += u64::from(target.in_flight);
        }
    }

    fn subtract(&mut self, report: &LoadReport) {
        self.heard -= 1;
        for target in &report.targets {
            let Some(sum) = self.targets.get_mut(&target.cookie) else {
                continue;
            };
            sum.flows -= u64::from(target.flows);
            sum.in_flight -= u64::from(target.in_flight);
            if sum.flows == 0 && sum.in_flight == 0 {
                self.targets.remove(&target.cookie);
            }
        }
    }
}

impl ServiceTotals {
    fn add(&mut self, report: &ServiceLoadReport) {
        self.in_flight += f64::from(report.in_flight);
        self.answered_per_s += report.answered_per_s;
        for demand in &report.demand {
            let priority = demand.priority;
            let position = self.demand.binary_search_by_key(&priority, |d| d.priority);
            let position = position.unwrap_or_else(|position| {
                let none = PriorityDemand {
                    priority,
                    ..PriorityDemand::default()
                };
                self.demand.insert(position, none);
                position
            });
            let total = &mut self.demand[position];
            total.flows_per_s += demand.flows_per_s;
            total.requests_per_s += demand.requests_per_s;
            total.refused_per_s += demand.refused_per_s;
        }
    }

    fn scale(&mut self, factor: f64) {
        self.in_flight *= factor;
        self.answered_per_s *= factor;
        for demand in &mut self.demand {
            demand.flows_per_s *= factor;
            demand.requests_per_s *= factor;
            demand.refused_per_s *= factor;
        }
    }
}
