//! Probes of doubted targets.

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_cookie::ProbeRequest;
use sequoiatrail_events::Event;
use sequoiatrail_health::ProbeOutcome;
use sequoiatrail_settings::Probe;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::outlet::Outlet;
use super::shared::Shared;
use crate::probe::{ProbeJob, ProbeQueue, run};

/// Longest time for one connection to a target; many round trips, and longer
/// than a throttled VM stands still.
const CONNECT_LIMIT: Duration = Duration::from_millis(120);
/// Connections that must fail in a row before a probe has failed.
const ATTEMPTS: u32 = 2;

/// A probe with the number of this attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    order: ProbeRequest,
    number: u32,
}

/// Takes orders for probes.
#[derive(Clone)]
pub(super) struct Prober {
    shared: Arc<Shared>,
    orders: ProbeQueue<Attempt>,
}

impl Prober {
    /// A prober and what its thread works on.
    pub fn new(shared: Arc<Shared>) -> (Prober, UnboundedReceiver<ProbeJob<Attempt>>) {
        let (orders, queued) = unbounded_channel();
        (Prober { shared, orders }, queued)
    }

    /// Makes probes until the process ends.
    pub fn run(
        self,
        outlet: Arc<Outlet>,
        queued: UnboundedReceiver<ProbeJob<Attempt>>,
    ) -> std::io::Result<()> {
        let report = move |attempt, outcome| self.report(&outlet, attempt, outcome);
        run(Probe::Tcp, CONNECT_LIMIT, queued, report)
    }

    /// Orders probes; returns at once.
    pub fn make(&self, orders: Vec<ProbeRequest>) {
        for order in orders {
            self.attempt(Attempt { order, number: 1 });
        }
    }

    fn attempt(&self, attempt: Attempt) {
        // A closed queue means that the process ends.
        let _ = self.orders.send(ProbeJob {
            key: attempt,
            address: attempt.order.address.into(),
        });
    }

    fn report(&self, outlet: &Outlet, attempt: Attempt, outcome: ProbeOutcome) {
        let answered = matches!(outcome, ProbeOutcome::Answered { .. });
        if !answered && attempt.number < ATTEMPTS {
            let number = attempt.number + 1;
            return self.attempt(Attempt { number, ..attempt });
        }
        let order = attempt.order;
        let now = self.shared.clock.now();
        let (silent, effects) = {
            let mut balancer = self.shared.lock();
            let silent = balancer.record_probe(now, &order, answered);
            (silent, balancer.take_effects())
        };
        let target = order.target.to_string();
        let asked_ms = now.saturating_sub(order.requested_at).as_millis() as u64;
        if silent {
            self.shared
                .log
                .emit(Event::TargetSilent { target, asked_ms });
        } else if answered {
            self.shared
                .log
                .emit(Event::TargetAnswers { target, asked_ms });
        }
        outlet.carry_out(now, effects);
    }
}
