//! Probing of suspect targets and reset of flows to silent or removed ones.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::effects::Pending;
use crate::liveness::evidence::Verdict;
use crate::packets::decision::ResetReason;
use crate::packets::flows::Flow;
use crate::packets::lost::{end_of_known_start, was_open_at_ended_start};
use crate::targets::presence::Target;
use crate::{
    Balancer, Config, Cookie, FlowReset, ProbeOutcome, ProbeRequest, TargetEvent, TargetId,
    TargetKey,
};

/// Number of silent targets in a failure domain from which all its targets are probed.
const SILENT_TARGETS_THRESHOLD: usize = 2;
/// Time after a pause in which the packets that queued up meanwhile are read.
const PAUSE_BACKLOG: Duration = Duration::from_millis(20);

impl Balancer {
    /// Records the result of a probe. Returns whether the target has become silent.
    pub fn record_probe(
        &mut self,
        now: Duration,
        probe: &ProbeRequest,
        outcome: ProbeOutcome,
    ) -> bool {
        let Some(key) = self.directory.key_of(probe.target) else {
            return false;
        };
        let Some(target) = self.directory.get_mut(key) else {
            return false;
        };
        if outcome == ProbeOutcome::Answered {
            self.evidence.record_path_proven(probe.requested_at);
        }
        let Some(verdict) = self.evidence.judge(now, outcome, &self.cfg.evidence) else {
            target.health.cancel_probe();
            return false;
        };
        let silent = target.health.record_probe(probe.requested_at, verdict);
        let failed = target.health.failed_last_probe();
        let alone = verdict == Verdict::NothingAnswers;
        let domain = Arc::clone(&target.entry.domain);
        if silent {
            self.reset_flows_of(now, &[key], ResetReason::TargetSilent, |_| true);
            self.pending.report.add_silent(probe.target);
        }
        if silent || failed && (alone || self.is_own_domain_evacuated()) {
            self.probe_domain(now, &domain, alone);
        }
        silent
    }

    /// Address of another target to connect to along with the last connection of a probe:
    /// the one that answered last. `None` if there is none, or if the probed target is silent
    /// already, so that nothing depends on it.
    pub fn reference_for(&self, probe: &ProbeRequest) -> Option<SocketAddrV4> {
        let key = self.directory.key_of(probe.target)?;
        let others = self
            .directory
            .iter()
            .filter(|t| t.entry.id != probe.target && !t.is_gone() && !t.health.is_silent());
        let lives = |t: &&Target| (!t.health.is_unreachable(), t.health.last_response());
        let reference = others.max_by_key(lives)?;
        let is_silent = self.directory.get(key)?.health.is_silent();
        (!is_silent).then_some(reference.entry.address)
    }

    fn is_own_domain_evacuated(&self) -> bool {
        self.evacuations.contains(&self.cfg.domain)
    }

    /// Requests probes of all targets with flows here in a failure domain in which
    /// several targets are silent: the whole domain may be unreachable. Doubtful targets
    /// count too if nothing answers, as this VM may be cut off. If the own domain is
    /// evacuated, they count as well and those without flows are probed, since
    /// this balancer can't serve at all if it reaches no other domain.
    fn probe_domain(&mut self, now: Duration, domain: &str, nothing_answers: bool) {
        let in_domain = |t: &&mut Target| *t.entry.domain == *domain && !t.is_gone();
        let evacuated = self.is_own_domain_evacuated();
        let counts = |t: &&mut Target| match evacuated || nothing_answers {
            true => t.health.failed_last_probe(),
            false => t.health.is_silent(),
        };
        let silent = self.directory.iter_mut().filter(in_domain);
        let silent = silent.filter(counts).count();
        if silent < SILENT_TARGETS_THRESHOLD {
            return;
        }
        for target in self.directory.iter_mut().filter(in_domain) {
            let in_use = evacuated || target.load.flows > 0;
            if in_use && target.health.request_probe(now, &self.cfg.health) {
                self.pending.probes.push(probe_request(target, now));
            }
        }
    }

