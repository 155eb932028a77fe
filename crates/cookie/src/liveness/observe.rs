//! Tracking of flows, and what their packets reveal about targets.

use std::time::Duration;

use crate::admission::overload::ResponseSample;
use crate::liveness::silence::probe_if_suspect;
use crate::packets::flows::Flow;
use crate::{Balancer, FlowId, Segment, TargetKey};

/// Data of the largest packet. An acknowledgement of more covers two packets, so that the
/// client has not delayed it.
const MAX_PACKET_DATA_BYTES: u32 = 1_200;

impl Balancer {
    /// Updates flow, load and health from a packet of an open flow. Returns whether
    /// to reset the flow because its target is silent.
    pub(crate) fn observe(
        &mut self,
        now: Duration,
        seg: &Segment,
        key: TargetKey,
        remembered: Option<Flow>,
    ) -> bool {
        let Some(mut flow) = remembered.filter(|flow| flow.target == key) else {
            self.end_flow(&seg.flow);
            self.adopt(now, seg, key);
            return self.is_lost_on_unknown_flow(seg, key);
        };
        if flow.closed {
            flow.last_seen = now;
            self.flows.insert(seg.flow, flow);
            return false;
        }
        let answered = !flow.open || seg.ack != flow.acked;
        let retransmitted = !answered && flow.has_sent(seg);
        if answered {
            self.record_answer(now, seg, &mut flow);
        }
        if retransmitted {
            self.record_retransmit(now, seg, &mut flow);
        } else if seg.data_len > 0 {
            self.record_new_data(now, seg, &mut flow);
        }
        let Some(target) = self.directory.get_mut(key) else {
            return false;
        };
        if seg.data_len > 0 {
            target.load.mark_busy(&mut flow);
        }
        probe_if_suspect(&self.cfg, &mut self.pending, now, target);
        let proven_at = self.evidence.path_proven_at();
        let health = &target.health;
        let timed_out = retransmitted && health.silence_timed_out(now, proven_at, &self.cfg.health);
        let silent = target.health.is_silent() || timed_out;
        target.load.clear_opening(&mut flow);
        if !flow.open {
            flow.open_since = now;
        }
        flow.open = true;
        flow.acked = seg.ack;
        flow.last_seen = now;
        self.flows.insert(seg.flow, flow);
        let route = self.routes.get(seg.flow.route);
        let idempotent = route.is_some_and(|r| r.idempotent);
        // A retransmitted non-idempotent request may be running, and its response
        // can still arrive. New data was never sent to the target.
        silent && seg.data_len > 0 && (idempotent || !retransmitted)
    }

    /// Whether a request on a flow that another balancer placed was sent to a silent
    /// target and may be sent again. The balancer that knew the flow may have died with
    /// the target. A non-idempotent request may be a copy of one that is running.
    fn is_lost_on_unknown_flow(&self, seg: &Segment, key: TargetKey) -> bool {
        let route = self.routes.get(seg.flow.route);
        let target = self.directory.get(key);
        seg.data_len > 0
            && route.is_some_and(|r| r.idempotent)
            && target.is_some_and(|t| t.health.is_silent())
    }

    /// Records that the target has answered on this flow.
    fn record_answer(&mut self, now: Duration, seg: &Segment, flow: &mut Flow) {
        let Some(target) = self.directory.get_mut(flow.target) else {
            return;
        };
        target.health.record_response(now);
        self.attempts.record_response(&seg.flow);
        if !flow.open && flow.syn_retransmits == 0 {
            let time = now.saturating_sub(flow.sent_at);
            let service = &target.entry.service;
            self.overload.record_handshake(now, service, time);
        }
        if flow.busy {
            let rates = &mut self.own_load.rates;
            rates.record_response(now, &target.entry.service);
            self.overload.record_answer(&target.entry.service);
        }
        if flow.busy || !flow.open {
            self.evidence.record_answer(now, flow.stalled);
            // A request on an adopted flow may have been sent through another balancer too.
            if !flow.adopted {
                self.evidence.record_path_proven(flow.sent_at);
            }
        }
        // Retransmitted requests are not sampled: the first copy may have been lost
        // (Karn's algorithm).
        let timed = flow.busy && !flow.stalled && !flow.adopted;
        target.load.clear_request(flow);
        if timed && flow.found_free {
            let latency = now.saturating_sub(flow.sent_at);
            let id = target.entry.id;
            self.paces.record(now, id, seg.flow.route, latency);
        }
        let route = self.routes.get(seg.flow.route).filter(|_| timed);
        let exact = seg.flags.fin || seg.ack.wrapping_sub(flow.acked) > MAX_PACKET_DATA_BYTES;
        let sample =
            route.and_then(|r| ResponseSample::new(r, now, flow.sent_at, exact, flow.found_free));
        if let Some(sample) = sample {
            let service = &target.entry.service;
            self.overload
                .record(&self.cfg.overload, now, service, sample);
        }
    }

