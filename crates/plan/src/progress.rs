//! How far the planner is with the next plan of one service.

use std::time::Duration;

use sequoiatrail_types::{PlanVersion, TableVersion};

use crate::PlannerSettings;
use crate::need::Need;

/// What the planner remembers of one service while its plan stays the same.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Plan version that this is about.
    pub version: PlanVersion,
    /// Newest table that was found to move nothing.
    pub checked: TableVersion,
    /// When the version was first seen.
    changed_at: Duration,
    /// Since when the next plan has been due.
    due_since: Option<Duration>,
    /// Earliest time of the next proposal.
    repeat_at: Duration,
    /// Wait after the next proposal.
    repeat: Duration,
}

impl Progress {
    /// The progress after a plan was first seen.
    pub fn new(version: PlanVersion, now: Duration, initial_retry_delay: Duration) -> Progress {
        Progress {
            version,
            checked: TableVersion(0),
            changed_at: now,
            due_since: None,
            repeat_at: now,
            repeat: initial_retry_delay,
        }
    }

    /// Whether enough time has passed since the last plan for this need.
    pub fn is_due(&self, now: Duration, need: Need, settings: &PlannerSettings) -> bool {
        let quiet = now.saturating_sub(self.changed_at);
        match need {
            Need::Nothing => false,
            Need::Load => quiet >= settings.load_interval,
            Need::Down => quiet >= settings.down_interval,
            Need::Table => true,
        }
    }

    /// Whether a balancer of this rank may propose a plan that is due.
    pub fn is_turn(&mut self, now: Duration, rank: usize, settings: &PlannerSettings) -> bool {
        let since = *self.due_since.get_or_insert(now);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let turn = settings.takeover_delay.saturating_mul(rank);
        now.saturating_sub(since) >= turn && now >= self.repeat_at
    }

    /// A proposal was made; the next one waits longer.
    pub fn proposed(&mut self, now: Duration, max_retry_delay: Duration) {
        self.repeat_at = now + self.repeat;
        self.repeat = (self.repeat * 2).min(max_retry_delay);
    }

    /// Nothing is due any more.
    pub fn clear(&mut self) {
        self.due_since = None;
    }
}
