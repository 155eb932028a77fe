//! When to list, when to watch and when to wait: the following of objects without I/O.

use std::time::Duration;

use crate::{Backoff, BackoffConfig, Error, Revision};

/// Settings of a [`FollowState`].
#[derive(Clone, Copy, Debug)]
pub struct FollowConfig {
    /// How long a watch waits at the platform for a change.
    pub watch_wait: Duration,
    /// Mean time from a reported change to the next watch: changes in between
    /// come together, and the rate of calls stays bounded under many changes.
    pub batch_delay: Duration,
    /// Time over which followers that must list again spread out.
    pub resync_jitter: Duration,
    /// A balancer's status that was not written for so long is removed.
    pub stale_after: Duration,
    /// Waits after failures.
    pub backoff: BackoffConfig,
}

impl Default for FollowConfig {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(10),
            batch_delay: Duration::from_millis(500),
            resync_jitter: Duration::from_millis(1_500),
            stale_after: Duration::from_secs(600),
            backoff: BackoffConfig::default(),
        }
    }
}

/// What a follower does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing for so long.
    Wait(Duration),
    /// List all objects.
    List,
    /// Watch for changes after a revision.
    Watch(Revision),
}

/// The state of one follower.
#[derive(Debug)]
pub struct FollowState {
    cfg: FollowConfig,
    /// Revision seen; `None` until a list succeeded or after a history expired.
    seen: Option<Revision>,
    /// No call before this time.
    not_before: Duration,
    backoff: Backoff,
}

impl FollowState {
    /// A follower that has seen nothing; `seed` sets its random waits apart.
    pub fn new(cfg: FollowConfig, seed: u64) -> Self {
        Self {
            cfg,
            seen: None,
            not_before: Duration::ZERO,
            backoff: Backoff::new(cfg.backoff, seed),
        }
    }

    /// What to do at time `now`.
    pub fn next(&self, now: Duration) -> Step {
        if now < self.not_before {
            return Step::Wait(self.not_before - now);
        }
        match self.seen {
            Some(after) => Step::Watch(after),
            None => Step::List,
        }
    }

    /// Takes in that a list showed `revision`.
    pub fn listed(&mut self, now: Duration, revision: Revision) {
        self.backoff.reset();
        self.seen = Some(revision);
        self.not_before = now;
    }

    /// Takes in that a watch ended at `revision` with that many changes.
    pub fn watched(&mut self, now: Duration, revision: Revision, changes: usize) {
        self.backoff.reset();
        self.seen = Some(revision);
        self.not_before = now;
        if changes > 0 {
            let half = self.cfg.batch_delay / 2;
            self.not_before += half + self.backoff.jitter(self.cfg.batch_delay);
        }
    }

    /// Takes in that a list or a watch failed.
    pub fn failed(&mut self, now: Duration, error: &Error) {
        if matches!(error, Error::HistoryExpired) {
            self.seen = None;
            self.not_before = now + self.backoff.jitter(self.cfg.resync_jitter);
            return;
        }
        self.not_before = now + self.backoff.next_delay(error.retry_delay());
    }

    /// Forgets what was seen: the next call is a list, at once.
    pub fn restart(&mut self) {
        self.seen = None;
        self.not_before = Duration::ZERO;
    }

    /// Calls in a row that failed.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Settings.
    pub fn config(&self) -> &FollowConfig {
        &self.cfg
    }
}
