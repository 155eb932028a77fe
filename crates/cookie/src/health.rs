//! Detection of silent targets.
//!
//! The balancer does not see what targets answer. It sees what callers do: an
//! opening packet that is answered is followed by another packet of the flow;
//! data that is not answered is sent again. Load pattern: a target dies, or is
//! cut off, with flows open and new ones arriving.
//!
//! Packets only raise a doubt, since a busy target is not a dead one. A doubt
//! asks for a probe, a plain connection to the target, and only a probe that
//! fails makes the target silent: its flows are ended, so that callers of
//! repeatable requests try again elsewhere within their time.

use std::time::Duration;

/// Settings of [`Health`].
#[derive(Clone, Copy, Debug)]
pub struct HealthConfig {
    /// Longest time to answer an opening packet before the target is doubted;
    /// several round trips to the callers.
    pub syn_timeout: Duration,
    /// First time for which a doubted target gets no new flows; doubles with
    /// each doubt in a row.
    pub initial_backoff: Duration,
    /// Longest such time.
    pub max_backoff: Duration,
    /// Least time after which a caller sends data again; copies that come sooner
    /// were held up on their way.
    pub min_rto: Duration,
    /// Time for which a repeated packet counts as evidence.
    pub evidence_ttl: Duration,
    /// Least time between two probes of a target; doubles while it stays silent.
    pub probe_interval: Duration,
    /// Longest such time.
    pub max_probe_interval: Duration,
    /// Time without any answer after which a target is silent whatever its
    /// probes say: another process may have taken over its address. Above the
    /// time of the slowest request behind a full queue at a cold target.
    pub silence_timeout: Duration,
    /// Packets repeated in that time.
    pub silence_retransmits: u32,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            syn_timeout: Duration::from_millis(60),
            initial_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(2),
            min_rto: Duration::from_millis(150),
            evidence_ttl: Duration::from_secs(2),
            probe_interval: Duration::from_millis(500),
            max_probe_interval: Duration::from_secs(2),
            silence_timeout: Duration::from_millis(1_200),
            silence_retransmits: 4,
        }
    }
}

/// What is believed of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Liveness {
    #[default]
    Responsive,
    /// A probe was asked for.
    Suspect,
    /// A probe failed and nothing was answered since it was asked for.
    Silent,
}

/// What the packets and probes tell about one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    liveness: Liveness,
    /// When the target last answered anything.
    last_response: Duration,
    /// Oldest opening packet sent since then.
    oldest_syn: Option<Duration>,
    /// When the oldest data was sent that callers repeated since then.
    unanswered_since: Option<Duration>,
    /// When the last packet was repeated, if any was.
    last_retransmit: Option<Duration>,
    /// Packets that callers repeated since then.
    retransmits: u32,
    /// No new flows before this time.
    backoff_until: Duration,
    /// Doubts in a row, without an answer between them.
    suspicions: u32,
    /// When the last probe was asked for.
    last_probe: Option<Duration>,
    /// Probes in a row that failed.
    failed_probes: u32,
}

impl Health {
    /// Takes in that an opening packet was sent to the target.
    pub fn record_syn(&mut self, now: Duration) {
        self.oldest_syn.get_or_insert(now);
    }

    /// Takes in that a caller repeated a packet that it first sent at `sent`.
    /// It tells nothing if the target answered others since.
    pub fn record_retransmit(&mut self, now: Duration, sent: Duration, cfg: &HealthConfig) {
        if sent < self.last_response || now < sent + cfg.min_rto {
            return;
        }
        self.expire_evidence(now, cfg);
        self.last_retransmit = Some(now);
        let since = self.unanswered_since.map_or(sent, |since| since.min(sent));
        self.unanswered_since = Some(since);
        self.retransmits = self.retransmits.saturating_add(1);
    }

