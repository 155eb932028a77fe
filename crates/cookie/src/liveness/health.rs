//! Detection of silent (unresponsive) targets.
//!
//! Responses bypass the balancer, so health is inferred from client packets: a
//! SYN that got a response is followed by another packet of the flow, and data
//! without a response is retransmitted. The load pattern covered is a target that
//! dies or is partitioned while it has open flows and new ones arrive.
//!
//! Packets alone only make a target suspect, since a busy target looks the same as
//! a dead one. A suspect target is probed with a plain connection, and only a
//! failed probe marks it silent, unless packets to targets that live are lost too. Its
//! flows are then reset so that clients can retry idempotent requests on another target
//! before they time out.

use std::time::Duration;

use crate::liveness::evidence::Verdict;

/// Settings of [`Health`].
#[derive(Clone, Copy, Debug)]
pub struct HealthConfig {
    /// Time without a response to a SYN after which the target is suspect;
    /// several round trips to the clients.
    pub syn_timeout: Duration,
    /// Initial time for which a suspect target gets no new flows; doubles with
    /// each consecutive suspicion.
    pub initial_backoff: Duration,
    /// Upper limit of this backoff.
    pub max_backoff: Duration,
    /// Minimum retransmission timeout of clients; copies that arrive sooner were
    /// delayed on their way.
    pub min_rto: Duration,
    /// Time for which a retransmission counts as evidence.
    pub evidence_ttl: Duration,
    /// Minimum time between two probes of a target; doubles while it stays silent.
    pub probe_interval: Duration,
    /// Upper limit of this interval.
    pub max_probe_interval: Duration,
    /// Time without any response after which flows with retransmissions are reset even
    /// if probes succeed: another process may have taken over the target's address.
    /// Longer than the slowest request behind a full queue of a cold target.
    pub silence_timeout: Duration,
    /// Minimum number of retransmissions in that time.
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

/// Liveness of a target as inferred from packets and probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Liveness {
    #[default]
    Responsive,
    /// A probe was requested.
    Suspect,
    /// A probe failed and there was no response since it was requested, but that has
    /// other explanations; or another balancer saw it leave. It is probed again; meanwhile
    /// it gets no new flows and keeps those it has.
    Unconfirmed,
    /// A probe failed and there was no response since it was requested.
    Silent,
}

/// Health of one target as inferred from packets and probes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    liveness: Liveness,
    /// Time of the target's last response on any flow.
    last_response: Duration,
    /// Oldest SYN sent since then.
    oldest_syn: Option<Duration>,
    /// First transmission of the oldest data that was retransmitted since then.
    unanswered_since: Option<Duration>,
    /// Time of the last retransmission.
    last_retransmit: Option<Duration>,
    /// Retransmissions since the last response; cleared when the evidence expires.
    retransmits: u32,
    /// No new flows before this time.
    backoff_until: Duration,
    /// Consecutive suspicions without a response between them.
    suspicion_count: u32,
    /// When the last probe was requested.
    last_probe: Option<Duration>,
    /// When the latest probe with a result was requested. Results of earlier ones
    /// that arrive later say nothing new.
    last_result: Option<Duration>,
    /// Consecutive failed probes.
    failed_probes: u32,
    /// Whether it joined while no target could be reached and has not answered since.
    unproven: bool,
}

impl Health {
    /// Records that a SYN was sent to the target.
    pub fn record_syn(&mut self, now: Duration) {
        self.oldest_syn.get_or_insert(now);
    }

    /// Records that a client retransmitted a packet first sent at `sent`. Ignored
    /// if the target responded on another flow since then.
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

    /// Discards the retransmissions that count for [`Health::silence_timed_out`]. The
    /// target stays suspect.
    pub(crate) fn discard_silence(&mut self) {
        self.unanswered_since = None;
        self.retransmits = 0;
    }

    /// Records a response of the target; clears all suspicion.
    pub fn record_response(&mut self, now: Duration) {
        *self = Health {
            last_response: now,
            last_probe: self.last_probe,
            last_result: self.last_result,
            ..Health::default()
        };
    }

    /// Discards evidence from before a pause of this process; packets sent before
    /// it count as answered.
    pub fn discard_evidence(&mut self, now: Duration) {
        self.record_response(now);
    }

    /// Whether new flows should go elsewhere if possible. After a backoff the target
    /// may be tried again unless there is still evidence against it; each further
    /// backoff without a response in between is longer.
    pub fn should_avoid(&mut self, now: Duration, cfg: &HealthConfig) -> bool {
        if self.is_suspect(now) {
            return true;
        }
        if !self.has_evidence(now, cfg) {
            return false;
        }
        let doublings = self.suspicion_count.min(8);
        let backoff = cfg.initial_backoff.saturating_mul(1 << doublings);
        self.backoff_until = now + backoff.min(cfg.max_backoff);
        self.suspicion_count = self.suspicion_count.saturating_add(1);
        true
    }

