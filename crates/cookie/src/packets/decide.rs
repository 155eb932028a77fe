//! Forwarding decisions per packet.

use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use crate::liveness::silence::probe_if_suspect;
use crate::packets::decision::{Decision, DropReason, PlaceReason, ResetReason};
use crate::packets::flows::Flow;
use crate::packets::lost::was_open_at_ended_start;
use crate::targets::presence::Target;
use crate::{Balancer, Cookie, FlowId, Route, Segment, TargetEvent, TargetKey};

impl Balancer {
    /// Decides what to do with a client's packet.
    pub fn decide(&mut self, now: Duration, seg: &Segment) -> Decision {
        let decision = self.decide_packet(now, seg);
        let cfg = &self.cfg.overload;
        match decision {
            Decision::Forward { .. } => self.overload.record_forwarded(cfg, seg.data_len),
            Decision::Reset(_) => self.overload.record_reset(cfg),
            Decision::Drop(_) => {}
        }
        decision
    }

    fn decide_packet(&mut self, now: Duration, seg: &Segment) -> Decision {
        if !self.is_ready() {
            return Decision::Drop(DropReason::NotReady);
        }
        if seg.flags.syn {
            return self.decide_syn(now, seg);
        }
        if self.routes.was_removed(seg.flow.route) {
            self.end_flow(&seg.flow);
            return reset(seg, ResetReason::RouteRemoved);
        }
        self.decide_established(now, seg)
    }

    fn decide_syn(&mut self, now: Duration, seg: &Segment) -> Decision {
        let Some(route) = self.routes.get(seg.flow.route) else {
            return reset(seg, ResetReason::NoRoute);
        };
        let priority = route.priority;
        let service = self.select_service(&seg.flow, route);
        let known = self.flows.get(&seg.flow);
        let outdated = seg.ack > 0 && known.is_some_and(|flow| flow.open || flow.closed);
        if now < self.drop_syns_until || outdated {
            return Decision::Drop(DropReason::HeldUp);
        }
        let existing = known.filter(|flow| !flow.closed);
        let retransmit = existing.is_some() && seg.ack > 0;
        let min_rto = self.cfg.health.min_rto;
        if retransmit && existing.is_some_and(|flow| flow.is_duplicate(now, seg, min_rto)) {
            return self.decide_duplicate_syn(now, seg, &service, existing);
        }
        if let Some(flow) = existing {
            self.end_flow(&seg.flow);
            if retransmit && let Some(target) = self.directory.get_mut(flow.target) {
                target
                    .health
                    .record_retransmit(now, flow.sent_at, &self.cfg.health);
                probe_if_suspect(&self.cfg, &mut self.pending, now, target);
            }
        }
        // A retransmitted SYN is never refused: an earlier one may have opened the flow.
        let first = seg.ack == 0 && existing.is_none();
        if first {
            self.own_load.rates.record_flow(now, &service, priority);
        }
        if first && !self.admits(now, &service, seg) {
            self.own_load.rates.record_refusal(now, &service, priority);
            return reset(seg, ResetReason::Overloaded);
        }
        let avoid = match existing.filter(|_| retransmit) {
            Some(flow) => Some(flow.target),
            None => self.attempts.failed_target(now, &seg.flow),
        };
        let key = match self.place(now, &service, avoid) {
            Ok(key) => key,
            Err(reason) => {
                if first {
                    self.own_load.rates.record_refusal(now, &service, priority);
                }
                return reset(seg, reason);
            }
        };
        self.lost_flows.remove(&seg.flow);
        self.start_flow(now, seg, key);
        let reason = match retransmit {
            true => PlaceReason::Moved,
            false => PlaceReason::Placed,
        };
        self.forward(key, Some(seg), reason)
    }

    /// Handles a SYN that the network delivered twice, or together with an earlier one.
    fn decide_duplicate_syn(
        &mut self,
        now: Duration,
        seg: &Segment,
        service: &str,
        existing: Option<Flow>,
    ) -> Decision {
        let current = existing.filter(|f| self.directory.for_service(service).contains(&f.target));
        match current {
            Some(flow) => {
                self.flows.record_syn_copy(&seg.flow, seg.ack);
                self.forward(flow.target, Some(seg), PlaceReason::Repeated)
            }
            None => match self.place(now, service, None) {
                Ok(key) => self.forward(key, Some(seg), PlaceReason::Moved),
                Err(reason) => reset(seg, reason),
            },
        }
    }

