//! How long a target takes to accept a connection.
//!
//! Load pattern: a target dies while its clients keep sending. The sooner a probe times
//! out, the fewer of them lose a request; but where links are narrow or targets are slow
//! to accept, a short timeout takes those that live for dead.

use std::collections::VecDeque;
use std::time::Duration;

use crate::HealthConfig;

/// Number of recent handshakes that count.
const WINDOW: usize = 64;
/// Number of handshakes before they tell the timeout.
const MIN_SAMPLES: usize = 16;

/// Times from opening packets to the next packets of their clients, for any target.
#[derive(Debug, Default)]
pub(crate) struct Handshakes {
    /// At most [`WINDOW`], oldest first.
    recent: VecDeque<Duration>,
}

impl Handshakes {
    /// Records the time of a handshake whose opening packet was sent once.
    pub fn record(&mut self, time: Duration) {
        if self.recent.len() == WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(time);
    }

    /// Timeout of one connection of a probe.
    pub fn probe_timeout(&self, cfg: &HealthConfig) -> Duration {
        let longest = self.recent.iter().max();
        let longest = longest.filter(|_| self.recent.len() >= MIN_SAMPLES);
        longest.map_or(cfg.max_probe_timeout, |longest| {
            longest
                .saturating_mul(cfg.probe_timeout_handshakes)
                .clamp(cfg.min_probe_timeout, cfg.max_probe_timeout)
        })
    }

    /// Discards what a pause of this process may have delayed.
    pub fn reset(&mut self) {
        self.recent.clear();
    }
}
