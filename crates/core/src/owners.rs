//! Assigns flows to the balancers that decide on them.

use std::collections::VecDeque;
use std::time::Duration;

use sequoiatrail_types::{FlowHash, NodeId};

use crate::Peer;

/// Maximum number of past lists of ready balancers.
const MAX_PAST_CHANGES: usize = 8;

/// How a new list of live balancers changed the ready ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnersChange {
    /// No change.
    None,
    /// At least one left, none joined.
    Left,
    /// At least one joined.
    Joined,
}

/// The balancers that can own flows, now and before recent changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Owners {
    /// Ready balancers, sorted.
    ready: Vec<NodeId>,
    /// Previous lists of ready balancers, sorted, with the time each was
    /// replaced; oldest first.
    past: VecDeque<(Duration, Vec<NodeId>)>,
    /// All live balancers, sorted.
    live: Vec<NodeId>,
}

impl Owners {
    /// Applies a new list of live balancers.
    pub fn update(&mut self, now: Duration, peers: &[Peer]) -> OwnersChange {
        self.live = sorted(peers.iter().map(|p| p.node));
        let ready = sorted(peers.iter().filter(|p| p.ready).map(|p| p.node));
        if ready == self.ready {
            return OwnersChange::None;
        }
        let joined = ready.iter().any(|n| self.ready.binary_search(n).is_err());
        self.replace(now, ready);
        if joined {
            OwnersChange::Joined
        } else {
            OwnersChange::Left
        }
    }

    /// Removes a leaving balancer from the ready ones.
    pub fn retire(&mut self, now: Duration, node: NodeId) {
        let mut ready = self.ready.clone();
        ready.retain(|n| *n != node);
        if ready != self.ready {
            self.replace(now, ready);
        }
    }

    fn replace(&mut self, now: Duration, ready: Vec<NodeId>) {
        let before = std::mem::replace(&mut self.ready, ready);
        if self.past.len() == MAX_PAST_CHANGES {
            self.past.pop_front();
        }
        self.past.push_back((now, before));
    }

    /// The balancer that decides on the flow.
    pub fn owner(&self, flow: FlowHash) -> Option<NodeId> {
        rendezvous_node(&self.ready, flow, None)
    }

    /// The balancer other than `me` that records the decisions of `me` on the
    /// flow.
    pub fn backup(&self, flow: FlowHash, me: NodeId) -> Option<NodeId> {
        rendezvous_node(&self.ready, flow, Some(me))
    }

    /// The owner and the backup before the last change of the ready balancers.
    pub fn previous_owner_and_backup(&self, flow: FlowHash) -> [Option<NodeId>; 2] {
        let before = self.past.back();
        before.map_or([None; 2], |(_, ready)| owner_and_backup(ready, flow))
    }

    /// The owner and the backup.
    pub fn owner_and_backup(&self, flow: FlowHash) -> [Option<NodeId>; 2] {
        owner_and_backup(&self.ready, flow)
    }

    /// The current owner and the owners since a time, newest first, live ones
    /// only and without duplicates.
    pub fn owner_history(&self, flow: FlowHash, since: Duration) -> Vec<NodeId> {
        let mut history = Vec::with_capacity(MAX_PAST_CHANGES + 1);
        let past = self.past.iter().rev();
        let past = past.filter(|(until, _)| *until >= since);
        for ready in [&self.ready]
            .into_iter()
            .chain(past.map(|(_, ready)| ready))
        {
            let owner = rendezvous_node(ready, flow, None);
            history.extend(owner.filter(|node| self.is_live(*node) && !history.contains(node)));
        }
        history
    }

    /// Whether a balancer that was ready is still live but no longer ready: it
    /// is leaving and handing over its flows.
    pub fn any_handing_over(&self) -> bool {
        let mut past = self.past.iter().flat_map(|(_, ready)| ready);
        past.any(|node| self.is_live(*node) && self.ready.binary_search(node).is_err())
    }

    /// Whether a balancer that owned the flow before one of the recorded
    /// changes is gone or leaving, and its knowledge of the flow with it.
    pub fn lost_past_owner(&self, flow: FlowHash) -> bool {
        let past = self.past.iter();
        let mut owners = past.filter_map(|(_, ready)| rendezvous_node(ready, flow, None));
        owners.any(|node| self.ready.binary_search(&node).is_err())
    }

    /// Ready balancers, sorted.
    pub fn ready(&self) -> &[NodeId] {
        &self.ready
    }

    /// Whether a balancer is live.
    pub fn is_live(&self, node: NodeId) -> bool {
        self.live.binary_search(&node).is_ok()
    }

    /// All live balancers, sorted.
    pub fn live(&self) -> &[NodeId] {
        &self.live
    }

    /// Digest of the ready balancers: equal for equal lists, and never 0.
    pub fn digest(&self) -> u32 {
        let sum = self
            .ready
            .iter()
            .fold(1, |sum, node| FlowHash(sum).score(node.0));
        ((sum >> 32) as u32).max(1)
    }
}

fn owner_and_backup(nodes: &[NodeId], flow: FlowHash) -> [Option<NodeId>; 2] {
    let owner = rendezvous_node(nodes, flow, None);
    [owner, rendezvous_node(nodes, flow, owner)]
}

fn sorted(nodes: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
    let mut nodes: Vec<_> = nodes.collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

/// Selects the balancer of `nodes` with the highest rendezvous score for the
/// flow, leaving out `exclude`.
pub(crate) fn rendezvous_node(
    nodes: &[NodeId],
    flow: FlowHash,
    exclude: Option<NodeId>,
) -> Option<NodeId> {
    nodes
        .iter()
        .copied()
        .filter(|node| Some(*node) != exclude)
        .max_by_key(|node| (flow.score(node.0), node.0))
}