    fn decide_established(&mut self, now: Duration, seg: &Segment) -> Decision {
        let remembered = self.flows.get(&seg.flow);
        let by_cookie = self.directory.by_cookie(seg.cookie);
        let (key, reason) = match (by_cookie, remembered) {
            (Some(key), _) => (key, PlaceReason::Cookie),
            (None, Some(flow)) if seg.cookie == Cookie(0) => (flow.target, PlaceReason::Remembered),
            (None, _) => return self.unknown_cookie(now, seg),
        };
        if self.directory.get(key).is_none_or(Target::is_gone) {
            return self.decide_at_gone_target(now, seg, key, remembered);
        }
        if seg.flags.rst {
            self.close_flow(now, seg, key);
            return self.forward(key, None, reason);
        }
        let silent = self.observe(now, seg, key, remembered);
        if seg.flags.fin {
            self.close_flow(now, seg, key);
            return self.forward(key, None, reason);
        }
        if silent {
            self.end_flow(&seg.flow);
            return reset(seg, ResetReason::TargetSilent);
        }
        self.forward(key, None, reason)
    }

    /// Resets a flow that was open at the target while it was listed. One that isn't known
    /// may be open at a later start of the target under its identity: it waits as one with
    /// an unknown cookie does.
    fn decide_at_gone_target(
        &mut self,
        now: Duration,
        seg: &Segment,
        key: TargetKey,
        remembered: Option<Flow>,
    ) -> Decision {
        let known_until = self.directory.get(key).map(|t| t.start_known_until);
        let flow = remembered.filter(|flow| flow.target == key);
        let is_lost = |flow: Flow| {
            known_until.is_none_or(|at| was_open_at_ended_start(&flow, TargetEvent::Gone, at))
        };
        let known = !self.directory.may_start_again()
            || self.lost_flows.contains(&seg.flow)
            || flow.is_some_and(is_lost);
        if !known && !seg.flags.rst && self.is_new_here(now, seg) {
            return Decision::Drop(DropReason::UnknownCookie);
        }
        self.end_flow(&seg.flow);
        self.lost_flows.record(now, seg.flow);
        reset(seg, ResetReason::TargetGone)
    }

    fn unknown_cookie(&mut self, now: Duration, seg: &Segment) -> Decision {
        if seg.cookie == Cookie(0) {
            return Decision::Drop(DropReason::NoCookie);
        }
        let ended = self.heard_corrections.has_ended(seg.cookie);
        if ended && !self.directory.may_start_again() {
            return reset(seg, ResetReason::TargetGone);
        }
        if self.is_new_here(now, seg) {
            return Decision::Drop(DropReason::UnknownCookie);
        }
        match ended {
            true => reset(seg, ResetReason::TargetGone),
            false => reset(seg, ResetReason::UnknownTarget),
        }
    }

    /// Whether a flow to a target that isn't known, or is gone, came here so lately that
    /// another balancer may have learned of the target earlier.
    fn is_new_here(&mut self, now: Duration, seg: &Segment) -> bool {
        self.unknown.age(now, seg.flow, seg.cookie) < self.cfg.unknown_cookie_grace
    }

    fn select_service(&self, flow: &FlowId, route: &Route) -> Arc<str> {
        let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut point = self.service_hasher.hash_one(flow) % total.max(1);
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

    fn forward(&self, key: TargetKey, syn: Option<&Segment>, reason: PlaceReason) -> Decision {
        let Some(target) = self.directory.get(key) else {
            return Decision::Drop(DropReason::UnknownCookie);
        };
        let id = target.entry.id;
        Decision::Forward {
            target: id,
            to: target.entry.address,
            cookie: syn.map(|_| id.cookie()),
            reason,
        }
    }
}

/// Never answers a reset by a reset.
fn reset(seg: &Segment, reason: ResetReason) -> Decision {
    match seg.flags.rst {
        true => Decision::Drop(DropReason::PointlessReset),
        false => Decision::Reset(reason),
    }
}
