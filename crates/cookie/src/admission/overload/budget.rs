//! Admission of new flows from demand against capacity, for a service whose routes
//! differ in priority, if enough of its requests are on flows that had one before.
//!
//! Load pattern: for some seconds clients offer several times what all targets can do,
//! partly on long flows. The budget is the rate of requests that the targets answered:
//! when they reject or delay requests, it falls at once to the part that was served;
//! afterwards it rises slowly (AIMD, so that balancers that share the targets reach
//! similar fractions). New flows get what requests on open flows leave. Since the
//! budget is a rate, refusals end as soon as the demand fits into it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::client_rank;
use super::demand::Demand;
use super::priority_order::PriorityOrder;
use super::priority_shares::admitted_fractions;
use super::queueing::{Queueing, Queues};
use super::{Capacity, NewFlow, ResponseSample};
use crate::{OverloadConfig, PriorityDemand};

/// Fraction of rejected requests up to which the targets' queues are short enough:
/// retries of so few find room.
const MAX_REJECTED: f64 = 0.04;
/// Part of the served rate that the budget leaves free, so that queues drain.
const DRAIN_RESERVE: f64 = 0.03;
/// Smallest factor on the sent rate at once.
const MIN_FACTOR: f64 = 0.5;
/// Time within which queues that are too long are to drain.
const DRAIN_TIME_S: f64 = 0.3;
/// Smallest factor on the sent rate for queues to drain.
const MIN_DRAIN: f64 = 0.5;
/// Fraction of the demand by which the budget rises per second. Equal fractions bring
/// balancers together whose budgets differ.
const RISE: f64 = 0.02;
/// The same for the part of the allowed delay that is not used.
const RISE_UNUSED: f64 = 0.2;
/// Delay in proportion to what is allowed that queues drain to.
const SHORT_DELAY: f64 = 0.8;
/// Median response time in service times below which most targets have free slots.
const FREE_SERVICE_TIMES: f64 = 1.75;
/// Fraction of the demand by which the budget exceeds the sent rate while targets have
/// free slots.
const FREE_SLOTS_RISE: f64 = 0.04;
/// Fraction of the requests of some intervals whose responses may be missing in the
/// next ones.
const MAX_MISSING: f64 = 0.4;
/// Least number of these requests, so that the fraction is no accident.
const MIN_EXPECTED: f64 = 100.0;
/// Fraction of the budget below which the demand must fall for refusals to end within
/// an epoch.
const READMIT_BELOW: f64 = 0.9;
/// Factor by which a fraction must fall to do so within an epoch because of the demand,
/// which varies by chance.
const MIN_FRACTION_CUT: f64 = 0.75;
/// Time without refusals after which the budget is forgotten.
const BUDGET_RETENTION: Duration = Duration::from_secs(2);

/// Admission of the new flows of one service.
#[derive(Debug, Default)]
pub(super) struct Budget {
    demand: Demand,
    queueing: Queueing,
    order: PriorityOrder,
    interval_start: Duration,
    /// Requests per second that the targets seem to serve; `None` while all are served.
    budget: Option<f64>,
    /// The budget within what the link and the slots allow, in requests per second;
    /// `None` while all fit.
    limit: Option<f64>,
    /// When the budget was last lowered; responses to earlier requests say nothing
    /// about it.
    lowered_at: Duration,
    /// When the budget last refused a part of the demand.
    refused_at: Duration,
    /// Delay of the last interval, in multiples of what is allowed.
    last_delay: f64,
    /// Requests sent and responses since these were last compared.
    expected: f64,
    answered: u32,
    /// Requests per second sent to targets in the interval before.
    sent_before: f64,
    /// Whether responses have not waited in the targets' queues lately.
    has_free_slots: bool,
    fractions: BTreeMap<u32, f64>,
    epoch: u64,
    /// Room at the targets when the last flow was decided.
    capacity: Capacity,
}

impl Budget {
    /// Counts a request that is not the first on its flow; `recent` if the flow was
    /// opened within an epoch.
    pub fn record_later_request(&mut self, priority: u32, recent: bool) {
        self.demand.record_later_request(priority, recent);
    }

    /// Records the time from a SYN to the client's next packet.
    pub fn record_handshake(&mut self, now: Duration, time: Duration) {
        let overloaded = self.budget.is_some();
        self.queueing.record_handshake(now, time, overloaded);
    }

