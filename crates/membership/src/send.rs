//! Composing messages.

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

/// Members named in the answer to a balancer that asks for the state.
const INTRODUCTIONS: usize = 12;
/// A member that was told a change, and has not acknowledged it, is told again after this time.
const NOTICE_RETRY: Duration = Duration::from_millis(250);

/// The same for a member that this balancer does not reach itself.
const FAR_NOTICE_RETRY: Duration = Duration::from_secs(3);

/// Who a message goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipient {
    /// A member.
    Node(NodeId),
    /// An address whose balancer is not known.
    Address(SocketAddr),
    /// A balancer that is no member, at an address.
    Stranger(NodeId, SocketAddr),
}

impl Recipient {
    fn node(self) -> Option<NodeId> {
        match self {
            Self::Node(node) | Self::Stranger(node, _) => Some(node),
            Self::Address(_) => None,
        }
    }
}

impl Membership {
    /// Sends a ping and waits for its answer.
    pub(crate) fn ping(&mut self, now: Duration, to: Recipient, purpose: Purpose) {
        let (_, change) = self.local.plans_after(self.told(to));
        let sequence = self.pings.open(Ping {
            subject: to.node(),
            purpose,
            sent: now,
            change,
            asked: self.asks(to),
        });
        if let Some(member) = to.node().and_then(|n| self.members.get_mut(&n)) {
            // A notice that goes unanswered must not put off the next probe.
            if matches!(purpose, Purpose::Detect(_)) {
                member.checked = now;
            }
            let wait = if member.via().is_none() {
                NOTICE_RETRY
            } else {
                FAR_NOTICE_RETRY
            };
            member.notice_at = now + wait;
        }
        self.send(to, MembershipKind::Ping, sequence);
    }

    /// Sends a message about no other balancer.
    pub(crate) fn send(&mut self, to: Recipient, kind: MembershipKind, sequence: u32) {
        let updates = self.updates_for(to);
        self.deliver(to, kind, sequence, NodeId(0), updates);
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
        self.deliver(to, kind, sequence, subject, updates);
    }

    /// Answers a balancer that lacks the state: names some members besides the news.
    pub(crate) fn introduce(&mut self, now: Duration, to: Recipient, sequence: u32) {
        let mut updates = self.updates_for(to);
        if self.introductions.take(now, 1) == 0 {
            self.deliver(to, MembershipKind::Ack, sequence, NodeId(0), updates);
            return;
        }
        let members = self.members.values().map(|m| m.update);
        for update in members.sample(&mut self.rng, INTRODUCTIONS) {
            if updates.iter().all(|u| u.node != update.node) {
                updates.push(update);
            }
        }
        self.deliver(to, MembershipKind::Ack, sequence, NodeId(0), updates);
    }

    fn deliver(
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
        let (plans, _) = self.local.plans_after(self.told(to));
        let message = Message {
            sequence,
            kind,
            subject,
            updates,
            plans,
            table: self.local.table,
            wants_state: self.asks(to),
        };
        self.out.push(Output::Send {
            to: address,
            message,
        });
    }

    fn address(&self, to: Recipient) -> Option<SocketAddr> {
        match to {
            Recipient::Node(node) => Some(self.members.get(&node)?.address().control()),
            Recipient::Address(address) | Recipient::Stranger(_, address) => Some(address),
        }
    }

    /// Whether the recipient's state may be missing here.
    fn asks(&self, to: Recipient) -> bool {
        let member = to.node().and_then(|n| self.members.get(&n));
        member.is_none_or(|m| m.asking)
    }

    /// Up to which own change the recipient has acknowledged them.
    fn told(&self, to: Recipient) -> u64 {
        let member = to.node().and_then(|n| self.members.get(&n));
        member.map_or(0, |m| m.told)
    }

    fn updates_for(&mut self, to: Recipient) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        if self.told(to) < self.local.update_change || self.local.update.state == MemberState::Left
        {
            updates.push(self.local.update);
        }
        updates.extend(self.doubts_about(to));
        for node in self.news.take(self.settings.updates_per_message) {
            if updates.iter().any(|u| u.node == node) {
                continue;
            }
            updates.extend(self.newest(node));
        }
        updates
    }

    /// What the recipient has to refute.
    fn doubts_about(&self, to: Recipient) -> Option<MemberUpdate> {
        if let Recipient::Address(address) = to {
            let mut dead = self.gone.dead();
            return dead.find(|u| u.address.control() == address).copied();
        }
        let update = self.newest(to.node()?)?;
        (update.state != MemberState::Alive).then_some(update)
    }

    fn newest(&self, node: NodeId) -> Option<MemberUpdate> {
        if node == self.local.update.node {
            return Some(self.local.update);
        }
        let member = self.members.get(&node).map(|m| m.update);
        member.or_else(|| self.gone.get(node).copied())
    }
}
