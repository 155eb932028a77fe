//! Decides when to ask the store itself what a replica may not have yet.
//!
//! Load pattern: reads that may be stale cost the store little, but nothing tells how far
//! behind they are. All balancers follow by stale reads. One of a group at a time, drawn by
//! random delays, asks the store itself and tells the others which change was the last one;
//! whoever still lacks it after a grace period asks too, and one that starts at once: its
//! first list may lack anything.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Settings of a [`Verification`].
#[derive(Clone, Copy, Debug)]
pub struct VerificationConfig {
    /// Time after a check, of this balancer or of another one, in which none is due.
    pub interval: Duration,
    /// Maximum random delay after that, so that one balancer of a group asks first.
    pub jitter: Duration,
    /// Time after another balancer told of a change within which a stale read may still
    /// bring it.
    pub grace: Duration,
}

impl Default for VerificationConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(900),
            jitter: Duration::from_millis(400),
            grace: Duration::from_millis(1_000),
        }
    }
}

/// When the objects of one kind are to be compared with the store; `R` is the type of
/// revisions.
#[derive(Debug)]
pub struct Verification<R> {
    cfg: VerificationConfig,
    /// When the next check is due, whatever others tell.
    due_at: Duration,
    /// A change that another balancer told of and that was missing here, and since when.
    missing: Option<(R, Duration)>,
    /// Whether no check has succeeded or failed yet, and none was heard of that shows that
    /// nothing is missing.
    is_first: bool,
    rng: ChaCha8Rng,
}

impl<R: Copy + Ord> Verification<R> {
    /// A check is due at once; `seed` seeds the random delays.
    pub fn new(cfg: VerificationConfig, seed: u64) -> Verification<R> {
        Verification {
            cfg,
            due_at: Duration::ZERO,
            missing: None,
            is_first: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Whether to ask the store now, given the revision up to which changes are applied.
    pub fn is_due(&self, now: Duration, applied: R) -> bool {
        let grace = match self.is_first {
            true => Duration::ZERO,
            false => self.cfg.grace,
        };
        let missing = self.missing.filter(|(change, _)| *change > applied);
        let overdue = missing.is_some_and(|(_, since)| now >= since + grace);
        overdue || now >= self.due_at
    }

    /// Whether it is not known yet if what was read first lacks anything, given the revision
    /// up to which changes are applied. A check that fails leaves it at that.
    pub fn awaits_first(&self, applied: R) -> bool {
        self.is_first && self.missing.is_none_or(|(change, _)| change > applied)
    }

    /// Records that another balancer asked the store, and the last change that it knows.
    pub fn record_heard(&mut self, now: Duration, last_change: R, applied: R) {
        self.postpone(now);
        let missing = self.missing.filter(|(change, _)| *change > applied);
        self.missing = match missing {
            Some((change, since)) => Some((change.max(last_change), since)),
            None => (last_change > applied).then_some((last_change, now)),
        };
        self.is_first &= self.missing.is_some();
    }

    /// Records that a check has succeeded: nothing is missing.
    pub fn record_checked(&mut self, now: Duration) {
        self.missing = None;
        self.is_first = false;
        self.postpone(now);
    }

    /// Records that a check has failed. What is missing is still missing.
    pub fn record_failure(&mut self, now: Duration) {
        self.missing = self.missing.map(|(change, _)| (change, now));
        self.is_first = false;
        self.postpone(now);
    }

    fn postpone(&mut self, now: Duration) {
        let jitter = self.cfg.jitter.mul_f64(self.rng.random());
        self.due_at = now + self.cfg.interval + jitter;
    }
}
