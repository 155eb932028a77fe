//! What the packets of a flow tell about its target.

use std::time::Duration;

use crate::flows::Flow;
use crate::overload::Answer;
use crate::silence::doubt;
use crate::{Balancer, FlowId, Segment, TargetKey};

impl Balancer {
    /// Takes in what a packet of an open flow tells about its target. Returns
    /// whether the flow is to be ended because the target is silent.
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
            return false;
        };
        let Some(target) = self.directory.get_mut(key) else {
            return false;
        };
        let answered = !flow.open || seg.ack != flow.acked;
        let repeated = !answered && seg.data_len > 0 && seg.seq == flow.seq;
        if answered {
            target.health.progress(now);
            self.attempts.answered(&seg.flow);
            // What was sent twice may have been lost: it tells nothing of the load.
            let timed = flow.busy && !flow.stuck;
            target.load.settle(&mut flow);
            let route = self.routes.get(seg.flow.route).filter(|_| timed);
            if let Some(answer) = route.and_then(|r| Answer::new(r, now, flow.sent)) {
                let service = &target.entry.service;
                self.overload
                    .answered(&self.cfg.overload, now, service, answer);
            }
        }
        if repeated {
            target.health.repeated(now, flow.sent, &self.cfg.health);
            target.load.stick(&mut flow);
        } else if seg.data_len > 0 {
            self.attempts.sent(now, seg.flow, key);
            flow.seq = seg.seq;
            flow.sent = now;
        }
        if seg.data_len > 0 {
            target.load.occupy(&mut flow);
        }
        doubt(&self.cfg, &mut self.pending, now, target);
        let seems_silent = repeated && target.health.seems_silent(now, &self.cfg.health);
        let silent = target.health.is_silent() || seems_silent;
        flow.open = true;
        flow.acked = seg.ack;
        flow.last_seen = now;
        self.flows.insert(seg.flow, flow);
        let idempotent = self
            .routes
            .get(seg.flow.route)
            .is_some_and(|r| r.idempotent);
        // Repeated data of a request that must not run twice may have run: its
        // answer can still come. New data was never sent to the target.
        silent && seg.data_len > 0 && (idempotent || !repeated)
    }

    /// Observes a flow that another balancer placed.
    pub(crate) fn adopt(&mut self, now: Duration, seg: &Segment, key: TargetKey) {
        if self.flows.len() >= self.cfg.max_flows {
            return;
        }
        let Some(target) = self.directory.get_mut(key) else {
            return;
        };
        target.load.flows += 1;
        let flow = Flow {
            open: true,
            acked: seg.ack,
            seq: seg.seq,
            ..Flow::opening(key, now, 0)
        };
        self.flows.insert(seg.flow, flow);
    }

    pub(crate) fn start_flow(&mut self, now: Duration, seg: &Segment, key: TargetKey) {
        let Some(target) = self.directory.get_mut(key) else {
            return;
        };
        target.health.opening(now);
        self.attempts.sent(now, seg.flow, key);
        if self.flows.len() >= self.cfg.max_flows {
            return;
        }
        target.load.flows += 1;
        self.flows
            .insert(seg.flow, Flow::opening(key, now, seg.ack));
    }

    pub(crate) fn end_flow(&mut self, id: &FlowId) {
        if let Some(flow) = self.flows.remove(id) {
            self.unload(flow);
        }
    }

    pub(crate) fn unload(&mut self, flow: Flow) {
        let Some(target) = self.directory.get_mut(flow.target) else {
            return;
        };
        let mut flow = flow;
        target.load.settle(&mut flow);
        target.load.flows = target.load.flows.saturating_sub(1);
    }
}