    /// Handles a pause of this process. Packets that arrived meanwhile are only
    /// read now, so they say nothing about targets, and clients have already
    /// given up on the SYNs among them.
    pub fn handle_pause(&mut self, now: Duration) {
        self.drop_syns_until = now + PAUSE_BACKLOG;
        self.overload.reset();
        self.evidence.reset();
        for target in self.directory.iter_mut() {
            target.health.discard_evidence(now);
        }
    }

    /// Records that all changes of targets that the store had acknowledged at `at` are
    /// applied. That says nothing of another balancer's list.
    pub fn record_targets_current(&mut self, at: Duration) {
        if self.directory.is_from_peer() {
            return;
        }
        self.targets_current_at = self.targets_current_at.max(at);
    }

    /// Resets the flows that were open at targets which were removed or restarted. Flows
    /// that may be open at a start not known here stay: that start answers for them.
    pub(crate) fn reset_lost_flows(&mut self, now: Duration, events: &[(TargetId, TargetEvent)]) {
        let known_until = end_of_known_start(self.targets_current_at);
        for event in [TargetEvent::Gone, TargetEvent::Reborn] {
            let lost = events.iter().filter(|(_, e)| *e == event);
            let keys = lost.filter_map(|(id, _)| self.directory.key_of(*id));
            // An entry may have returned with the same read.
            let is_gone = |key: &TargetKey| self.directory.get(*key).is_some_and(Target::is_gone);
            let ended = |key: &TargetKey| event != TargetEvent::Gone || is_gone(key);
            let keys: Vec<TargetKey> = keys.filter(ended).collect();
            for key in &keys {
                if let Some(target) = self.directory.get_mut(*key) {
                    target.start_known_until = known_until;
                }
            }
            if !keys.is_empty() {
                let at_ended = |f: &Flow| was_open_at_ended_start(f, event, known_until);
                self.reset_flows_of(now, &keys, ResetReason::TargetGone, at_ended);
            }
        }
    }

    /// Resets the flows of targets before their clients use them again: data sent
    /// to a silent target is lost, and a non-idempotent request can't be retried.
    /// A flow with a non-idempotent request in flight is kept while the target
    /// may still respond. One that was not seen open may be open at another target: a
    /// copy of its SYN went there through another balancer.
    fn reset_flows_of(
        &mut self,
        now: Duration,
        keys: &[TargetKey],
        reason: ResetReason,
        is_lost: impl Fn(&Flow) -> bool,
    ) {
        let routes = &self.routes;
        let may_answer = reason == ResetReason::TargetSilent;
        let ended = self.flows.take_where(|id, flow| {
            let idempotent = routes.get(id.route).is_some_and(|r| r.idempotent);
            let in_flight = may_answer && flow.busy && !idempotent;
            let open = keys.contains(&flow.target) && flow.open && !flow.closed;
            open && !in_flight && is_lost(flow)
        });
        for (flow, state) in ended {
            self.release_flow(state);
            if reason == ResetReason::TargetGone {
                self.lost_flows.record(now, flow);
            }
            let target = self.directory.get(state.target);
            let reset = FlowReset {
                flow,
                acked: state.acked,
                cookie: target.map_or(Cookie(0), |target| target.entry.id.cookie()),
                reason,
            };
            self.pending.resets.push_back(reset);
        }
    }
}

pub(crate) fn probe_request(target: &Target, now: Duration) -> ProbeRequest {
    ProbeRequest {
        target: target.entry.id,
        address: target.entry.address,
        requested_at: now,
    }
}

/// Requests a probe of the target if it is suspect or silent and one is due.
pub(crate) fn probe_if_suspect(
    cfg: &Config,
    pending: &mut Pending,
    now: Duration,
    target: &mut Target,
) {
    if target.health.take_due_probe(now, &cfg.health) {
        pending.probes.push(probe_request(target, now));
    }
}
