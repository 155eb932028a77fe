//! Decides when to list, watch or wait; the I/O-free part of a follower.

use std::time::Duration;

use crate::{Backoff, BackoffConfig, Error, Revision};

/// Settings for following objects.
#[derive(Clone, Copy, Debug)]
pub struct FollowConfig {
    /// How long the platform holds a watch open if nothing changes.
    pub watch_wait: Duration,
    /// Mean delay between a reported change and the next watch, which batches
    /// changes and bounds the request rate when there are many.
    pub batch_delay: Duration,
    /// Max random delay before listing again after the history has expired, which
    /// spreads the lists of the followers.
    pub resync_jitter: Duration,
    /// Age at which a balancer's status that is no longer updated is removed.
    pub stale_after: Duration,
    /// Backoff after failures.
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

/// Next action of a follower; `R` is the type of revisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<R = Revision> {
    /// Do nothing for this long.
    Wait(Duration),
    /// List all objects.
    List,
    /// Watch for changes after this revision.
    Watch(R),
}

/// List-watch state machine of a follower; `R` is the type of revisions.
#[derive(Debug)]
pub struct FollowState<R = Revision> {
    cfg: FollowConfig,
    /// Latest known revision; `None` before the first list and after the history expired.
    last_seen: Option<R>,
    /// No request is sent before this time.
    not_before: Duration,
    backoff: Backoff,
}

impl<R: Copy> FollowState<R> {
    /// A follower that starts with a list; `seed` seeds its random delays.
    pub fn new(cfg: FollowConfig, seed: u64) -> Self {
        Self {
            cfg,
            last_seen: None,
            not_before: Duration::ZERO,
            backoff: Backoff::new(cfg.backoff, seed),
        }
    }

    /// Returns the next action at time `now`.
    pub fn next(&self, now: Duration) -> Step<R> {
        if now < self.not_before {
            return Step::Wait(self.not_before - now);
        }
        match self.last_seen {
            Some(after) => Step::Watch(after),
            None => Step::List,
        }
    }

    /// Records a successful list at `revision`.
    pub fn listed(&mut self, now: Duration, revision: R) {
        self.backoff.reset();
        self.last_seen = Some(revision);
        self.not_before = now;
    }

    /// Records a watch that returned `changes` changes up to `revision`.
    pub fn watched(&mut self, now: Duration, revision: R, changes: usize) {
        self.backoff.reset();
        self.last_seen = Some(revision);
        self.not_before = now;
        if changes > 0 {
            let half = self.cfg.batch_delay / 2;
            self.not_before += half + self.backoff.jitter(self.cfg.batch_delay);
        }
    }

    /// Records a failed list or watch.
    pub fn failed(&mut self, now: Duration, error: &Error) {
        if matches!(error, Error::HistoryExpired) {
            self.last_seen = None;
            self.not_before = now + self.backoff.jitter(self.cfg.resync_jitter);
            return;
        }
        self.not_before = now + self.backoff.next_delay(error.retry_delay());
    }

    /// Resets the state: the next action is a list, without delay.
    pub fn restart(&mut self) {
        self.last_seen = None;
        self.not_before = Duration::ZERO;
    }

    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Settings.
    pub fn config(&self) -> &FollowConfig {
        &self.cfg
    }
}
