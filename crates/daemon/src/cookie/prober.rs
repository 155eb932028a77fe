//! Probes of suspected targets.

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_cookie::{ProbeOutcome, ProbeRequest};
use sequoiatrail_events::Event;
use sequoiatrail_settings::Probe;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::egress::Egress;
use super::shared::Shared;
use crate::probe::{ProbeFailure, ProbeJob, ProbeQueue, ProbeResult, run};

/// Timeout of one connection to a target: many round trips, and longer than a
/// throttled VM stalls.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Consecutive failed connections after which a probe has failed.
const MAX_ATTEMPTS: u32 = 2;

/// One connection attempt of a probe, numbered from 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    request: ProbeRequest,
    number: u32,
}

/// Queues probes and reports their outcomes to the balancer.
#[derive(Clone)]
pub(super) struct Prober {
    shared: Arc<Shared>,
    jobs: ProbeQueue<Attempt>,
}

impl Prober {
    /// Creates a prober and the queue that [`Prober::run`] reads.
    pub fn new(shared: Arc<Shared>) -> (Prober, UnboundedReceiver<ProbeJob<Attempt>>) {
        let (jobs, queued) = unbounded_channel();
        (Prober { shared, jobs }, queued)
    }

    /// Runs queued probes until the balancer shuts down.
    pub fn run(
        self,
        egress: Arc<Egress>,
        queued: UnboundedReceiver<ProbeJob<Attempt>>,
    ) -> std::io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let is_stopped = move || shared.is_shut_down();
        let report = move |attempt, result| self.handle_result(&egress, attempt, result);
        run(Probe::Tcp, CONNECT_TIMEOUT, queued, is_stopped, report)
    }

    /// Queues probes; does not block.
    pub fn submit(&self, requests: Vec<ProbeRequest>) {
        for request in requests {
            self.enqueue(Attempt { request, number: 1 });
        }
    }

    fn enqueue(&self, attempt: Attempt) {
        // The queue is closed once the balancer has shut down.
        let _ = self.jobs.send(ProbeJob {
            key: attempt,
            address: attempt.request.address.into(),
        });
    }

    fn handle_result(&self, egress: &Egress, attempt: Attempt, result: ProbeResult) {
        let answered = result.is_ok();
        if !answered && attempt.number < MAX_ATTEMPTS {
            let number = attempt.number + 1;
            return self.enqueue(Attempt { number, ..attempt });
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
        egress.apply_effects(now, effects);
    }
}

fn outcome_of(result: ProbeResult) -> ProbeOutcome {
    match result {
        Ok(_) => ProbeOutcome::Answered,
        Err(ProbeFailure::TimedOut) => ProbeOutcome::TimedOut,
        Err(ProbeFailure::Refused) => ProbeOutcome::Refused,
        Err(ProbeFailure::NotSent) => ProbeOutcome::NotSent,
    }
}
