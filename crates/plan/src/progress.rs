//! Progress towards the next plan of one service.

use std::time::Duration;

use sequoiatrail_types::{PlanVersion, TableVersion};

use crate::PlannerSettings;
use crate::trigger::Trigger;

/// Planner state of one service for one plan version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// The plan version.
    pub version: PlanVersion,
    /// Latest table version that required no moves.
    pub checked_table: TableVersion,
    /// Time at which this plan version was first seen.
    first_seen: Duration,
    /// Time since which the next plan has been due.
    due_since: Option<Duration>,
    /// Earliest time of the next proposal.
    next_attempt: Duration,
    /// Delay after the next proposal.
    retry_delay: Duration,
}

impl Progress {
    /// Creates the state for a newly seen plan version.
    pub fn new(version: PlanVersion, now: Duration, initial_retry_delay: Duration) -> Progress {
        Progress {
            version,
            checked_table: TableVersion(0),
            first_seen: now,
            due_since: None,
            next_attempt: now,
            retry_delay: initial_retry_delay,
        }
    }

    /// Whether enough time has passed since the last plan for this trigger.
    pub fn is_due(&self, now: Duration, trigger: Trigger, settings: &PlannerSettings) -> bool {
        let elapsed = now.saturating_sub(self.first_seen);
        match trigger {
            Trigger::Unchanged => false,
            Trigger::Load => elapsed >= settings.load_interval,
            Trigger::Health => elapsed >= settings.health_interval,
            Trigger::Table => true,
        }
    }

    /// Whether a balancer of this rank may propose the due plan now.
    pub fn may_propose(&mut self, now: Duration, rank: usize, settings: &PlannerSettings) -> bool {
        let since = *self.due_since.get_or_insert(now);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let delay = settings.takeover_delay.saturating_mul(rank);
        now.saturating_sub(since) >= delay && now >= self.next_attempt
    }

    /// Records a proposal and doubles the delay of the next one, up to `max_retry_delay`.
    pub fn record_proposal(&mut self, now: Duration, max_retry_delay: Duration) {
        self.next_attempt = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(max_retry_delay);
    }

    /// Marks the next plan as no longer due.
    pub fn clear_due(&mut self) {
        self.due_since = None;
    }
}
