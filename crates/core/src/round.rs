//! State of one reconciliation round of a service: the sets sent and received.
//! Does not access the flow table.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::map::HashMap;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{FlowMessage, FlowSet, Missing, SetKind};

use crate::flow_set::{PartialSet, SetKey};

/// Time without a new part after which the missing parts are requested.
const REQUEST_AFTER: Duration = Duration::from_secs(3);
/// Maximum time between two such requests.
const MAX_REQUEST_BACKOFF: Duration = Duration::from_secs(12);
/// Maximum number of parts named in one request.
const MAX_REQUESTED_PARTS: usize = 256;

/// Progress of this balancer in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Its offer has been sent; it waits for the reports of the other owners.
    Offered,
    /// All reports have arrived: as an owner it now knows every off-plan flow.
    Reported,
    /// Its `Settled` set has been sent.
    Sent,
    /// The sets of all owners have arrived, and it has announced this.
    Gathered,
    /// All other owners have announced the same; its buckets are settled.
    Settled,
}

/// A set that is being received, and when to request its missing parts.
#[derive(Clone, Debug)]
struct ExpectedSet {
    partial: PartialSet,
    request_at: Duration,
    backoff: Duration,
}

/// A reconciliation round.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    /// Service, plan, owners and number of the round.
    pub key: SetKey,
    /// Progress of this balancer.
    pub stage: Stage,
    /// When it started, or when its filters were last checked for ended flows.
    pub started: Duration,
    /// Number of flows listed in the sets of this balancer.
    pub listed_flows: usize,
    /// `block_epoch` of the service when the round started.
    pub block_epoch: u32,
    /// The other owners.
    pub owners: Vec<NodeId>,
    expected: BTreeMap<(NodeId, SetKind), ExpectedSet>,
    /// Sets that were sent: to all balancers, or reports to one owner.
    sent: HashMap<(SetKind, Option<NodeId>), Vec<FlowSet>>,
}

impl Round {
    /// Creates a round that starts now; `owners` are the other owners.
    pub fn new(key: SetKey, block_epoch: u32, owners: Vec<NodeId>, now: Duration) -> Self {
        let kinds = [
            SetKind::Offer,
            SetKind::Report,
            SetKind::Settled,
            SetKind::Gathered,
        ];
        let new = ExpectedSet {
            partial: PartialSet::default(),
            request_at: now + REQUEST_AFTER,
            backoff: REQUEST_AFTER,
        };
        let expected = owners
            .iter()
            .flat_map(|node| kinds.map(|kind| ((*node, kind), new.clone())))
            .collect();
        Self {
            key,
            stage: Stage::Offered,
            started: now,
            listed_flows: 0,
            block_epoch,
            owners,
            expected,
            sent: HashMap::default(),
        }
    }

    /// Handles a received part.
    pub fn receive(&mut self, now: Duration, kind: SetKind, from: NodeId, set: FlowSet) {
        let Some(expected) = self.expected.get_mut(&(from, kind)) else {
            return;
        };
        if expected.partial.add_part(set) {
            expected.backoff = REQUEST_AFTER;
            expected.request_at = now + REQUEST_AFTER;
        }
    }

    /// Whether all parts of a set have been received.
    pub fn has_set(&self, kind: SetKind, from: NodeId) -> bool {
        let expected = self.expected.get(&(from, kind));
        expected.is_some_and(|e| e.partial.is_complete())
    }

    /// Whether the sets of all other owners have been received completely.
    pub fn has_all(&self, kind: SetKind) -> bool {
        self.owners.iter().all(|node| self.has_set(kind, *node))
    }

    /// The received parts of a set.
    pub fn sets(&self, kind: SetKind, from: NodeId) -> impl Iterator<Item = &FlowSet> {
        let expected = self.expected.get(&(from, kind));
        expected.into_iter().flat_map(|e| e.partial.sets())
    }

    /// Owners whose offer is complete and that have not been sent a report.
    pub fn unreported(&self) -> Vec<NodeId> {
        let due = |node: &NodeId| {
            let sent = self.sent.contains_key(&(SetKind::Report, Some(*node)));
            !sent && self.has_set(SetKind::Offer, *node)
        };
        self.owners.iter().copied().filter(due).collect()
    }

    /// Stores a sent set for retransmission.
    pub fn store_sent(&mut self, kind: SetKind, to: Option<NodeId>, sets: Vec<FlowSet>) {
        self.sent.insert((kind, to), sets);
    }

    /// The parts of a sent set.
    pub fn sent(&self, kind: SetKind, to: Option<NodeId>) -> &[FlowSet] {
        self.sent.get(&(kind, to)).map_or(&[], Vec::as_slice)
    }

    /// Messages that answer a request for missing parts.
    pub fn resend(&self, from: NodeId, missing: &Missing) -> Vec<FlowMessage> {
        let to = (missing.kind == SetKind::Report).then_some(from);
        self.sent(missing.kind, to)
            .iter()
            .filter(|set| missing.parts.is_empty() || missing.parts.contains(&set.part))
            .map(|set| set_message(missing.kind, set.clone()))
            .collect()
    }

    /// Requests for missing parts that are due, with exponential backoff.
    pub fn due_requests(&mut self, now: Duration) -> Vec<(NodeId, FlowMessage)> {
        let key = self.key;
        let stage = self.stage;
        self.expected
            .iter_mut()
            .filter(|((_, kind), e)| {
                let needed = match kind {
                    SetKind::Report => stage == Stage::Offered,
                    SetKind::Gathered => stage == Stage::Gathered,
                    SetKind::Offer | SetKind::Settled => true,
                };
                needed && !e.partial.is_complete() && now >= e.request_at
            })
            .map(|((node, kind), e)| {
                e.backoff = (e.backoff * 2).min(MAX_REQUEST_BACKOFF);
                e.request_at = now + e.backoff;
                let missing = Missing {
                    service: key.service,
                    plan: key.plan,
                    view: key.view,
                    kind: *kind,
                    parts: e.partial.missing(MAX_REQUESTED_PARTS),
                };
                (*node, FlowMessage::Missing(missing))
            })
            .collect()
    }
}

/// Wraps a part into the message of its kind.
pub(crate) fn set_message(kind: SetKind, set: FlowSet) -> FlowMessage {
    match kind {
        SetKind::Offer => FlowMessage::Offer(set),
        SetKind::Report => FlowMessage::Report(set),
        SetKind::Settled => FlowMessage::Settled(set),
        SetKind::Gathered => FlowMessage::Gathered(set),
    }
}
