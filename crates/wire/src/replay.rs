//! Protection against replayed datagrams.

use std::collections::HashMap;

use sequoiatrail_types::NodeId;

/// Window size in datagrams: how far one may be reordered and still be accepted.
const WINDOW: u64 = 1_024;
const WORD_BITS: u64 = u64::BITS as u64;
const WORDS: usize = (WINDOW / WORD_BITS) as usize;

/// Sliding window over the serial numbers received from one sender: the highest one and
/// a bitmap of the last 1,024.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit `serial % WINDOW` is set if `serial` is in the window and was received.
    seen: [u64; WORDS],
}

impl ReplayWindow {
    /// Records `serial` and returns whether it is new.
    pub fn accept(&mut self, serial: u64) -> bool {
        if serial == 0 || serial.saturating_add(WINDOW) <= self.highest {
            return false;
        }
        if serial > self.highest {
            self.advance(serial);
        }
        let (word, bit) = position(serial);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    fn advance(&mut self, serial: u64) {
        if serial - self.highest >= WINDOW {
            self.seen = [0; WORDS];
        } else {
            for skipped in self.highest + 1..=serial {
                let (word, bit) = position(skipped);
                self.seen[word] &= !bit;
            }
        }
        self.highest = serial;
    }
}

fn position(serial: u64) -> (usize, u64) {
    let offset = serial % WINDOW;
    ((offset / WORD_BITS) as usize, 1 << (offset % WORD_BITS))
}

#[derive(Debug, Default)]
struct Sender {
    window: ReplayWindow,
    /// Value of [`ReplayGuard::clock`] at the last datagram of the sender.
    last_used: u64,
}

/// Replay protection for up to `capacity` senders, with a [`ReplayWindow`] for each.
///
/// A restarted process starts its serial numbers again under a new [`NodeId`], so
/// no clocks have to be compared. A sender beyond the capacity evicts the least
/// recently used one.
#[derive(Debug)]
pub struct ReplayGuard {
    capacity: usize,
    senders: HashMap<NodeId, Sender>,
    /// Logical clock for eviction: the number of datagrams checked.
    clock: u64,
}

impl ReplayGuard {
    /// Creates a guard for `capacity` senders, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            senders: HashMap::new(),
            clock: 0,
        }
    }

    /// Records the datagram `serial` of `from` and returns whether it is new. Call this only
    /// for authenticated datagrams.
    pub fn accept(&mut self, from: NodeId, serial: u64) -> bool {
        self.clock += 1;
        if !self.senders.contains_key(&from) && self.senders.len() >= self.capacity {
            self.evict_oldest();
        }
        let sender = self.senders.entry(from).or_default();
        sender.last_used = self.clock;
        sender.window.accept(serial)
    }

    /// Number of tracked senders.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Whether no sender is tracked.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn evict_oldest(&mut self) {
        let oldest = self.senders.iter().min_by_key(|(_, s)| s.last_used);
        if let Some(node) = oldest.map(|(node, _)| *node) {
            self.senders.remove(&node);
        }
    }
}
