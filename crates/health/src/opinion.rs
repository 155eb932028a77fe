//! What one balancer thinks of a target, from its own probes and flows.

use std::time::Duration;

use crate::HealthSettings;

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target answered, perhaps with its load in thousandths of its capacity.
    Answered {
        /// The load that it told of itself.
        load: Option<u16>,
    },
    /// No answer in time, or a refusal.
    Failed,
}

/// New flows that were answered, in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Answered {
    since: Duration,
    flows: u32,
    /// Until when there were enough of them to speak for the target.
    enough_until: Option<Duration>,
}

/// First packets that were repeated since a new flow was last answered.
#[derive(Clone, Copy, Debug, Default)]
struct Stalled {
    since: Duration,
    last: Duration,
    flows: u32,
}

/// Evidence of one balancer about one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Opinion {
    /// Probes in a row that failed.
    pub failed: u32,
    /// Probes in a row that were answered.
    answered: u32,
    /// What probes say: `None` before the first ones.
    probe: Option<bool>,
    /// Load that the target told last, in thousandths.
    pub load: u16,
    answered_flows: Answered,
    stalled_flows: Stalled,
    /// Whether flows that speak against the target are not believed.
    pub flows_distrusted: bool,
}

impl Opinion {
    /// Takes in the outcome of a probe.
    pub fn record_probe(&mut self, outcome: ProbeOutcome, settings: &HealthSettings) {
        match outcome {
            ProbeOutcome::Answered { load } => {
                self.answered += 1;
                self.failed = 0;
                self.load = load.unwrap_or(self.load);
            }
            ProbeOutcome::Failed => {
                self.failed += 1;
                self.answered = 0;
            }
        }
        if self.failed >= settings.failure_threshold {
            self.probe = Some(false);
        }
        // The first answer counts at once; after a failure several must follow.
        if self.answered >= settings.success_threshold
            || (self.answered > 0 && self.probe.is_none())
        {
            self.probe = Some(true);
        }
    }

    /// Adds new flows that were answered and first packets that were repeated.
    pub fn record_flows(
        &mut self,
        now: Duration,
        progressed: u32,
        stalled: u32,
        settings: &HealthSettings,
    ) {
        if progressed > 0 {
            self.add_answered(now, progressed, settings);
            self.stalled_flows = Stalled::default();
            return;
        }
        let run = &mut self.stalled_flows;
        if stalled == 0 {
            return;
        }
        if run.flows == 0 || now > run.last + settings.stall_ttl {
            *run = Stalled {
                since: now,
                ..Stalled::default()
            };
        }
        run.flows = run.flows.saturating_add(stalled);
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
            window.enough_until = Some(now + settings.flow_window);
        }
    }

    /// Forgets what probes said: another balancer probes the target now.
    pub fn forget_probes(&mut self) {
        self.probe = None;
        self.load = 0;
        self.failed = 0;
        self.answered = 0;
    }

    /// Whether probes find the target healthy; `None` before the first ones.
    pub fn by_probes(&self) -> Option<bool> {
        self.probe
    }

    /// Whether first packets were repeated lately without an answered flow since.
    pub fn may_stall(&self, now: Duration, settings: &HealthSettings) -> bool {
        let run = &self.stalled_flows;
        run.flows > 0 && now <= run.last + settings.stall_ttl
    }

    /// What its flows say at this time, if enough of them were seen lately.
    pub fn by_flows(&self, now: Duration, settings: &HealthSettings) -> Option<bool> {
        let run = &self.stalled_flows;
        let enough = run.flows >= settings.flow_threshold;
        let lasting = now.saturating_sub(run.since) >= settings.stall_duration;
        if enough && lasting && now <= run.last + settings.stall_ttl {
            return Some(false);
        }
        let until = self.answered_flows.enough_until?;
        (now <= until).then_some(true)
    }

    /// Whether the target is healthy. Flows outweigh probes, since an endpoint
    /// may answer for a target that does not work, or fail for one that does.
    pub fn healthy(&self, now: Duration, settings: &HealthSettings) -> Option<bool> {
        let by_flows = self.by_flows(now, settings);
        let believed = by_flows.filter(|healthy| *healthy || !self.flows_distrusted);
        believed.or(self.probe)
    }
}
