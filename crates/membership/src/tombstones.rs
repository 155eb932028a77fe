//! Tombstones of balancers that died or left, which make stale updates about them detectable.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{MemberState, MemberUpdate};

#[derive(Debug)]
struct Tombstone {
    update: MemberUpdate,
    at: Duration,
}

/// The last known update of each balancer that died or left.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    entries: BTreeMap<NodeId, Tombstone>,
}

impl Tombstones {
    /// Adds a tombstone, evicting the oldest one if there are more than `max`.
    pub(crate) fn insert(&mut self, update: MemberUpdate, now: Duration, max: usize) {
        self.entries
            .insert(update.node, Tombstone { update, at: now });
        if self.entries.len() <= max {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.at);
        if let Some(node) = oldest.map(|(node, _)| *node) {
            self.entries.remove(&node);
        }
    }

    pub(crate) fn get(&self, node: NodeId) -> Option<&MemberUpdate> {
        self.entries.get(&node).map(|e| &e.update)
    }

    pub(crate) fn has_left(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|u| u.state == MemberState::Left)
    }

    /// Returns whether `update`, which reports a balancer as running, is newer than its
    /// tombstone; true if there is none. Nothing supersedes a leave.
    pub(crate) fn superseded_by(&self, update: &MemberUpdate) -> bool {
        let Some(tombstone) = self.get(update.node) else {
            return true;
        };
        tombstone.state == MemberState::Dead && update.incarnation > tombstone.incarnation
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        self.entries.remove(&node);
    }

    /// Removes tombstones older than `ttl`.
    pub(crate) fn expire(&mut self, now: Duration, ttl: Duration) {
        self.entries.retain(|_, e| now < e.at + ttl);
    }

    /// Balancers declared dead, which may still run behind a network partition.
    pub(crate) fn dead(&self) -> impl Iterator<Item = &MemberUpdate> {
        let updates = self.entries.values().map(|e| &e.update);
        updates.filter(|u| u.state == MemberState::Dead)
    }
}
