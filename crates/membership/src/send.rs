//! Composition of outgoing messages.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{
    MemberState, MemberUpdate, Membership as Message, MembershipKind,
};

use crate::Output;
use crate::membership::Membership;
use crate::probe::{Ping, Purpose};

/// Number of members included in the reply to a balancer that requests state.
const INTRODUCED_MEMBERS: usize = 12;
/// Delay before a member is notified again of changes that it has not acknowledged.
const NOTIFY_RETRY: Duration = Duration::from_millis(250);

/// As [`NOTIFY_RETRY`], for members that are not directly reachable.
const INDIRECT_NOTIFY_RETRY: Duration = Duration::from_secs(3);

/// The recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipient {
    /// A member.
    Node(NodeId),
    /// An address at which an unidentified balancer may run.
    Address(SocketAddr),
    /// A balancer that is not a member, with its address.
    NonMember(NodeId, SocketAddr),
}

impl Recipient {
    fn node(self) -> Option<NodeId> {
        match self {
            Self::Node(node) | Self::NonMember(node, _) => Some(node),
            Self::Address(_) => None,
        }
    }
}

impl Membership {
    /// Sends a ping and registers it as pending.
    pub(crate) fn ping(&mut self, now: Duration, to: Recipient, purpose: Purpose) {
        let (_, change) = self.local.plans_after(self.acked_change(to));
        let sequence = self.pings.register(Ping {
            subject: to.node(),
            purpose,
            sent: now,
            change,
            requested_state: self.state_wanted_from(to),
        });
        if let Some(member) = to.node().and_then(|n| self.members.get_mut(&n)) {
            // An unanswered notification must not postpone the next failure detection probe.
            if matches!(purpose, Purpose::Detect(_)) {
                member.last_checked = now;
            }
            let wait = if member.via().is_none() {
                NOTIFY_RETRY
            } else {
                INDIRECT_NOTIFY_RETRY
            };
            member.notify_at = now + wait;
        }
        self.send(to, MembershipKind::Ping, sequence);
    }

    /// Sends a message without a subject.
    pub(crate) fn send(&mut self, to: Recipient, kind: MembershipKind, sequence: u32) {
        let updates = self.updates_for(to);
        self.enqueue(to, kind, sequence, NodeId(0), updates);
    }

    /// Sends a message about `subject` to a member.
    pub(crate) fn send_about(
        &mut self,
        to: NodeId,
        kind: MembershipKind,
        sequence: u32,
        subject: NodeId,
    ) {
        let to = Recipient::Node(to);
        let updates = self.updates_for(to);
        self.enqueue(to, kind, sequence, subject, updates);
    }

    /// Replies to a balancer that requests state with a random sample of members in
    /// addition to the queued updates.
    pub(crate) fn introduce(&mut self, now: Duration, to: Recipient, sequence: u32) {
        let mut updates = self.updates_for(to);
        if self.introduction_limiter.take(now, 1) == 0 {
            self.enqueue(to, MembershipKind::Ack, sequence, NodeId(0), updates);
            return;
        }
        let members = self.members.values().map(|m| m.update);
        for update in members.sample(&mut self.rng, INTRODUCED_MEMBERS) {
            if updates.iter().all(|u| u.node != update.node) {
                updates.push(update);
            }
        }
        self.enqueue(to, MembershipKind::Ack, sequence, NodeId(0), updates);
    }

    fn enqueue(
        &mut self,
        to: Recipient,
        kind: MembershipKind,
        sequence: u32,
        subject: NodeId,
        updates: Vec<MemberUpdate>,
    ) {
        let Some(address) = self.address(to) else {
            return;
        };
        let (plans, _) = self.local.plans_after(self.acked_change(to));
        let message = Message {
            sequence,
            kind,
            subject,
            updates,
            plans,
            table: self.local.table,
            wants_state: self.state_wanted_from(to),
        };
        self.out.push(Output::Send {
            to: address,
            message,
        });
    }

    fn address(&self, to: Recipient) -> Option<SocketAddr> {
        match to {
            Recipient::Node(node) => Some(self.members.get(&node)?.address().control()),
            Recipient::Address(address) | Recipient::NonMember(_, address) => Some(address),
        }
    }

    /// Whether the recipient's versions may be missing here.
    fn state_wanted_from(&self, to: Recipient) -> bool {
        let member = to.node().and_then(|n| self.members.get(&n));
        member.is_none_or(|m| m.needs_state)
    }

    /// Last change of this balancer that the recipient acknowledged.
    fn acked_change(&self, to: Recipient) -> u64 {
        let member = to.node().and_then(|n| self.members.get(&n));
        member.map_or(0, |m| m.acked_change)
    }

    fn updates_for(&mut self, to: Recipient) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        if self.acked_change(to) < self.local.update_change
            || self.local.update.state == MemberState::Left
        {
            updates.push(self.local.update);
        }
        updates.extend(self.update_to_refute(to));
        for node in self.gossip.take(self.settings.updates_per_message) {
            if updates.iter().any(|u| u.node == node) {
                continue;
            }
            updates.extend(self.latest_update(node));
        }
        updates
    }

    /// The update known here that lists the recipient as suspected or dead, for it to refute.
    fn update_to_refute(&self, to: Recipient) -> Option<MemberUpdate> {
        if let Recipient::Address(address) = to {
            let mut dead = self.tombstones.dead();
            return dead.find(|u| u.address.control() == address).copied();
        }
        let update = self.latest_update(to.node()?)?;
        (update.state != MemberState::Alive).then_some(update)
    }

    fn latest_update(&self, node: NodeId) -> Option<MemberUpdate> {
        if node == self.local.update.node {
            return Some(self.local.update);
        }
        let member = self.members.get(&node).map(|m| m.update);
        member.or_else(|| self.tombstones.get(node).copied())
    }
}