    /// Counts a response, also one whose latency says nothing.
    pub fn record_answer(&mut self) {
        self.answered += 1;
    }

    /// Records a response.
    pub fn record_response(&mut self, cfg: &OverloadConfig, now: Duration, sample: ResponseSample) {
        // Rejections are quick: until served requests can have been answered too, the
        // responses would be mostly rejections.
        if now < self.lowered_at + self.queueing.allowed() {
            return;
        }
        let overloaded = self.budget.is_some();
        self.queueing.record_response(
            now,
            sample,
            cfg.goal_fraction,
            cfg.max_service_times,
            overloaded,
        );
    }

    /// Whether many requests are on flows that stay open, which a limit on the requests
    /// in flight can't refuse.
    pub fn has_lasting_flows(&self, cfg: &OverloadConfig) -> bool {
        self.demand.lasting() >= cfg.min_lasting
    }

    /// Counts a new flow that was decided elsewhere.
    pub fn record_attempt(&mut self, priority: u32, admitted: bool) {
        self.demand.record_attempt(priority, admitted);
    }

    /// Whether to accept the first SYN of a flow.
    pub fn admits(&mut self, cfg: &OverloadConfig, flow: NewFlow) -> bool {
        let fraction = self.fractions.get(&flow.priority);
        let chosen =
            fraction.is_none_or(|f| client_rank::rank(cfg.key, flow.client, self.epoch) < *f);
        let wanted = chosen && flow.has_room;
        let admitted = self.order.enforce(flow.priority, wanted);
        self.demand.record_attempt(flow.priority, admitted);
        admitted
    }

    /// Ends the interval. `capacity` is that of the targets and of this VM.
    pub fn update(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        wall: Duration,
        capacity: Capacity,
    ) {
        let elapsed = now.saturating_sub(self.interval_start);
        self.interval_start = now;
        self.capacity = capacity;
        self.order = PriorityOrder::default();
        let fractions = &self.fractions;
        let fraction = |priority| fractions.get(&priority).copied().unwrap_or(1.0);
        self.demand.finish_interval(elapsed, fraction);
        if self.queueing.len() >= cfg.min_responses
            && let Some(queues) = self.queueing.finish_interval(self.budget.is_some())
        {
            self.follow_queues(now, queues);
        }
        self.follow_answers(now, elapsed);
        self.raise_budget(elapsed);
        let epoch = client_rank::epoch_at(wall, cfg.epoch);
        self.update_fractions(now, epoch);
    }

    /// Lowers the budget if the targets reject requests or delay them too long.
    fn follow_queues(&mut self, now: Duration, queues: Queues) {
        let sent = self.demand.sent();
        let growing = queues.delay >= self.last_delay;
        self.last_delay = queues.delay;
        let served = if queues.rejected > MAX_REJECTED {
            let served = (1.0 - queues.rejected) * drain_factor(&queues).min(1.0 - DRAIN_RESERVE);
            sent * served.max(MIN_FACTOR)
        } else if queues.delay > 1.0 && growing {
            sent * drain_factor(&queues)
        } else {
            self.has_free_slots = queues.service_times < FREE_SERVICE_TIMES;
            return;
        };
        self.lower_budget(now, served);
    }

    /// Lowers the budget to the rate that was served, by half at most: while packets queue
    /// at this VM's link, few requests arrive, so that the sent rate is too low an estimate.
    fn lower_budget(&mut self, now: Duration, served: f64) {
        if self.budget.is_none() {
            self.queueing.discard_recent(now);
        }
        let least = self.budget.unwrap_or_default() * MIN_FACTOR;
        self.budget = Some(served.max(least));
        self.has_free_slots = false;
        self.lowered_at = now;
        self.queueing.clear();
    }

    /// Lowers the budget if requests remain unanswered: they, or the responses, wait
    /// somewhere, be it in front of this VM's link.
    fn follow_answers(&mut self, now: Duration, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let sent = self.demand.sent();
        self.expected += std::mem::replace(&mut self.sent_before, sent).min(sent) * elapsed;
        if now < self.lowered_at + self.queueing.allowed() {
            self.expected = 0.0;
            self.answered = 0;
        }
        if self.expected < MIN_EXPECTED {
            return;
        }
        let answered = f64::from(std::mem::take(&mut self.answered));
        let answered = answered / std::mem::take(&mut self.expected);
        if answered < 1.0 - MAX_MISSING {
            self.lower_budget(now, sent * answered.max(MIN_FACTOR));
        }
    }

