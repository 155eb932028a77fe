//! Pings that await a reply.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::NodeId;

/// Maximum number of pending pings.
const MAX_PINGS: usize = 4_096;

/// Stage of an unanswered failure detection probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The ping was sent.
    Direct,
    /// The ping was retransmitted.
    Retransmitted,
    /// Other members were requested to probe.
    Indirect,
}

/// Why a ping was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To detect a failure of the subject.
    Detect(Stage),
    /// To send or request state, or to reach a suspect or non-member; a missing reply has no
    /// consequence.
    Notify,
    /// On behalf of another balancer, to which the reply is relayed under its sequence number.
    Relay { node: NodeId, sequence: u32 },
}

/// A ping that awaits a reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ping {
    /// The pinged balancer; `None` if only its address is known.
    pub(crate) subject: Option<NodeId>,
    pub(crate) purpose: Purpose,
    pub(crate) sent: Duration,
    /// Last change of this balancer that the ping covers.
    pub(crate) change: u64,
    /// Whether the ping requested the subject's state.
    pub(crate) requested_state: bool,
}

/// Pending pings by sequence number.
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

    /// Registers a ping and returns its sequence number, which is never 0.
    pub(crate) fn register(&mut self, ping: Ping) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1).max(1);
        if self.pending.len() < MAX_PINGS {
            self.pending.insert(self.last_sequence, ping);
        }
        self.last_sequence
    }

    /// Removes and returns the ping that `from` answers for itself or on behalf of
    /// `subject`, and whether the reply is direct.
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

    /// Drops all pings.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Drops pings sent before `oldest`, except failure detection probes.
    pub(crate) fn expire(&mut self, oldest: Duration) {
        self.pending
            .retain(|_, p| p.sent >= oldest || matches!(p.purpose, Purpose::Detect(_)));
    }

    /// Moves probes sent at or before `sent_before` from one stage to the next and returns
    /// their sequence numbers and subjects.
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

    /// Removes probes that failed in the last stage and returns their subjects.
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
