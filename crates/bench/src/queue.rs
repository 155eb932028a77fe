//! Event queue, ordered by time and then by insertion.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

struct Entry<T> {
    at: Duration,
    /// Insertion number; breaks ties, so that runs are reproducible.
    sequence: u64,
    value: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// Reversed, since the heap yields its greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Priority queue of events by time.
pub(crate) struct EventQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    next_sequence: u64,
}

impl<T> EventQueue<T> {
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Adds a value that is due at `at`.
    pub fn push(&mut self, at: Duration, value: T) {
        self.heap.push(Entry {
            at,
            sequence: self.next_sequence,
            value,
        });
        self.next_sequence += 1;
    }

    /// Removes the next value and returns it with its time.
    pub fn pop(&mut self) -> Option<(Duration, T)> {
        self.heap.pop().map(|entry| (entry.at, entry.value))
    }
}
