//! The decision on each packet.

use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::decision::{Decision, DropReason, PlaceReason, ResetReason};
use crate::directory::Target;
use crate::flows::Flow;
use crate::silence::doubt;
use crate::{Balancer, Candidate, Cookie, FlowId, Route, Segment, Suspicion, TargetKey, choose};

impl Balancer {
    /// Decides on a caller's packet.
    pub fn decide(&mut self, now: Duration, seg: &Segment) -> Decision {
        if !self.is_ready() {
            return Decision::Drop(DropReason::NotReady);
        }
        if seg.flags.syn {
            return self.decide_opening(now, seg);
        }
        if self.routes.was_removed(seg.flow.route) {
            self.end_flow(&seg.flow);
            return reset(seg, ResetReason::RouteRemoved);
        }
        self.decide_following(now, seg)
    }

    fn decide_opening(&mut self, now: Duration, seg: &Segment) -> Decision {
        let Some(route) = self.routes.get(seg.flow.route) else {
            return reset(seg, ResetReason::NoRoute);
        };
        let service = self.service_of(&seg.flow, route);
        let earlier = self.flows.get(&seg.flow);
        let copy = earlier.is_some() && seg.ack > 0;
        if now < self.held_up_until || (copy && earlier.is_some_and(|flow| flow.open)) {
            return Decision::Drop(DropReason::HeldUp);
        }
        if copy && earlier.is_some_and(|flow| seg.ack <= flow.copies) {
            return self.repeat_opening(now, seg, &service, earlier);
        }
        if let Some(flow) = earlier {
            self.end_flow(&seg.flow);
            if copy && let Some(target) = self.directory.get_mut(flow.target) {
                target.health.repeated(now, flow.sent, &self.cfg.health);
                doubt(&self.cfg, &mut self.pending, now, target);
            }
        }
        // A copy is never refused: the one before may have opened the flow.
        let first = seg.ack == 0 && earlier.is_none();
        if first && self.refuses(now, &service, seg) {
            return reset(seg, ResetReason::Overloaded);
        }
        let avoid = match earlier.filter(|_| copy) {
            Some(flow) => Some(flow.target),
            None => self.attempts.failed(now, &seg.flow),
        };
        let Some(key) = self.place(now, &service, avoid) else {
            return reset(seg, ResetReason::NoTarget);
        };
        self.start_flow(now, seg, key);
        let reason = match copy {
            true => PlaceReason::Moved,
            false => PlaceReason::Placed,
        };
        self.forward(key, Some(seg), reason)
    }

    /// Whether the service's targets can't keep up, and this flow is among those
    /// that are turned away for it.
    fn refuses(&mut self, now: Duration, service: &str, seg: &Segment) -> bool {
        let Some(route) = self.routes.get(seg.flow.route) else {
            return false;
        };
        let point = self.rng.random();
        !self.overload.admits(now, service, route.priority, point)
    }

    /// The network delivered the same copy twice.
    fn repeat_opening(
        &mut self,
        now: Duration,
        seg: &Segment,
        service: &str,
        earlier: Option<Flow>,
    ) -> Decision {
        let still = earlier.filter(|f| self.directory.of_service(service).contains(&f.target));
        match still {
            Some(flow) => self.forward(flow.target, Some(seg), PlaceReason::Repeated),
            None => match self.place(now, service, None) {
                Some(key) => self.forward(key, Some(seg), PlaceReason::Moved),
                None => reset(seg, ResetReason::NoTarget),
            },
        }
    }

    fn decide_following(&mut self, now: Duration, seg: &Segment) -> Decision {
        let remembered = self.flows.get(&seg.flow);
        let by_cookie = self.directory.by_cookie(seg.cookie);
        let (key, reason) = match (by_cookie, remembered) {
            (Some(key), _) => (key, PlaceReason::Cookie),
            (None, Some(flow)) if seg.cookie == Cookie(0) => (flow.target, PlaceReason::Remembered),
            (None, _) => return self.unknown_cookie(now, seg),
        };
        if self.directory.get(key).is_none_or(Target::is_gone) {
            self.end_flow(&seg.flow);
            return reset(seg, ResetReason::TargetGone);
        }
        if seg.flags.fin || seg.flags.rst {
            self.end_flow(&seg.flow);
            return self.forward(key, None, reason);
        }
        if self.observe(now, seg, key, remembered) {
            self.end_flow(&seg.flow);
            return reset(seg, ResetReason::TargetSilent);
        }
        self.forward(key, None, reason)
    }

    fn unknown_cookie(&mut self, now: Duration, seg: &Segment) -> Decision {
        if seg.cookie == Cookie(0) {
            return Decision::Drop(DropReason::NoCookie);
        }
        if self.unknown.age(now, seg.cookie) < self.cfg.unknown_grace {
            return Decision::Drop(DropReason::UnknownCookie);
        }
        reset(seg, ResetReason::UnknownTarget)
    }

    fn service_of(&self, flow: &FlowId, route: &Route) -> Arc<str> {
        let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut point = self.split.hash_one(flow) % total.max(1);
        for share in &route.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Arc::clone(&share.service);
            }
            point -= weight;
        }
        let first = route.shares.first();
        first.map_or_else(|| Arc::from(""), |s| Arc::clone(&s.service))
    }

    fn place(
        &mut self,
        now: Duration,
        service: &str,
        avoid: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let keys = self.directory.of_service(service).to_vec();
        let mut candidates = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(target) = self.directory.get_mut(key) else {
                continue;
            };
            let before = target.health.doubts();
            let suspected = target.health.avoided(now, &self.cfg.health);
            if target.health.doubts() > before {
                self.pending.suspicions.push(Suspicion {
                    target: target.entry.id,
                    consecutive: target.health.doubts(),
                    flows: target.load.flows,
                });
            }
            doubt(&self.cfg, &mut self.pending, now, target);
            candidates.push(Candidate {
                key,
                local: target.entry.domain == self.cfg.domain,
                cold: now < target.cold_until,
                avoid: suspected || avoid == Some(key),
                slots: target.entry.slots,
                load: target.load,
            });
        }
        choose(&self.cfg.place, candidates.into_iter(), &mut self.rng)
    }

    fn forward(&self, key: TargetKey, opening: Option<&Segment>, reason: PlaceReason) -> Decision {
        let Some(target) = self.directory.get(key) else {
            return Decision::Drop(DropReason::UnknownCookie);
        };
        let id = target.entry.id;
        Decision::Forward {
            target: id,
            to: target.entry.address,
            cookie: opening.map(|_| id.cookie()),
            reason,
        }
    }
}

/// A reset is never answered by a reset.
fn reset(seg: &Segment, reason: ResetReason) -> Decision {
    match seg.flags.rst {
        true => Decision::Drop(DropReason::PointlessReset),
        false => Decision::Reset(reason),
    }
}
