//! Pings that have not been answered yet.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::NodeId;

/// Pings that are remembered at most.
const MAX_PINGS: usize = 4_096;

/// How far a probe that was not answered has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The ping was sent.
    Direct,
    /// It was repeated.
    Retransmitted,
    /// Others were asked to probe.
    Indirect,
}

/// Why a ping was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To detect a failure of the subject.
    Detect(Stage),
    /// To tell or ask something; no answer means nothing.
    Notify,
    /// For another balancer, which gets the answer under its own number.
    Relay { node: NodeId, sequence: u32 },
}

/// A ping that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ping {
    /// The balancer that should answer; unknown if only its address is.
    pub(crate) subject: Option<NodeId>,
    pub(crate) purpose: Purpose,
    pub(crate) sent: Duration,
    /// Change of the own state that the ping carried.
    pub(crate) change: u64,
    /// Whether the ping asked for the subject's state.
    pub(crate) requested_state: bool,
}

/// Pings by their numbers.
#[derive(Debug)]
pub(crate) struct Pings {
    last_sequence: u32,
    pending: BTreeMap<u32, Ping>,
}

impl Pings {
    pub(crate) fn new(first: u32) -> Self {
        Self {
            last_sequence: first,
            pending: BTreeMap::new(),
        }
    }

    /// Records a ping and returns its number, which is never 0.
    pub(crate) fn register(&mut self, ping: Ping) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1).max(1);
        if self.pending.len() < MAX_PINGS {
            self.pending.insert(self.last_sequence, ping);
        }
        self.last_sequence
    }

    /// The ping that `from` answers for itself, or for `subject`; answered from then on.
    pub(crate) fn take_answered(
        &mut self,
        sequence: u32,
        from: NodeId,
        subject: NodeId,
    ) -> Option<(Ping, bool)> {
        let ping = *self.pending.get(&sequence)?;
        let direct = ping.subject.is_none_or(|s| s == from);
        if !direct && ping.subject != Some(subject) {
            return None;
        }
        self.pending.remove(&sequence);
        Some((ping, direct))
    }

    /// Forgets all, as after a pause.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Drops pings sent before `oldest` that nobody waits for.
    pub(crate) fn expire(&mut self, oldest: Duration) {
        self.pending
            .retain(|_, p| p.sent >= oldest || matches!(p.purpose, Purpose::Detect(_)));
    }

    /// Moves pings sent before a time from one stage to the next; their numbers and subjects.
    pub(crate) fn advance_overdue(
        &mut self,
        sent_before: Duration,
        from: Stage,
        to: Stage,
    ) -> Vec<(u32, NodeId)> {
        let mut overdue = Vec::new();
        for (sequence, ping) in &mut self.pending {
            let Some(subject) = ping.subject else {
                continue;
            };
            if ping.purpose == Purpose::Detect(from) && ping.sent <= sent_before {
                ping.purpose = Purpose::Detect(to);
                overdue.push((*sequence, subject));
            }
        }
        overdue
    }

    /// Subjects that did not answer at all; their pings are closed.
    pub(crate) fn take_failed(&mut self, sent_before: Duration) -> Vec<NodeId> {
        let mut failed = Vec::new();
        self.pending.retain(|_, ping| {
            let unanswered = ping.purpose == (Purpose::Detect(Stage::Indirect));
            if !unanswered || ping.sent > sent_before {
                return true;
            }
            failed.extend(ping.subject);
            false
        });
        failed
    }
}
