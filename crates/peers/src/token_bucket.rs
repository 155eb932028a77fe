//! Rate limit of sent bytes.

use std::time::Duration;

/// A token bucket that counts bytes.
///
/// The balance may become negative: urgent messages are charged without a
/// check, and the last datagram allowed may be larger than the balance.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_second: f64,
    /// Capacity in bytes.
    burst: f64,
    /// Balance in bytes.
    available: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            burst: f64::from(burst_bytes),
            available: f64::from(burst_bytes),
            refilled_at: Duration::ZERO,
        }
    }

    /// Refills the bucket up to `now` and returns whether a datagram may be sent.
    pub fn allows(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.available = (self.available + passed * self.bytes_per_second).min(self.burst);
        self.available > 0.0
    }

    /// Deducts the bytes of a sent datagram.
    pub fn charge(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