    fn raise_budget(&mut self, elapsed: Duration) {
        let offered = self.demand.offered();
        let unused = (1.0 - self.last_delay).clamp(0.0, 1.0);
        let rise = offered * (RISE + unused * RISE_UNUSED) * elapsed.as_secs_f64();
        let least = match self.has_free_slots {
            true => self.demand.sent() + offered * FREE_SLOTS_RISE,
            false => 0.0,
        };
        self.budget = self.budget.map(|budget| (budget + rise).max(least));
    }

    /// The budget within what this VM's link carries, and what the slots can do even if
    /// only the balancers that it hears of sent requests: queues need not build up to
    /// show that. `None` while all fits.
    fn bounded_budget(&self) -> Option<f64> {
        let offered = self.demand.offered();
        let share = offered / (offered + self.capacity.others_per_s).max(f64::EPSILON);
        let slots = self.slots_per_s().filter(|slots| *slots > 0.0);
        let bounds = [slots.map(|slots| slots * share), self.capacity.link_per_s];
        let exceeded = bounds.into_iter().flatten().filter(|b| offered > *b);
        exceeded.chain(self.budget).reduce(f64::min)
    }

    /// Within an epoch fractions only fall, so that a refused client stays refused, unless
    /// the demand fits again or targets have free slots, so that nobody is displaced.
    fn update_fractions(&mut self, now: Duration, epoch: u64) {
        let offered = self.demand.offered();
        self.limit = self.bounded_budget();
        let Some(limit) = self.limit else {
            self.fractions.clear();
            return;
        };
        if offered > limit {
            self.refused_at = now;
        } else if now >= self.refused_at + BUDGET_RETENTION {
            self.budget = None;
        }
        let wanted = admitted_fractions(limit, self.demand.rates());
        let new_epoch = epoch != self.epoch;
        if new_epoch || self.has_free_slots || offered < limit * READMIT_BELOW {
            self.epoch = epoch;
            self.fractions = wanted;
            return;
        }
        let lowered = self.lowered_at == now;
        for (priority, fraction) in wanted {
            let current = self.fractions.entry(priority).or_insert(1.0);
            if fraction < *current && (lowered || fraction < *current * MIN_FRACTION_CUT) {
                *current = fraction;
            }
        }
    }

    /// Requests per second that may be sent to targets; `None` while all fit.
    pub fn budget_at(&self, now: Duration) -> Option<f64> {
        let known = now < self.interval_start + BUDGET_RETENTION;
        self.limit.filter(|_| known)
    }

    /// Usual time of the path from a client to a target and back.
    pub fn path(&self) -> Option<Duration> {
        self.queueing.path()
    }

    /// Requests per second that the usable slots can process for all balancers.
    pub fn slots_per_s(&self) -> Option<f64> {
        Some(self.capacity.slots / self.queueing.service_time()?)
    }

    /// Requests per second that this VM's link carries, if that is known.
    pub fn link_per_s(&self) -> Option<f64> {
        self.capacity.link_per_s
    }

    /// Demand by priority, the most urgent first.
    pub fn demand(&self) -> impl Iterator<Item = PriorityDemand> {
        let rates = self.demand.rates();
        rates.map(|(priority, rates)| PriorityDemand {
            priority,
            flows_per_s: rates.first,
            requests_per_s: rates.later(),
            refused_per_s: rates.refused,
        })
    }

    /// Whether the interval is over, so that [`Budget::update`] is due.
    pub fn is_due(&self, cfg: &OverloadConfig, now: Duration) -> bool {
        now >= self.interval_start + cfg.interval
    }

    /// Discards what a pause of this process may have delayed.
    pub fn reset(&mut self) {
        self.queueing.clear();
        self.budget = None;
        self.limit = None;
        self.fractions.clear();
    }
}

/// Factor on the served rate for queues that are too long to drain in time.
fn drain_factor(queues: &Queues) -> f64 {
    let excess = queues.delay_s * (1.0 - SHORT_DELAY / queues.delay.max(1.0));
    match queues.delay > 1.0 {
        true => (1.0 - excess / DRAIN_TIME_S).max(MIN_DRAIN),
        false => 1.0,
    }
}
