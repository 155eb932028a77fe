//! Sampling and rate limiting of log events.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Admits one in `every` events, starting with the first.
#[derive(Debug)]
pub struct Sampler {
    /// Sampling interval; 0 admits nothing.
    every: u64,
    seen: AtomicU64,
}

impl Sampler {
    /// Creates a sampler that admits one in `every` events, or none if it is 0.
    pub fn new(every: u64) -> Self {
        Self {
            every,
            seen: AtomicU64::new(0),
        }
    }

    /// Returns the sampling interval, to be logged with the event, if the event is admitted.
    pub fn admit(&self) -> Option<u64> {
        if self.every == 0 {
            return None;
        }
        let seen = self.seen.fetch_add(1, Ordering::Relaxed);
        seen.is_multiple_of(self.every).then_some(self.every)
    }
}

/// Admits a limited number of events per second and counts the suppressed ones.
#[derive(Debug)]
pub struct RateLimit {
    per_second: u32,
    state: Mutex<RateState>,
}

#[derive(Debug, Default)]
struct RateState {
    /// Second to which `admitted` applies.
    second: u64,
    admitted: u32,
    /// Events suppressed since the last admitted one.
    skipped: u64,
}

impl RateLimit {
    /// Creates a limit of `per_second` events per clock second.
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            state: Mutex::default(),
        }
    }

    /// Returns the number of events suppressed before this one, if it is admitted.
    pub fn admit(&self, now: Duration) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.second != now.as_secs() {
            state.second = now.as_secs();
            state.admitted = 0;
        }
        if state.admitted >= self.per_second {
            state.skipped += 1;
            return None;
        }
        state.admitted += 1;
        Some(std::mem::take(&mut state.skipped))
    }
}
