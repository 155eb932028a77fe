//! Copies of the store's objects, to restore it from one that is seconds old.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sequoiatrail_stand_in::{Store, StoreCopy};

/// Time between two copies.
const INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which copies are kept.
const MAX_AGE: Duration = Duration::from_secs(6);

/// Recent copies, oldest first.
#[derive(Default)]
pub(crate) struct Copies {
    copies: VecDeque<(Instant, StoreCopy)>,
}

impl Copies {
    /// Takes a copy if one is due.
    pub fn tick(&mut self, store: &Store) {
        let now = Instant::now();
        let last = self.copies.back().map(|(at, _)| *at);
        if last.is_some_and(|at| now < at + INTERVAL) {
            return;
        }
        self.copies.push_back((now, store.copy()));
        while self
            .copies
            .front()
            .is_some_and(|(at, _)| now > *at + MAX_AGE)
        {
            self.copies.pop_front();
        }
    }

    /// The latest copy that is at least this old, or else the oldest one.
    pub fn of_age(&self, age: Duration) -> Option<StoreCopy> {
        let now = Instant::now();
        let old_enough = |(at, _): &&(Instant, StoreCopy)| now >= *at + age;
        let found = self.copies.iter().rev().find(old_enough);
        found.or(self.copies.front()).map(|(_, copy)| copy.clone())
    }

    /// Drops all copies: later ones are of the restored store.
    pub fn clear(&mut self) {
        self.copies.clear();
    }
}
