//! Output of the balancer: packets, resets, probe requests and their log lines.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use sequoiatrail_adapter::encode_reset;
use sequoiatrail_cookie::{
    Balancer, Effects, FlowId, FlowReset, PlaceReason, PriorityDemand, ResetReason, SuspectReport,
    Suspicion, TargetId,
};
use sequoiatrail_events::Event;

use super::probe_queue::Probes;
use super::shared::Shared;
use crate::counters::{Count, Counters};

/// Sends packets and resets; shared by all threads.
pub(super) struct Egress {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    probes: Probes,
    reports: Sender<SuspectReport>,
    /// Client port that resets are sent to.
    caller_port: u16,
    counters: Arc<Counters>,
}

impl Egress {
    pub fn new(
        shared: Arc<Shared>,
        socket: Arc<UdpSocket>,
        probes: Probes,
        reports: Sender<SuspectReport>,
        caller_port: u16,
    ) -> Egress {
        Egress {
            counters: shared.counters.for_thread(),
            shared,
            socket,
            probes,
            reports,
            caller_port,
        }
    }

    /// Carries out the side effects of a decision.
    pub fn apply_effects(&self, now: Duration, effects: Effects) {
        if effects.is_empty() {
            return;
        }
        for suspicion in &effects.suspicions {
            self.log_suspicion(suspicion);
        }
        if !effects.report.is_empty() {
            // Nobody receives it if no peers are configured.
            let _ = self.reports.send(effects.report);
        }
        for change in &effects.overloads {
            self.shared.log.emit(Event::ServiceOverloaded {
                service: change.service.to_string(),
                limit: change.limit,
                budget_per_s: change.budget_per_s,
                slots_per_s: change.slots_per_s,
                link_per_s: change.link_per_s,
                demand: demand_text(&change.demand),
                in_flight: change.in_flight,
                responses_per_s: change.responses_per_s,
                accepted: change.accepted,
                refused: change.refused,
            });
        }
        for reset in &effects.resets {
            self.counters.add(Count::Reset, 1);
            self.reset(now, reset);
        }
        self.probes.submit(effects.probes);
    }

    /// Sends a reset to the client of a flow.
    pub fn reset(&self, now: Duration, reset: &FlowReset) {
        let flow = &reset.flow;
        let to = SocketAddrV4::new(*flow.client.ip(), self.caller_port);
        self.send(now, &encode_reset(flow, reset.acked), to);
        if let Some(count) = count_of(reset.reason) {
            self.counters.add(count, 1);
        }
        self.log_reset(now, reset);
    }

    /// Sends a datagram. Failures are counted and logged.
    pub fn send(&self, now: Duration, bytes: &[u8], to: SocketAddrV4) {
        let Err(e) = self.socket.send_to(bytes, to) else {
            return;
        };
        self.counters.add(Count::SendFailed, 1);
        if let Some(skipped) = self.shared.log_limits.failed_sends.admit(now) {
            self.shared.log.emit(Event::SendFailed {
                to: to.into(),
                error: e.to_string(),
                skipped,
            });
        }
    }

    /// Logs the placement of a flow, rate limited.
    pub fn log_placed(&self, now: Duration, flow: &FlowId, target: TargetId, reason: PlaceReason) {
        if let Some(skipped) = self.shared.log_limits.placements.admit(now) {
            let balancer = self.shared.lock();
            let (manifest, revision) = list_versions(&balancer);
            drop(balancer);
            self.shared.log.emit(Event::FlowDecided {
                flow: flow.to_string(),
                outcome: "forward",
                reason: reason.into(),
                target: target.to_string(),
                entry: "",
                answered_ms_ago: None,
                manifest,
                revision,
                age_ms: self.targets_age_ms(now),
                skipped,
            });
        }
    }

    /// Logs a reset with what is known of the flow's target, rate limited.
    fn log_reset(&self, now: Duration, reset: &FlowReset) {
        let Some(skipped) = self.shared.log_limits.resets.admit(now) else {
            return;
        };
        let balancer = self.shared.lock();
        let (manifest, revision) = list_versions(&balancer);
        let state = balancer.target_state(now, reset.cookie);
        drop(balancer);
        let answered_ago = state.and_then(|state| state.answered_ago);
        self.shared.log.emit(Event::FlowDecided {
            flow: reset.flow.to_string(),
            outcome: "reset",
            reason: reset.reason.into(),
            target: state.map_or_else(String::new, |state| state.id.to_string()),
            entry: state.map_or("", |state| state.entry),
            answered_ms_ago: answered_ago.map(|time| time.as_millis() as u64),
            manifest,
            revision,
            age_ms: self.targets_age_ms(now),
            skipped,
        });
    }

    fn targets_age_ms(&self, now: Duration) -> u64 {
        self.shared.targets_age(now).as_millis() as u64
    }

    fn log_suspicion(&self, suspicion: &Suspicion) {
        self.shared.log.emit(Event::TargetSuspected {
            target: suspicion.target.to_string(),
            doubts: suspicion.suspicion_count,
            flows: suspicion.flows,
        });
    }
}

/// Version of the manifest and revision of the target list that decisions are based on.
fn list_versions(balancer: &Balancer) -> (u64, u64) {
    let revision = balancer.directory().revision();
    (balancer.routes().version(), revision.number)
}

/// Counter of resets for a reason; `None` for refusals of new flows.
fn count_of(reason: ResetReason) -> Option<Count> {
    match reason {
        ResetReason::RouteRemoved => Some(Count::ResetRouteRemoved),
        ResetReason::TargetGone => Some(Count::ResetTargetGone),
        ResetReason::TargetSilent => Some(Count::ResetTargetSilent),
        ResetReason::UnknownTarget => Some(Count::ResetUnknownTarget),
        ResetReason::NoRoute
        | ResetReason::NoTarget
        | ResetReason::Evacuated
        | ResetReason::ColdTargets
        | ResetReason::Overloaded => None,
    }
}

/// Demand by priority for the log.
fn demand_text(demand: &[PriorityDemand]) -> String {
    let texts = demand.iter().map(|d| {
        format!(
            "priority {}: {:.0} flows, {:.0} requests, {:.0} refused",
            d.priority, d.flows_per_s, d.requests_per_s, d.refused_per_s
        )
    });
    texts.collect::<Vec<_>>().join("; ")
}
