//! Evidence of one balancer about a target, from its own probes and flows.

use std::time::Duration;

use crate::HealthSettings;

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target answered, optionally with its load.
    Answered {
        /// Reported load in thousandths of its capacity.
        load: Option<u16>,
    },
    /// Timeout or refusal.
    Failed,
}

/// New flows answered in the current window.
#[derive(Clone, Copy, Debug, Default)]
struct AnsweredFlows {
    since: Duration,
    flows: u32,
    /// Time until which the window's flows prove the target healthy.
    healthy_until: Option<Duration>,
}

/// First packets retransmitted since a new flow was last answered.
#[derive(Clone, Copy, Debug, Default)]
struct UnansweredFlows {
    since: Duration,
    last: Duration,
    flows: u32,
}

/// Evidence of one balancer about one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalEvidence {
    /// Consecutive failed probes.
    pub failures: u32,
    /// Consecutive answered probes.
    successes: u32,
    /// Result of the probes: `None` before the first.
    probe_healthy: Option<bool>,
    /// Last reported load in thousandths of its capacity.
    pub load: u16,
    answered_flows: AnsweredFlows,
    unanswered_flows: UnansweredFlows,
    /// Whether negative flow evidence is ignored.
    pub flows_distrusted: bool,
}

impl LocalEvidence {
    /// Records the outcome of a probe.
    pub fn record_probe(&mut self, outcome: ProbeOutcome, settings: &HealthSettings) {
        match outcome {
            ProbeOutcome::Answered { load } => {
                self.successes += 1;
                self.failures = 0;
                self.load = load.unwrap_or(self.load);
            }
            ProbeOutcome::Failed => {
                self.failures += 1;
                self.successes = 0;
            }
        }
        if self.failures >= settings.failure_threshold {
            self.probe_healthy = Some(false);
        }
        // The first answer counts at once; after a failure `success_threshold`
        // answers are needed.
        if self.successes >= settings.success_threshold
            || (self.successes > 0 && self.probe_healthy.is_none())
        {
            self.probe_healthy = Some(true);
        }
    }

    /// Records answered new flows and retransmitted first packets.
    pub fn record_flows(
        &mut self,
        now: Duration,
        answered: u32,
        unanswered: u32,
        settings: &HealthSettings,
    ) {
        if answered > 0 {
            self.add_answered(now, answered, settings);
            self.unanswered_flows = UnansweredFlows::default();
            return;
        }
        let run = &mut self.unanswered_flows;
        if unanswered == 0 {
            return;
        }
        if run.flows == 0 || now > run.last + settings.unanswered_ttl {
            *run = UnansweredFlows {
                since: now,
                ..UnansweredFlows::default()
            };
        }
        run.flows = run.flows.saturating_add(unanswered);
        run.last = now;
    }

    fn add_answered(&mut self, now: Duration, flows: u32, settings: &HealthSettings) {
        let window = &mut self.answered_flows;
        if now.saturating_sub(window.since) >= settings.flow_window {
            window.since = now;
            window.flows = 0;
        }
        window.flows = window.flows.saturating_add(flows);
        if window.flows >= settings.flow_threshold {
            window.healthy_until = Some(now + settings.flow_window);
        }
    }

    /// Discards the probe results when another balancer takes over the probing.
    pub fn reset_probes(&mut self) {
        self.probe_healthy = None;
        self.load = 0;
        self.failures = 0;
        self.successes = 0;
    }

    /// Whether the probes find the target healthy; `None` before the first.
    pub fn healthy_by_probes(&self) -> Option<bool> {
        self.probe_healthy
    }

    /// Whether first packets were recently retransmitted with no answered flow since.
    pub fn has_recent_unanswered_flows(&self, now: Duration, settings: &HealthSettings) -> bool {
        let run = &self.unanswered_flows;
        run.flows > 0 && now <= run.last + settings.unanswered_ttl
    }

    /// Whether the flows find the target healthy; `None` without enough recent flows.
    pub fn healthy_by_flows(&self, now: Duration, settings: &HealthSettings) -> Option<bool> {
        let run = &self.unanswered_flows;
        let enough = run.flows >= settings.flow_threshold;
        let lasting = now.saturating_sub(run.since) >= settings.unanswered_duration;
        if enough && lasting && now <= run.last + settings.unanswered_ttl {
            return Some(false);
        }
        let until = self.answered_flows.healthy_until?;
        (now <= until).then_some(true)
    }

    /// Whether the target is healthy. Flow evidence overrides probes, since a
    /// health endpoint may answer for a target that does not work, or fail for one
    /// that does.
    pub fn healthy(&self, now: Duration, settings: &HealthSettings) -> Option<bool> {
        let by_flows = self.healthy_by_flows(now, settings);
        let trusted = by_flows.filter(|healthy| *healthy || !self.flows_distrusted);
        trusted.or(self.probe_healthy)
    }
}