    /// Records that the client sent its last data again.
    fn record_retransmit(&mut self, now: Duration, seg: &Segment, flow: &mut Flow) {
        let Some(target) = self.directory.get_mut(flow.target) else {
            return;
        };
        let cfg = &self.cfg.health;
        if !flow.stalled && flow.found_free {
            // The response takes at least until now.
            let latency = now.saturating_sub(flow.sent_at);
            let id = target.entry.id;
            self.paces.record(now, id, seg.flow.route, latency);
        }
        target.health.record_retransmit(now, flow.sent_at, cfg);
        if !self.evidence.is_conclusive(now, &self.cfg.evidence) {
            target.health.discard_silence();
        }
        target.load.mark_stalled(flow);
    }

    /// Records that the client sent data for the first time.
    fn record_new_data(&mut self, now: Duration, seg: &Segment, flow: &mut Flow) {
        let Some(target) = self.directory.get_mut(flow.target) else {
            return;
        };
        self.evidence.record_sent(now);
        self.attempts.record_sent(now, seg.flow, flow.target);
        self.flows.record_request(now, seg.flow);
        let route = self.routes.get(seg.flow.route);
        // Further packets of a request find it unanswered.
        if let Some(route) = route.filter(|_| !flow.busy) {
            let service = &target.entry.service;
            let rates = &mut self.own_load.rates;
            rates.record_request(now, service, route.priority);
            let cfg = &self.cfg.overload;
            let age = now.saturating_sub(flow.opened_at);
            let age = Some(age).filter(|_| flow.seq > 0);
            self.overload.record_request(cfg, service, route, age);
        }
        let neighbors = self.domain_load.target(now, target.entry.id);
        flow.found_free = target.has_free_slot(neighbors);
        target.load.mark_in_flight(flow);
        flow.seq = seg.seq;
        flow.sent_at = now;
        flow.adopted = false;
    }

    /// Stops counting requests as in flight that were sent too long ago, and reports
    /// targets that seem to hang on one.
    pub(crate) fn expire_requests(&mut self, now: Duration) {
        let mut hanging = Vec::new();
        while let Some((id, flow)) = self.flows.next_expired(now) {
            let Some(target) = self.directory.get_mut(flow.target) else {
                continue;
            };
            target.load.clear_opening(flow);
            if !flow.in_flight {
                continue;
            }
            target.load.clear_in_flight(flow);
            let age = now.saturating_sub(flow.sent_at);
            let route = self.routes.get(id.route);
            let goal = route.and_then(|route| route.latency_goal);
            if goal.is_some_and(|g| self.overload.is_abnormal(&target.entry.service, g, age)) {
                hanging.push(flow.target);
            }
        }
        for key in hanging {
            self.report_hanging(now, key);
        }
    }

    /// Tracks a flow that another balancer, or an earlier process, placed. Its request
    /// counts at once: after a start, the open flows are all the load that is known.
    pub(crate) fn adopt(&mut self, now: Duration, seg: &Segment, key: TargetKey) {
        if self.flows.len() >= self.cfg.max_flows {
            return;
        }
        let Some(target) = self.directory.get_mut(key) else {
            return;
        };
        target.load.flows += 1;
        let mut flow = Flow {
            opened_at: Duration::ZERO,
            open: true,
            acked: seg.ack,
            seq: seg.seq,
            ..Flow::new(key, now, 0)
        };
        if seg.data_len > 0 {
            flow.adopted = true;
            target.load.mark_busy(&mut flow);
            target.load.mark_in_flight(&mut flow);
            self.flows.record_request(now, seg.flow);
        }
        self.flows.insert(seg.flow, flow);
    }

    pub(crate) fn start_flow(&mut self, now: Duration, seg: &Segment, key: TargetKey) {
        let Some(target) = self.directory.get_mut(key) else {
            return;
        };
        target.health.record_syn(now);
        self.evidence.record_sent(now);
        self.attempts.record_sent(now, seg.flow, key);
        if self.flows.len() >= self.cfg.max_flows {
            return;
        }
        target.load.flows += 1;
        let mut flow = Flow::new(key, now, seg.ack);
        target.load.mark_opening(&mut flow);
        self.flows.insert(seg.flow, flow);
        self.flows.record_request(now, seg.flow);
    }

    /// Stops counting a flow that its client has closed. Its entry stays, so that the
    /// acknowledgements that follow don't count it as a new one.
    pub(crate) fn close_flow(&mut self, now: Duration, seg: &Segment, key: TargetKey) {
        self.end_flow(&seg.flow);
        if self.flows.len() >= self.cfg.max_flows {
            return;
        }
        let flow = Flow {
            closed: true,
            ..Flow::new(key, now, 0)
        };
        self.flows.insert(seg.flow, flow);
    }

    pub(crate) fn end_flow(&mut self, id: &FlowId) {
        if let Some(flow) = self.flows.remove(id) {
            self.release_flow(flow);
        }
    }

    pub(crate) fn release_flow(&mut self, flow: Flow) {
        if flow.closed {
            return;
        }
        let Some(target) = self.directory.get_mut(flow.target) else {
            return;
        };
        let mut flow = flow;
        target.load.clear_opening(&mut flow);
        target.load.clear_request(&mut flow);
        target.load.flows = target.load.flows.saturating_sub(1);
    }
}