    /// Whether the target failed its last probe or is in a backoff.
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.failed_last_probe() || now < self.backoff_until
    }

    /// Avoids the target until `until`, or until it answers.
    pub(crate) fn avoid_until(&mut self, until: Duration) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Whether a probe is due now; if so, it counts as requested. A silent target
    /// is probed repeatedly until it answers.
    pub fn take_due_probe(&mut self, now: Duration, cfg: &HealthConfig) -> bool {
        let interval = cfg
            .probe_interval
            .saturating_mul(1 << self.failed_probes.min(8));
        let interval = interval.min(cfg.max_probe_interval);
        let recent = self.last_probe.is_some_and(|at| now < at + interval);
        let wanted = self.is_unreachable() || self.has_evidence(now, cfg);
        if recent || !wanted {
            return false;
        }
        if self.liveness == Liveness::Responsive {
            self.liveness = Liveness::Suspect;
        }
        self.last_probe = Some(now);
        true
    }

    /// Avoids the target until it answers a probe.
    pub(crate) fn require_probe(&mut self) {
        *self = Health {
            liveness: Liveness::Silent,
            ..Health::default()
        };
    }

    /// Avoids the target until it answers a flow or a probe, which is due; open flows go
    /// on meanwhile.
    pub(crate) fn mark_doubtful(&mut self) {
        self.liveness = self.liveness.max(Liveness::Unconfirmed);
    }

    /// Requests a probe without evidence from packets, because other targets of
    /// the same failure domain are silent or another balancer found this one silent.
    /// Returns whether to make one: not if it was probed lately.
    pub(crate) fn request_probe(&mut self, now: Duration, cfg: &HealthConfig) -> bool {
        let recent = self
            .last_probe
            .is_some_and(|at| now < at + cfg.probe_interval);
        if recent || self.liveness != Liveness::Responsive {
            return false;
        }
        self.liveness = Liveness::Suspect;
        self.last_probe = Some(now);
        true
    }

    /// Records the result of a probe requested at `requested_at`. Returns whether
    /// the target has become silent.
    pub(crate) fn record_probe(&mut self, requested_at: Duration, verdict: Verdict) -> bool {
        if self.last_result.is_some_and(|at| requested_at < at) {
            return false;
        }
        self.last_result = Some(requested_at);
        let before = self.liveness;
        if verdict == Verdict::Answers {
            self.unproven = false;
            self.failed_probes = 0;
            self.liveness = Liveness::Responsive;
            self.oldest_syn = None;
            return false;
        }
        if self.last_response >= requested_at {
            return false;
        }
        let confirmed = match verdict {
            Verdict::SilentIfRepeated => self.failed_last_probe(),
            verdict => verdict == Verdict::Silent,
        };
        if !confirmed {
            self.liveness = before.max(Liveness::Unconfirmed);
            return false;
        }
        self.failed_probes = self.failed_probes.saturating_add(1);
        self.liveness = Liveness::Silent;
        before != Liveness::Silent
    }

    /// Cancels a probe that was not made, so that another one can be requested.
    pub(crate) fn cancel_probe(&mut self) {
        if self.liveness == Liveness::Suspect {
            self.liveness = Liveness::Responsive;
        }
    }

    /// Marks a target that joined while no other one could be reached. It may get flows,
    /// but does not count as reachable until it answers one or a probe, which is due.
    pub(crate) fn mark_unproven(&mut self) {
        self.unproven = true;
    }

    /// Whether the target failed its last probe, or joined while none could be reached and
    /// has not answered since.
    pub fn is_unreachable(&self) -> bool {
        self.unproven || self.failed_last_probe()
    }

    /// Whether the target failed its probes, so that its flows should be reset.
    pub fn is_silent(&self) -> bool {
        self.liveness == Liveness::Silent
    }

    /// Whether a flow whose data was just retransmitted should be reset even if
    /// probes succeed. Something that was sent at `path_proven_at`, to any target, was
    /// answered: before that, the data may wait in the link of this VM.
    pub(crate) fn silence_timed_out(
        &self,
        now: Duration,
        path_proven_at: Duration,
        cfg: &HealthConfig,
    ) -> bool {
        let timed_out = self
            .unanswered_since
            .is_some_and(|s| now >= s + cfg.silence_timeout && path_proven_at > s);
        timed_out && self.retransmits >= cfg.silence_retransmits
    }

    /// Time of the target's last response on any flow; `None` before the first one.
    pub(crate) fn last_response(&self) -> Option<Duration> {
        Some(self.last_response).filter(|at| !at.is_zero())
    }

    /// Number of consecutive suspicions.
    pub fn suspicion_count(&self) -> u32 {
        self.suspicion_count
    }

    /// Whether the last probe failed, conclusive or not, without a response since. The
    /// target is then probed until it answers, with or without traffic.
    pub fn failed_last_probe(&self) -> bool {
        matches!(self.liveness, Liveness::Unconfirmed | Liveness::Silent)
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
