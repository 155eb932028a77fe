//! Priority queue of messages that wait for the rate limit.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use sequoiatrail_wire::message::Body;

use crate::Kind;

/// Kinds that are queued, highest priority first.
const PRIORITIES: [Kind; 5] = [
    Kind::Answer,
    Kind::Report,
    Kind::Filter,
    Kind::Forward,
    Kind::Load,
];
/// Messages queued for longer are sent before higher-priority kinds, so that
/// none of them starves.
const OVERDUE_AFTER: Duration = Duration::from_secs(5);

/// Content of a queued message.
#[derive(Debug)]
pub(crate) enum Payload {
    /// A message from this balancer, not yet encoded.
    Message(Body),
    /// An encoded datagram forwarded unchanged for another balancer.
    Datagram(Vec<u8>),
}

/// A queued message.
#[derive(Debug)]
pub(crate) struct QueuedMessage {
    pub(crate) to: SocketAddr,
    pub(crate) kind: Kind,
    pub(crate) payload: Payload,
    queued_at: Duration,
}

/// Queued messages, with one FIFO lane per kind.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    lanes: [VecDeque<QueuedMessage>; PRIORITIES.len()],
}

impl SendQueue {
    /// Queues a message. Returns whether a message was dropped: the oldest of its
    /// kind if the lane is full, or this one if its kind is never queued.
    pub(crate) fn push(
        &mut self,
        now: Duration,
        kind: Kind,
        to: SocketAddr,
        payload: Payload,
    ) -> bool {
        let Some(lane) = PRIORITIES.iter().position(|k| *k == kind) else {
            return true;
        };
        let full = self.lanes[lane].len() >= capacity(kind);
        if full {
            self.lanes[lane].pop_front();
        }
        self.lanes[lane].push_back(QueuedMessage {
            to,
            kind,
            payload,
            queued_at: now,
        });
        full
    }

    /// Removes the message to send next: the oldest overdue one, or else the
    /// first of the highest-priority kind.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<QueuedMessage> {
        let fronts = self.lanes.iter().enumerate();
        let fronts = fronts.filter_map(|(lane, queue)| Some((lane, queue.front()?.queued_at)));
        let overdue = fronts.filter(|(_, queued_at)| now >= *queued_at + OVERDUE_AFTER);
        let oldest = overdue.min_by_key(|(_, queued_at)| *queued_at);
        let lane = match oldest {
            Some((lane, _)) => lane,
            None => self.lanes.iter().position(|queue| !queue.is_empty())?,
        };
        self.lanes[lane].pop_front()
    }
}

/// Maximum queue length of a kind. Answers and load are of little use when they
/// are late, so few of them are kept.
fn capacity(kind: Kind) -> usize {
    match kind {
        Kind::Answer | Kind::Forward | Kind::Load => 64,
        _ => 4_096,
    }
}
