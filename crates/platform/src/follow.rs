//! When to list, when to watch and when to wait: the following of objects without I/O.

use std::time::Duration;

use crate::{Backoff, BackoffConfig, Error, Revision};

/// Settings of a [`Follow`].
#[derive(Clone, Copy, Debug)]
pub struct FollowConfig {
    /// How long a watch waits at the platform for a change.
    pub watch_wait: Duration,
    /// Mean time from a reported change to the next watch: changes in between
    /// come together, and the rate of calls stays bounded under many changes.
    pub settle: Duration,
    /// Time over which followers that must list again spread out.
    pub resync_spread: Duration,
    /// A balancer's status that was not written for so long is removed.
    pub stale_after: Duration,
    /// Waits after failures.
    pub backoff: BackoffConfig,
}

impl Default for FollowConfig {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(10),
            settle: Duration::from_millis(500),
            resync_spread: Duration::from_millis(1_500),
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
pub struct Follow {
    cfg: FollowConfig,
    /// Revision seen; `None` until a list succeeded or after a history expired.
    seen: Option<Revision>,
    /// No call before this time.
    not_before: Duration,
    backoff: Backoff,
}

impl Follow {
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
        self.backoff.succeeded();
        self.seen = Some(revision);
        self.not_before = now;
    }

    /// Takes in that a watch ended at `revision` with that many changes.
    pub fn watched(&mut self, now: Duration, revision: Revision, changes: usize) {
        self.backoff.succeeded();
        self.seen = Some(revision);
        self.not_before = now;
        if changes > 0 {
            let half = self.cfg.settle / 2;
            self.not_before += half + self.backoff.spread(self.cfg.settle);
        }
    }

    /// Takes in that a list or a watch failed.
    pub fn failed(&mut self, now: Duration, error: &Error) {
        if matches!(error, Error::HistoryExpired) {
            self.seen = None;
            self.not_before = now + self.backoff.spread(self.cfg.resync_spread);
            return;
        }
        self.not_before = now + self.backoff.failed(error.come_back());
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
