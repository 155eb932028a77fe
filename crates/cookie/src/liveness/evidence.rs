//! Weight of silence as evidence against a target.
//!
//! The load pattern covered is an overload in which packets are lost or wait for long
//! on the way to targets that live: bursts of many times the usual load through links
//! of a few Mbit/s. Retransmissions and failed probes are then as frequent towards
//! targets that serve as towards dead ones.
//!
//! What tells them apart is how the other targets answer meanwhile. A dead target
//! answers nothing, while the others answer most requests, and at the first attempt. If
//! many requests to any targets are answered only after a retransmission, or most not at
//! all, the path is in trouble, and silence says little about a single target: open
//! flows are then kept, and only new ones avoid it.
//!
//! A full link of this VM holds everything up for some hundred milliseconds, which no
//! count shows in time if there are few requests. The last connection of a probe is
//! therefore made together with one to another target, the reference. If nothing comes
//! back from that one either, the silence may be that of the path. Answered requests don't
//! show the opposite: a link may let datagrams pass while connections wait.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of the spans in which requests are counted.
const SPAN: Duration = Duration::from_millis(250);
/// Number of spans that count; together twice the longest interval between two
/// retransmissions (1.6 s), as requests are answered that much later than a loss.
const MAX_SPANS: usize = 13;
/// Number of spans that show a trouble that has just begun.
const RECENT_SPANS: usize = 3;

/// Settings of the weighing of evidence.
#[derive(Clone, Copy, Debug)]
pub struct EvidenceConfig {
    /// Fraction of the answered requests that were answered only after a retransmission,
    /// from which silence is inconclusive. With this loss, two packets in a row get lost
    /// for one of a hundred targets.
    pub max_recovered: f64,
    /// Minimum number of such requests; a few of them are ordinary loss.
    pub min_recovered: u32,
    /// Fraction of the requests that must be answered. An outage of most targets at once
    /// looks like trouble of this VM and costs no open flow.
    pub min_answered: f64,
    /// Minimum number of requests for that fraction to count.
    pub min_sent: u32,
}

impl Default for EvidenceConfig {
    fn default() -> Self {
        Self {
            max_recovered: 0.1,
            min_recovered: 3,
            min_answered: 0.5,
            min_sent: 8,
        }
    }
}

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target accepted the connection.
    Answered,
    /// Nothing came back in time, while the reference answered or there is none.
    TimedOut,
    /// Nothing came back in time, neither from the target nor from the reference.
    NothingAnswered,
    /// The target's host refused the connection: no process listens there, or it is at
    /// its limit of connections.
    Refused,
    /// This VM could not send it, for want of a descriptor, a port or a network.
    NotSent,
}

/// What a probe says about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It lives.
    Answers,
    /// It is silent.
    Silent,
    /// It is silent unless it answers a request before a second such probe.
    SilentIfRepeated,
    /// It may be silent, but the same befalls packets to targets that live.
    Doubtful,
    /// It may be silent, but so is another one that was asked at the same time.
    NothingAnswers,
}

/// Requests in one span, to all targets.
#[derive(Clone, Copy, Debug, Default)]
struct Requests {
    /// Opening packets, also those moved to another target, and requests sent for the
    /// first time.
    sent: u32,
    /// Answered ones, whenever they were sent.
    answered: u32,
    /// Requests answered only after a retransmission. An opening packet that is sent
    /// again goes to another target, so it does not count.
    recovered: u32,
}

impl Requests {
    fn is_lossy(&self, cfg: &EvidenceConfig) -> bool {
        let max = f64::from(self.answered) * cfg.max_recovered;
        self.recovered >= cfg.min_recovered && f64::from(self.recovered) > max
    }

    fn is_unanswered(&self, cfg: &EvidenceConfig) -> bool {
        let min = f64::from(self.sent) * cfg.min_answered;
        self.sent >= cfg.min_sent && f64::from(self.answered) < min
    }
}

/// Requests to all targets through this balancer in the last [`MAX_SPANS`].
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Number of the newest span since the clock's start.
    newest: u128,
    /// Newest first.
    spans: VecDeque<Requests>,
    /// When the newest request or probe that was answered since was sent.
    path_proven_at: Duration,
}

impl Evidence {
    /// Records that an opening packet or a request was sent for the first time.
    pub fn record_sent(&mut self, now: Duration) {
        self.current(now).sent += 1;
    }

    /// Records that a target answered something that was sent at `sent` or later.
    pub fn record_path_proven(&mut self, sent: Duration) {
        self.path_proven_at = self.path_proven_at.max(sent);
    }

    /// When the newest request or probe that was answered since was sent.
    pub fn path_proven_at(&self) -> Duration {
        self.path_proven_at
    }

    /// Records that a target answered; `recovered` if the request was retransmitted
    /// before.
    pub fn record_answer(&mut self, now: Duration, recovered: bool) {
        let current = self.current(now);
        current.answered += 1;
        current.recovered += u32::from(recovered);
    }

    /// Whether a target that does not answer counts as silent, so that its open flows
    /// may be reset.
    pub fn is_conclusive(&mut self, now: Duration, cfg: &EvidenceConfig) -> bool {
        self.current(now);
        let lossy = self.spans.iter().any(|span| span.is_lossy(cfg));
        let unanswered = |spans| self.sum(spans).is_unanswered(cfg);
        !lossy && !unanswered(RECENT_SPANS) && !unanswered(MAX_SPANS)
    }

    /// What the outcome of a probe says about its target; `None` if nothing.
    pub fn judge(
        &mut self,
        now: Duration,
        outcome: ProbeOutcome,
        cfg: &EvidenceConfig,
    ) -> Option<Verdict> {
        match outcome {
            ProbeOutcome::NotSent => None,
            ProbeOutcome::Answered => Some(Verdict::Answers),
            _ if !self.is_conclusive(now, cfg) => Some(Verdict::Doubtful),
            ProbeOutcome::NothingAnswered => Some(Verdict::NothingAnswers),
            ProbeOutcome::TimedOut => Some(Verdict::Silent),
            // It comes back at once, before a target that is only full could answer one
            // of its flows.
            ProbeOutcome::Refused => Some(Verdict::SilentIfRepeated),
        }
    }

    /// Discards what was counted.
    pub fn reset(&mut self) {
        self.spans.clear();
    }

    fn sum(&self, spans: usize) -> Requests {
        let spans = self.spans.iter().take(spans);
        spans.fold(Requests::default(), |sum, span| Requests {
            sent: sum.sent + span.sent,
            answered: sum.answered + span.answered,
            recovered: sum.recovered + span.recovered,
        })
    }

    fn current(&mut self, now: Duration) -> &mut Requests {
        let number = now.as_millis() / SPAN.as_millis();
        let elapsed = number.saturating_sub(self.newest);
        self.newest = self.newest.max(number);
        for _ in 0..elapsed.min(MAX_SPANS as u128) {
            self.spans.push_front(Requests::default());
        }
        self.spans.truncate(MAX_SPANS);
        if self.spans.is_empty() {
            self.spans.push_front(Requests::default());
        }
        &mut self.spans[0]
    }
}
