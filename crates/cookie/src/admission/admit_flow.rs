//! Admission of a new flow, from what this balancer knows of the service's targets.

use std::sync::Arc;
use std::time::Duration;

use crate::admission::overload::{Capacity, FULL_PER_SLOT, NewFlow, Room, offered_per_s};
use crate::targets::presence::Target;
use crate::{Balancer, Segment};

/// Part of a cold target's slots that counts as capacity; it takes about twice as long.
const COLD_PART: f64 = 0.5;
/// Part of a service's slots that counts as usable whatever the targets look like.
const MIN_USABLE_PART: f64 = 0.5;

impl Balancer {
    /// Whether admission control accepts a new flow.
    pub(crate) fn admits(&mut self, now: Duration, service: &Arc<str>, seg: &Segment) -> bool {
        self.expire_requests(now);
        let Some(route) = self.routes.get(seg.flow.route) else {
            return true;
        };
        let cfg = &self.cfg.overload;
        if self.overload.is_due(cfg, now, service) {
            let capacity = self.capacity(now, service);
            self.overload.update(cfg, now, service, capacity);
        }
        let flow = NewFlow {
            priority: route.priority,
            client: *seg.flow.client.ip(),
            in_flight: self.usable(now, service).map(|t| t.load.in_flight).sum(),
            room: self.room(now, service),
            // Only a budget asks for it, and it looks at every target.
            has_room: !self.overload.decides_by_budget(cfg, service) || self.has_room(now, service),
        };
        self.overload.admits(cfg, now, service, flow)
    }

    /// Targets of a service that accept new flows and are not suspect.
    fn usable(&self, now: Duration, service: &str) -> impl Iterator<Item = &Target> {
        let keys = self.directory.for_service(service).iter();
        let targets = keys.filter_map(|key| self.directory.get(*key));
        targets.filter(move |target| !target.health.is_suspect(now))
    }

    /// What the targets of a service can do.
    fn capacity(&self, now: Duration, service: &str) -> Capacity {
        let targets = self.usable(now, service);
        let slots = targets.map(|t| usable_slots(now, t)).sum::<f64>();
        // If most targets look suspect, the cause is likely this VM.
        let listed = self.directory.for_service(service).iter();
        let listed = listed.filter_map(|key| self.directory.get(*key));
        let all = listed.map(|t| usable_slots(now, t)).sum::<f64>();
        let others = self.domain_load.service(now, service);
        Capacity {
            slots: slots.max(all * MIN_USABLE_PART),
            others_per_s: others.map_or(0.0, |totals| offered_per_s(&totals.demand)),
            link_per_s: None,
        }
    }

    /// Requests at all targets of a service; `None` if those through other balancers, of
    /// this failure domain or of the others, are unknown.
    fn room(&self, now: Duration, service: &str) -> Option<Room> {
        // A large fleet doesn't know the remote load, and needs no sum of its reports.
        let remote = self.remote_load.service_if_any(now, service)?;
        let local = self.domain_load.service_if_any(now, service)?;
        let offered = offered_per_s(&self.own_load.rates.demand_of(now, service));
        let others = offered_per_s(&local.demand) + offered_per_s(&remote.demand);
        let mut room = Room {
            others: local.in_flight + remote.in_flight,
            own_share: offered / (offered + others).max(f64::EPSILON),
            settled: self.domain_load.is_settled(now),
            ..Room::default()
        };
        for target in self.usable(now, service) {
            let slowness = self.paces.slowness(now, target.entry.id);
            room.slots += usable_slots(now, target) / slowness;
            room.own += f64::from(target.load.in_flight + target.load.opening);
        }
        Some(room)
    }

    /// Whether a target of the service has no more requests than its slots and a short
    /// queue. Without a usable target the last resort decides.
    fn has_room(&self, now: Duration, service: &str) -> bool {
        let mut targets = self.usable(now, service).peekable();
        targets.peek().is_none()
            || targets.any(|target| {
                let others = self.domain_load.target(now, target.entry.id);
                let others = others.map_or(0.0, |load| load.in_flight);
                let in_flight = f64::from(target.load.in_flight) + others;
                let slots = f64::from(target.entry.slots);
                in_flight < slots * FULL_PER_SLOT
            })
    }
}

/// Slots of a target that count as capacity.
fn usable_slots(now: Duration, target: &Target) -> f64 {
    let slots = f64::from(target.entry.slots);
    match now < target.cold_until {
        true => slots * COLD_PART,
        false => slots,
    }
}
