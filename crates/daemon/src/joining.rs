//! Conditions under which a starting balancer becomes ready to own flows.

use std::time::Duration;

/// Time that a starting balancer waits for a ready peer before it assumes that
/// it is the first one.
const FIRST_BALANCER_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between attempts to fetch the state of another balancer.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Conditions that decide whether a balancer becomes ready.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JoinConditions {
    /// The balancer has a table and a plan for each service.
    pub has_table_and_plans: bool,
    /// Another balancer is ready.
    pub has_ready_peer: bool,
    /// Communication with other balancers is enabled.
    pub has_peers: bool,
}

/// Next step of the transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Wait.
    Wait,
    /// Fetch the state of a ready balancer.
    FetchState,
    /// Become ready.
    Ready,
}

/// Progress of a balancer towards readiness.
#[derive(Debug)]
pub(crate) struct JoinProgress {
    since: Duration,
    /// The state of a ready balancer was imported.
    has_state: bool,
    next_fetch: Duration,
}

impl JoinProgress {
    pub fn new(now: Duration) -> Self {
        Self {
            since: now,
            has_state: false,
            next_fetch: now,
        }
    }

    /// Records whether the fetched state was imported.
    pub fn state_imported(&mut self, imported: bool) {
        self.has_state = imported;
    }

    /// Returns the next step.
    pub fn step(&mut self, now: Duration, conditions: JoinConditions) -> Step {
        if !conditions.has_table_and_plans {
            return Step::Wait;
        }
        if self.has_state || !conditions.has_peers {
            return Step::Ready;
        }
        if conditions.has_ready_peer {
            if now < self.next_fetch {
                return Step::Wait;
            }
            self.next_fetch = now + FETCH_RETRY_INTERVAL;
            return Step::FetchState;
        }
        if now >= self.since + FIRST_BALANCER_DELAY {
            return Step::Ready;
        }
        Step::Wait
    }
}
