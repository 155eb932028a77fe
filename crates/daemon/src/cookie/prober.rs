//! Probes of suspected targets.

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_cookie::ProbeOutcome;
use sequoiatrail_events::Event;
use sequoiatrail_settings::Probe;

use super::egress::Egress;
use super::probe_queue::{Attempt, Probes, QueuedAttempts};
use super::shared::Shared;
use crate::probe::{ProbeFailure, ProbeResult, run};

/// Timeout of one connection to a target: many round trips, and longer than a
/// throttled VM stalls.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Consecutive failed connections after which a probe has failed.
const MAX_ATTEMPTS: u32 = 2;

/// Makes queued probes and reports their outcomes to the balancer.
pub(super) struct Prober {
    shared: Arc<Shared>,
    egress: Arc<Egress>,
    probes: Probes,
}

impl Prober {
    pub fn new(shared: Arc<Shared>, egress: Arc<Egress>, probes: Probes) -> Prober {
        Prober {
            shared,
            egress,
            probes,
        }
    }

    /// Runs queued probes until the balancer shuts down.
    pub fn run(self, queued: QueuedAttempts) -> std::io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let is_stopped = move || shared.is_shut_down();
        let prober = Arc::new(self);
        let report = move |attempt, result| prober.handle_result(attempt, result);
        run(Probe::Tcp, CONNECT_TIMEOUT, queued, is_stopped, report)
    }

    fn handle_result(&self, attempt: Attempt, result: ProbeResult) {
        let answered = result.is_ok();
        if !answered && attempt.number < MAX_ATTEMPTS {
            return self.probes.enqueue(self.next_attempt(attempt));
        }
        let request = attempt.request;
        let now = self.shared.clock.now();
        let (silent, effects) = {
            let mut balancer = self.shared.lock();
            let silent = balancer.record_probe(now, &request, outcome_of(result));
            (silent, balancer.take_effects())
        };
        let target = request.target.to_string();
        let asked_ms = now.saturating_sub(request.requested_at).as_millis() as u64;
        if silent {
            self.shared
                .log
                .emit(Event::TargetSilent { target, asked_ms });
        } else if answered {
            self.shared
                .log
                .emit(Event::TargetAnswers { target, asked_ms });
        }
        self.egress.apply_effects(now, effects);
    }

    /// The next connection of a probe; the last one goes along with one to a reference.
    fn next_attempt(&self, failed: Attempt) -> Attempt {
        let number = failed.number + 1;
        let is_last = number == MAX_ATTEMPTS;
        let reference = is_last.then(|| self.shared.lock().reference_for(&failed.request));
        Attempt {
            number,
            reference: reference.flatten(),
            ..failed
        }
    }
}

fn outcome_of(result: ProbeResult) -> ProbeOutcome {
    match result {
        Ok(_) => ProbeOutcome::Answered,
        Err(ProbeFailure::TimedOut) => ProbeOutcome::TimedOut,
        Err(ProbeFailure::NothingAnswered) => ProbeOutcome::NothingAnswered,
        Err(ProbeFailure::Refused) => ProbeOutcome::Refused,
        Err(ProbeFailure::NotSent) => ProbeOutcome::NotSent,
    }
}
