//! Silent targets: doubts, probes, and the flows that end with them.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::ResetReason;
use crate::directory::{Target, TargetEvent};
use crate::effects::Pending;
use crate::{Balancer, Config, FlowReset, ProbeRequest, TargetId, TargetKey};

/// Silent targets of a failure domain from which the whole of it is doubted.
const SILENT_TARGETS_THRESHOLD: usize = 2;
/// Time after a pause in which the packets that it held up are read.
const PAUSE_BACKLOG: Duration = Duration::from_millis(20);

impl Balancer {
    /// Takes in whether something answered a probe. Returns whether the target
    /// has become silent.
    pub fn record_probe(&mut self, now: Duration, probe: &ProbeRequest, answered: bool) -> bool {
        let Some(key) = self.directory.key_of(probe.target) else {
            return false;
        };
        let Some(target) = self.directory.get_mut(key) else {
            return false;
        };
        if !target.health.record_probe(probe.requested_at, answered) {
            return false;
        }
        let domain = Arc::clone(&target.entry.domain);
        self.reset_flows_of(&[key], ResetReason::TargetSilent);
        self.probe_domain(now, &domain);
        true
    }

    /// Asks for probes of all targets with flows here in a failure domain of
    /// which several are silent: the domain may be cut off as a whole.
    fn probe_domain(&mut self, now: Duration, domain: &str) {
        let in_domain = |t: &&mut Target| *t.entry.domain == *domain && !t.is_gone();
        let silent = self.directory.iter_mut().filter(in_domain);
        let silent = silent.filter(|t| t.health.is_silent()).count();
        if silent < SILENT_TARGETS_THRESHOLD {
            return;
        }
        for target in self.directory.iter_mut().filter(in_domain) {
            if target.load.flows > 0 && target.health.request_probe(now) {
                self.pending.probes.push(probe_request(target, now));
            }
        }
    }

    /// Takes in that the process stood still: packets that came meanwhile are
    /// only seen now. They tell nothing about targets, and their callers have
    /// long gone on from those that open flows.
    pub fn handle_pause(&mut self, now: Duration) {
        self.drop_syns_until = now + PAUSE_BACKLOG;
        self.overload.reset();
        for target in self.directory.iter_mut() {
            target.health.discard_evidence(now);
        }
    }

    /// Ends the flows of targets that hold none any more.
    pub(crate) fn reset_lost_flows(&mut self, events: &[(TargetId, TargetEvent)]) {
        let lost = |events: &TargetEvent| matches!(events, TargetEvent::Gone | TargetEvent::Reborn);
        let lost = events.iter().filter(|(_, events)| lost(events));
        let keys: Vec<TargetKey> = lost
            .filter_map(|(id, _)| self.directory.key_of(*id))
            .collect();
        if !keys.is_empty() {
            self.reset_flows_of(&keys, ResetReason::TargetGone);
        }
    }

    /// Resets the flows of targets before their callers use them again: what is
    /// sent on a flow after its target fell silent is lost, and a request that
    /// must not run twice could not be tried again. A flow with such a request
    /// under way stays while the target may still answer it.
    fn reset_flows_of(&mut self, keys: &[TargetKey], reason: ResetReason) {
        let routes = &self.routes;
        let may_answer = reason == ResetReason::TargetSilent;
        let ended = self.flows.extract_if(|id, flow| {
            let idempotent = routes.get(id.route).is_some_and(|r| r.idempotent);
            let in_flight = may_answer && flow.busy && !idempotent;
            keys.contains(&flow.target) && !in_flight
        });
        for (flow, state) in ended {
            self.release_flow(state);
            let acked = state.acked;
            let reset = FlowReset {
                flow,
                acked,
                reason,
            };
            self.pending.resets.push_back(reset);
        }
    }
}

fn probe_request(target: &Target, now: Duration) -> ProbeRequest {
    ProbeRequest {
        target: target.entry.id,
        address: target.entry.address,
        requested_at: now,
    }
}

/// Asks for a probe of a target if packets raise a doubt.
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
