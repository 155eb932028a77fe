//! Detection of silent targets from the packets of callers alone.
//!
//! The balancer does not see what targets answer. It sees that a caller goes on:
//! an opening packet is followed by another packet of the flow, data is followed
//! by a higher acknowledgement. Load pattern: a target dies with flows open and
//! new ones arriving; everything sent to it piles up unanswered.

use std::time::Duration;

/// Settings of [`Health`].
#[derive(Clone, Copy, Debug)]
pub struct HealthConfig {
    /// Longest time to answer an opening packet before the target gets no new
    /// flows; several round trips to the callers.
    pub syn_grace: Duration,
    /// Longest time without any progress, while data waits, before the target
    /// gets no new flows; above the time of a slow request.
    pub data_grace: Duration,
    /// First time for which a suspected target gets no new flows; doubles with
    /// each suspicion in a row.
    pub first_pause: Duration,
    /// Longest such time.
    pub longest_pause: Duration,
    /// Time without any progress after which flows with repeated data are reset.
    pub silence: Duration,
    /// Packets repeated without progress before flows are reset.
    pub silent_repeats: u32,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            syn_grace: Duration::from_millis(60),
            data_grace: Duration::from_millis(400),
            first_pause: Duration::from_millis(500),
            longest_pause: Duration::from_secs(2),
            silence: Duration::from_millis(450),
            silent_repeats: 4,
        }
    }
}

/// What the packets tell about one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Oldest opening packet sent since the last progress.
    syn_since: Option<Duration>,
    /// Oldest data sent since the last progress.
    data_since: Option<Duration>,
    /// Packets that callers repeated since the last progress.
    repeats: u32,
    /// No new flows before this time.
    paused_until: Duration,
    /// Suspicions in a row, without progress between them.
    suspicions: u32,
}

impl Health {
    /// Takes in that an opening packet was sent to the target.
    pub fn opening(&mut self, now: Duration) {
        self.syn_since.get_or_insert(now);
    }

    /// Takes in that data was sent to the target.
    pub fn data(&mut self, now: Duration) {
        self.data_since.get_or_insert(now);
    }

    /// Takes in that a caller repeated a packet.
    pub fn repeated(&mut self) {
        self.repeats = self.repeats.saturating_add(1);
    }

    /// Takes in that the target answered something.
    pub fn progress(&mut self) {
        *self = Health::default();
    }

    /// Whether new flows go elsewhere if possible. After a pause one flow may
    /// try again, and its silence pauses the target for longer.
    pub fn suspected(&mut self, now: Duration, cfg: &HealthConfig) -> bool {
        if now < self.paused_until {
            return true;
        }
        let late = |since: Option<Duration>, grace| since.is_some_and(|s| now > s + grace);
        if !late(self.syn_since, cfg.syn_grace) && !late(self.data_since, cfg.data_grace) {
            return false;
        }
        let doublings = self.suspicions.min(8);
        let pause = cfg.first_pause.saturating_mul(1 << doublings);
        self.paused_until = now + pause.min(cfg.longest_pause);
        self.suspicions = self.suspicions.saturating_add(1);
        self.syn_since = None;
        true
    }

    /// Whether nothing at all came from the target for so long that its flows
    /// are better ended: callers of repeatable requests try again elsewhere.
    pub fn silent(&self, now: Duration, cfg: &HealthConfig) -> bool {
        let waits = self.data_since.is_some_and(|s| now > s + cfg.silence);
        waits && self.repeats >= cfg.silent_repeats
    }

    /// Suspicions in a row.
    pub fn suspicions(&self) -> u32 {
        self.suspicions
    }
}
