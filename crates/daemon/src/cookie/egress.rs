//! Output of the balancer: packets, resets, probe requests and their log lines.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use sequoiatrail_adapter::encode_reset;
use sequoiatrail_cookie::{
    Effects, FlowId, PlaceReason, PriorityDemand, ResetReason, SuspectReport, Suspicion, TargetId,
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
            self.reset(now, &reset.flow, reset.acked, reset.reason);
        }
        self.probes.submit(effects.probes);
    }

    /// Sends a reset to the client of a flow.
    pub fn reset(&self, now: Duration, flow: &FlowId, acked: u32, reason: ResetReason) {
        let to = SocketAddrV4::new(*flow.client.ip(), self.caller_port);
        self.send(now, &encode_reset(flow, acked), to);
        self.log_reset(now, flow, reason);
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
            let target = target.to_string();
            self.log_decision(now, flow, "forward", reason.into(), target, skipped);
        }
    }

    fn log_reset(&self, now: Duration, flow: &FlowId, reason: ResetReason) {
        if let Some(skipped) = self.shared.log_limits.resets.admit(now) {
            self.log_decision(now, flow, "reset", reason.into(), String::new(), skipped);
        }
    }

    fn log_decision(
        &self,
        now: Duration,
        flow: &FlowId,
        outcome: &'static str,
        reason: &'static str,
        target: String,
        skipped: u64,
    ) {
        let (manifest, revision) = {
            let balancer = self.shared.lock();
            (
                balancer.routes().version(),
                balancer.directory().revision().number,
            )
        };
        self.shared.log.emit(Event::FlowDecided {
            flow: flow.to_string(),
            outcome,
            reason,
            target,
            manifest,
            revision,
            age_ms: self.shared.targets_age(now).as_millis() as u64,
            skipped,
        });
    }

    fn log_suspicion(&self, suspicion: &Suspicion) {
        self.shared.log.emit(Event::TargetSuspected {
            target: suspicion.target.to_string(),
            doubts: suspicion.suspicion_count,
            flows: suspicion.flows,
        });
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
