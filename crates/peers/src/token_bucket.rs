//! Bytes a second that may be sent.

use std::time::Duration;

/// A token bucket of bytes.
///
/// Its level may fall below zero: by what must be sent at once, and by the
/// last datagram that was let through.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_second: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            burst: f64::from(burst_bytes),
            level: f64::from(burst_bytes),
            at: Duration::ZERO,
        }
    }

    /// Whether something may be sent at `now`.
    pub fn allows(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + passed * self.bytes_per_second).min(self.burst);
        self.level > 0.0
    }

    /// Takes the bytes of a datagram that was sent.
    pub fn charge(&mut self, bytes: usize) {
        self.level -= bytes as f64;
    }
}
