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
    pub syn_grace: Duration,
    /// First time for which a doubted target gets no new flows; doubles with
    /// each doubt in a row.
    pub first_pause: Duration,
    /// Longest such time.
    pub longest_pause: Duration,
    /// Least time after which a caller sends data again; copies that come sooner
    /// were held up on their way.
    pub least_resend: Duration,
    /// Time for which a repeated packet counts as evidence.
    pub evidence_age: Duration,
    /// Least time between two probes of a target; doubles while it stays silent.
    pub probe_every: Duration,
    /// Longest such time.
    pub longest_probe_every: Duration,
    /// Time without any answer after which a target is silent whatever its
    /// probes say: another process may have taken over its address. Above the
    /// time of the slowest request behind a full queue at a cold target.
    pub silence: Duration,
    /// Packets repeated in that time.
    pub silent_repeats: u32,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            syn_grace: Duration::from_millis(60),
            first_pause: Duration::from_millis(500),
            longest_pause: Duration::from_secs(2),
            least_resend: Duration::from_millis(150),
            evidence_age: Duration::from_secs(2),
            probe_every: Duration::from_millis(500),
            longest_probe_every: Duration::from_secs(2),
            silence: Duration::from_millis(1_200),
            silent_repeats: 4,
        }
    }
}

/// What is believed of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Belief {
    #[default]
    Answers,
    /// A probe was asked for.
    Doubted,
    /// A probe failed and nothing was answered since it was asked for.
    Silent,
}

/// What the packets and probes tell about one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    belief: Belief,
    /// When the target last answered anything.
    last_progress: Duration,
    /// Oldest opening packet sent since then.
    syn_since: Option<Duration>,
    /// When the oldest data was sent that callers repeated since then.
    unanswered_since: Option<Duration>,
    /// When the last packet was repeated, if any was.
    last_repeat: Option<Duration>,
    /// Packets that callers repeated since then.
    repeats: u32,
    /// No new flows before this time.
    paused_until: Duration,
    /// Doubts in a row, without an answer between them.
    doubts: u32,
    /// When the last probe was asked for.
    probe_asked: Option<Duration>,
    /// Probes in a row that failed.
    failed_probes: u32,
}

impl Health {
    /// Takes in that an opening packet was sent to the target.
    pub fn opening(&mut self, now: Duration) {
        self.syn_since.get_or_insert(now);
    }

    /// Takes in that a caller repeated a packet that it first sent at `sent`.
    /// It tells nothing if the target answered others since.
    pub fn repeated(&mut self, now: Duration, sent: Duration, cfg: &HealthConfig) {
        if sent < self.last_progress || now < sent + cfg.least_resend {
            return;
        }
        self.drop_old_evidence(now, cfg);
        self.last_repeat = Some(now);
        let since = self.unanswered_since.map_or(sent, |since| since.min(sent));
        self.unanswered_since = Some(since);
        self.repeats = self.repeats.saturating_add(1);
    }

    /// Takes in that the target answered something.
    pub fn progress(&mut self, now: Duration) {
        *self = Health {
            last_progress: now,
            probe_asked: self.probe_asked,
            ..Health::default()
        };
    }

    /// Takes in that the balancer stood still: what it saw before tells nothing,
    /// and what was sent before counts as answered.
    pub fn forget_evidence(&mut self, now: Duration) {
        self.progress(now);
    }

    /// Whether new flows go elsewhere if possible. After a pause one flow may
    /// try again, and its silence pauses the target for longer.
    pub fn avoided(&mut self, now: Duration, cfg: &HealthConfig) -> bool {
        if self.belief == Belief::Silent || now < self.paused_until {
            return true;
        }
        if !self.has_evidence(now, cfg) {
            return false;
        }
        let doublings = self.doubts.min(8);
        let pause = cfg.first_pause.saturating_mul(1 << doublings);
        self.paused_until = now + pause.min(cfg.longest_pause);
        self.doubts = self.doubts.saturating_add(1);
        true
    }

    /// Whether a probe is to be made now; asking counts as making it. A silent
    /// target is probed again and again, until it answers.
    pub fn take_probe(&mut self, now: Duration, cfg: &HealthConfig) -> bool {
        let every = cfg
            .probe_every
            .saturating_mul(1 << self.failed_probes.min(8));
        let every = every.min(cfg.longest_probe_every);
        let recent = self.probe_asked.is_some_and(|at| now < at + every);
        let wanted = self.belief == Belief::Silent || self.has_evidence(now, cfg);
        if recent || !wanted {
            return false;
        }
        if self.belief == Belief::Answers {
            self.belief = Belief::Doubted;
        }
        self.probe_asked = Some(now);
        true
    }

    /// Asks for a probe without evidence from packets: others that share the
    /// target's fate are silent. Returns whether one is to be made.
    pub fn ask_probe(&mut self, now: Duration) -> bool {
        if self.belief != Belief::Answers {
            return false;
        }
        self.belief = Belief::Doubted;
        self.probe_asked = Some(now);
        true
    }

    /// Takes in whether something answered a probe that was asked for at
    /// `asked`. Returns whether the target has become silent.
    pub fn probed(&mut self, asked: Duration, answered: bool) -> bool {
        let before = self.belief;
        if answered {
            self.failed_probes = 0;
            self.belief = Belief::Answers;
            self.syn_since = None;
            return false;
        }
        if self.last_progress >= asked {
            return false;
        }
        self.failed_probes = self.failed_probes.saturating_add(1);
        self.belief = Belief::Silent;
        before != Belief::Silent
    }

    /// Whether the target's flows are better ended, by its probes.
    pub fn is_silent(&self) -> bool {
        self.belief == Belief::Silent
    }

    /// Whether a flow whose data was just repeated is better ended, whatever the
    /// probes say.
    pub fn seems_silent(&self, now: Duration, cfg: &HealthConfig) -> bool {
        let waits = self
            .unanswered_since
            .is_some_and(|s| now >= s + cfg.silence);
        waits && self.repeats >= cfg.silent_repeats
    }

    /// Doubts in a row.
    pub fn doubts(&self) -> u32 {
        self.doubts
    }

    fn has_evidence(&self, now: Duration, cfg: &HealthConfig) -> bool {
        let late = self.syn_since.is_some_and(|s| now > s + cfg.syn_grace);
        let repeated = self
            .last_repeat
            .is_some_and(|at| now < at + cfg.evidence_age);
        late || repeated
    }

    fn drop_old_evidence(&mut self, now: Duration, cfg: &HealthConfig) {
        if self
            .last_repeat
            .is_some_and(|at| now >= at + cfg.evidence_age)
        {
            self.unanswered_since = None;
            self.repeats = 0;
        }
    }
}
