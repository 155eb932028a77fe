//! Rate limit for control messages.

use std::collections::VecDeque;
use std::time::Duration;

use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{FlowMessage, FlowSet, Flows};

use crate::Action;
use crate::flow_set::{NO_ROUND, SetKey};

/// Bytes of addresses, lengths and the authentication tag added to a message.
const ENVELOPE_BYTES: usize = 100;
/// Burst size of the token bucket, in seconds at the full rate.
const BURST_SECONDS: f64 = 0.25;
/// Maximum number of queued corrections. A dropped one is produced again by the
/// next packet of its flow.
const MAX_QUEUED_CORRECTIONS: usize = 256;

/// Upper estimate of the bytes that a control message takes on the wire.
pub fn message_bytes(message: &FlowMessage) -> usize {
    let body = match message {
        FlowMessage::Relay(_, packet) => packet.len(),
        FlowMessage::Placed { .. } => 16,
        FlowMessage::Offer(set)
        | FlowMessage::Report(set)
        | FlowMessage::Settled(set)
        | FlowMessage::Gathered(set) => set_bytes(set),
        FlowMessage::Missing(missing) => 24 + 2 * missing.parts.len(),
    };
    ENVELOPE_BYTES + body
}

/// Cap'n Proto packing adds a tag byte for every eight non-zero bytes.
fn set_bytes(set: &FlowSet) -> usize {
    match &set.flows {
        Flows::Hashes(hashes) => 9 * hashes.len(),
        Flows::Buckets(buckets) => 2 * buckets.len() + buckets.len() / 4,
        Flows::Filter(filter) => 2 * filter.fingerprints.len() + filter.fingerprints.len() / 4,
    }
}

/// Control message queues with a token bucket.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Messages that must be sent before a plan counts as prepared.
    urgent: VecDeque<(NodeId, FlowMessage)>,
    /// Sets of flows and requests for their parts, in order.
    sets: VecDeque<(NodeId, FlowMessage)>,
    /// Answers to relayed packets; sent only when the other queues are empty.
    corrections: VecDeque<(NodeId, FlowMessage)>,
    /// Bytes that may be sent now; negative after a message larger than the
    /// rest.
    budget_bytes: f64,
    refilled_at: Duration,
}

impl Outbox {
    /// Queues a message ahead of all others.
    pub fn push_urgent(&mut self, to: NodeId, message: FlowMessage) {
        self.urgent.push_back((to, message));
    }

    /// Whether urgent messages are queued.
    pub fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Queues a message about sets.
    pub fn push(&mut self, to: NodeId, message: FlowMessage) {
        self.sets.push_back((to, message));
    }

    /// Queues a message unless an equal one is already queued.
    pub fn push_once(&mut self, to: NodeId, message: FlowMessage) {
        let queued = self.sets.iter().any(|(n, m)| *n == to && *m == message);
        if !queued {
            self.push(to, message);
        }
    }

    /// Queues an answer to a relayed packet, or drops it if the queue is full.
    pub fn push_correction(&mut self, to: NodeId, message: FlowMessage) {
        if self.corrections.len() < MAX_QUEUED_CORRECTIONS {
            self.corrections.push_back((to, message));
        }
    }

    /// Drops messages to balancers that are gone and parts of outdated sets.
    pub fn drop_stale(&mut self, live: &[NodeId], current: impl Fn(SetKey) -> bool) {
        let fresh = |message: &FlowMessage| match message {
            FlowMessage::Offer(set)
            | FlowMessage::Report(set)
            | FlowMessage::Settled(set)
            | FlowMessage::Gathered(set) => set.view == NO_ROUND || current(SetKey::of(set)),
            _ => true,
        };
        self.sets
            .retain(|(to, message)| live.binary_search(to).is_ok() && fresh(message));
    }

    /// Number of queued messages, corrections excluded.
    pub fn pending(&self) -> usize {
        self.urgent.len() + self.sets.len()
    }

    /// Dequeues the messages that may be sent now at `rate` bytes per second.
    pub fn drain(&mut self, now: Duration, rate: usize) -> Vec<Action> {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let rate = rate as f64;
        self.budget_bytes = (self.budget_bytes + passed * rate).min(rate * BURST_SECONDS);
        let mut actions = Vec::new();
        while self.budget_bytes > 0.0 {
            let queues = [&mut self.urgent, &mut self.sets, &mut self.corrections];
            let Some((to, message)) = queues.into_iter().find_map(VecDeque::pop_front) else {
                break;
            };
            self.budget_bytes -= message_bytes(&message) as f64;
            actions.push(Action::Send { to, message });
        }
        actions
    }
}