    /// Takes in that the target answered something.
    pub fn record_response(&mut self, now: Duration) {
        *self = Health {
            last_response: now,
            last_probe: self.last_probe,
            ..Health::default()
        };
    }

    /// Takes in that the balancer stood still: what it saw before tells nothing,
    /// and what was sent before counts as answered.
    pub fn discard_evidence(&mut self, now: Duration) {
        self.record_response(now);
    }

    /// Whether new flows go elsewhere if possible. After a pause one flow may
    /// try again, and its silence pauses the target for longer.
    pub fn should_avoid(&mut self, now: Duration, cfg: &HealthConfig) -> bool {
        if self.liveness == Liveness::Silent || now < self.backoff_until {
            return true;
        }
        if !self.has_evidence(now, cfg) {
            return false;
        }
        let doublings = self.suspicions.min(8);
        let backoff = cfg.initial_backoff.saturating_mul(1 << doublings);
        self.backoff_until = now + backoff.min(cfg.max_backoff);
        self.suspicions = self.suspicions.saturating_add(1);
        true
    }

    /// Whether a probe is to be made now; asking counts as making it. A silent
    /// target is probed again and again, until it answers.
    pub fn take_due_probe(&mut self, now: Duration, cfg: &HealthConfig) -> bool {
        let interval = cfg
            .probe_interval
            .saturating_mul(1 << self.failed_probes.min(8));
        let interval = interval.min(cfg.max_probe_interval);
        let recent = self.last_probe.is_some_and(|at| now < at + interval);
        let wanted = self.liveness == Liveness::Silent || self.has_evidence(now, cfg);
        if recent || !wanted {
            return false;
        }
        if self.liveness == Liveness::Responsive {
            self.liveness = Liveness::Suspect;
        }
        self.last_probe = Some(now);
        true
    }

    /// Asks for a probe without evidence from packets: others that share the
    /// target's fate are silent. Returns whether one is to be made.
    pub fn request_probe(&mut self, now: Duration) -> bool {
        if self.liveness != Liveness::Responsive {
            return false;
        }
        self.liveness = Liveness::Suspect;
        self.last_probe = Some(now);
        true
    }

    /// Takes in whether something answered a probe that was asked for at
    /// `requested_at`. Returns whether the target has become silent.
    pub fn record_probe(&mut self, requested_at: Duration, answered: bool) -> bool {
        let before = self.liveness;
        if answered {
            self.failed_probes = 0;
            self.liveness = Liveness::Responsive;
            self.oldest_syn = None;
            return false;
        }
        if self.last_response >= requested_at {
            return false;
        }
        self.failed_probes = self.failed_probes.saturating_add(1);
        self.liveness = Liveness::Silent;
        before != Liveness::Silent
    }

    /// Whether the target's flows are better ended, by its probes.
    pub fn is_silent(&self) -> bool {
        self.liveness == Liveness::Silent
    }

    /// Whether a flow whose data was just repeated is better ended, whatever the
    /// probes say.
    pub fn is_stalled(&self, now: Duration, cfg: &HealthConfig) -> bool {
        let timed_out = self
            .unanswered_since
            .is_some_and(|s| now >= s + cfg.silence_timeout);
        timed_out && self.retransmits >= cfg.silence_retransmits
    }

    /// Doubts in a row.
    pub fn suspicions(&self) -> u32 {
        self.suspicions
    }

    fn has_evidence(&self, now: Duration, cfg: &HealthConfig) -> bool {
        let late = self.oldest_syn.is_some_and(|s| now > s + cfg.syn_timeout);
        let retransmitted = self
            .last_retransmit
            .is_some_and(|at| now < at + cfg.evidence_ttl);
        late || retransmitted
    }

    fn expire_evidence(&mut self, now: Duration, cfg: &HealthConfig) {
        if self
            .last_retransmit
            .is_some_and(|at| now >= at + cfg.evidence_ttl)
        {
            self.unanswered_since = None;
            self.retransmits = 0;
        }
    }
}
