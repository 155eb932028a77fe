//! Admission of new flows by the requests at all targets of a service.
//!
//! Load pattern: clients open a flow for each request and send more than all targets can
//! do, for a moment or for seconds. A backlog that drains soon is served late, since a
//! refused client comes back at once and then gives up. While more arrives than can be
//! served, every request that waits delays those behind it: the queues are then kept so
//! short that what is accepted meets its goal, and the rest is refused at once.
//!
//! What other balancers have in flight is known from their reports, which are as old as
//! their turn: if all took the room that these show, they would fill it together. While
//! requests wait, each therefore keeps to its share of the demand, so that they refuse
//! equal parts of it.

use std::time::Duration;

use super::service_time::ServiceTime;

/// Requests per slot at which the queue of a target is so long that it rejects more.
pub(crate) const FULL_PER_SLOT: f64 = 4.0;
/// Requests per slot below which hardly any waits, so that a backlog has drained.
const DRAINED_PER_SLOT: f64 = 1.25;
/// Least number of requests per slot that may be at the targets, so that none of the
/// slots is free while its next request is on the way.
const MIN_PER_SLOT: f64 = 1.5;
/// Time within which a backlog is to drain. Clients wait for longer than that.
const BACKLOG_DRAINS_WITHIN: Duration = Duration::from_secs(2);

/// Time without refusals after which a service is no longer reported as overloaded.
const REFUSALS_END_AFTER: Duration = Duration::from_secs(1);

/// Requests at the targets of a service, and the slots for them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    /// Slots of the targets that are in use.
    pub slots: f64,
    /// Requests through this balancer, and flows about to bring one.
    pub own: f64,
    /// Requests in flight through all other balancers.
    pub others: f64,
    /// Part of the demand that comes through this balancer, from 0 to 1.
    pub own_share: f64,
    /// Whether that part is certain. Soon after a start it is a guess, by which no flow
    /// is refused.
    pub settled: bool,
}

impl Room {
    fn per_slot(&self) -> f64 {
        (self.own + self.others) / self.slots.max(f64::EPSILON)
    }

    /// Whether new requests wait at most targets.
    fn is_crowded(&self) -> bool {
        self.per_slot() >= DRAINED_PER_SLOT
    }

    /// Requests through this balancer while all targets have this many.
    fn own_limit(&self, per_slot: f64, least: f64) -> f64 {
        (per_slot * self.slots * self.own_share).max(least)
    }

    fn admits(&self, per_slot: f64, least: f64) -> bool {
        self.per_slot() < DRAINED_PER_SLOT || self.own < self.own_limit(per_slot, least)
    }
}

/// Whether the targets of a service have been crowded for long.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// Since when requests have been waiting for too long; `None` once they have drained.
    since: Option<Duration>,
    /// Whether hardly any request waited when the last flow was decided.
    drained: bool,
    service_time: ServiceTime,
    /// When a flow was last refused, and the limit on the requests through this balancer.
    refused: Option<(Duration, f64)>,
}

impl Backlog {
    /// Records the latency of a request that found a free slot as far as is known.
    pub fn record(&mut self, latency: Duration) {
        if self.drained {
            self.service_time.record(latency);
        }
    }

    /// Records the requests at all targets when a flow is about to be decided. The service
    /// time is learnt from then on, before the room decides: under an overload that begins
    /// with the first decision it could not be.
    pub fn observe(&mut self, room: Room) {
        self.drained = !room.is_crowded();
    }

    /// Requests per slot with which the last one is still answered within `allowed`, its
    /// wait included; as many as a target takes while the service time is unknown.
    pub fn goal_per_slot(&self, allowed: Duration, path: Option<Duration>) -> f64 {
        let fitting = path.and_then(|path| self.service_time.fitting(allowed, path));
        let per_slot = fitting.unwrap_or(FULL_PER_SLOT);
        per_slot.clamp(MIN_PER_SLOT, FULL_PER_SLOT)
    }

    /// Whether to accept a new flow after [`Backlog::observe`]. `per_slot` are the requests
    /// per slot that meet their goals, `least` those through this balancer up to which it
    /// refuses none, `urgent_factor` a factor on the limit for the flow's priority.
    pub fn admits(
        &mut self,
        now: Duration,
        room: Room,
        per_slot: f64,
        least: f64,
        urgent_factor: f64,
    ) -> bool {
        if self.drained {
            self.since = None;
        } else if room.per_slot() >= per_slot {
            self.since.get_or_insert(now);
        }
        let limit = match self.lasts(now) {
            true => per_slot,
            false => FULL_PER_SLOT,
        };
        let limit = limit * urgent_factor;
        let admitted = room.admits(limit, least);
        if !admitted {
            self.refused = Some((now, room.own_limit(limit, least)));
        }
        admitted
    }

    /// Limit on the requests through this balancer; `None` if no flow was refused lately.
    pub fn limit_at(&self, now: Duration) -> Option<u32> {
        let (at, limit) = self.refused?;
        (now < at + REFUSALS_END_AFTER).then_some(limit.round() as u32)
    }

    /// Whether the queues are to be kept short.
    fn lasts(&self, now: Duration) -> bool {
        self.since
            .is_some_and(|since| now >= since + BACKLOG_DRAINS_WITHIN)
    }
}
