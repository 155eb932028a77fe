//! Taking in messages.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{
    MemberState, MemberUpdate, Membership as Message, MembershipKind,
};

use crate::member::Member;
use crate::membership::Membership;
use crate::probe::Purpose;
use crate::send::Recipient;
use crate::{Event, Output};

impl Membership {
    /// Takes in a message of `from`, whose tag was checked, that came from `address`.
    pub fn handle(
        &mut self,
        now: Duration,
        from: NodeId,
        address: SocketAddr,
        message: &Message,
    ) -> Vec<Output> {
        self.notice_pause(now);
        if from == self.local.update.node {
            return std::mem::take(&mut self.out);
        }
        for update in &message.updates {
            self.learn(now, from, update);
        }
        if message.kind == MembershipKind::Leave {
            self.sender_leaves(now, from);
        }
        if !self.gone.has_left(from) {
            self.hear(now, from, message);
            self.answer(now, from, address, message);
        }
        std::mem::take(&mut self.out)
    }

    fn learn(&mut self, now: Duration, from: NodeId, update: &MemberUpdate) {
        if update.node == self.local.update.node {
            self.refute(update);
        } else if matches!(update.state, MemberState::Dead | MemberState::Left) {
            self.learn_end(now, update);
        } else if let Some(member) = self.members.get(&update.node) {
            if update.incarnation > member.update.incarnation {
                self.learn_newer(now, update);
            } else if update.state == MemberState::Suspect
                && update.incarnation == member.update.incarnation
            {
                self.suspect(now, update.node, update.incarnation);
            }
        } else if !self.gone.outdone_by(update) {
            // Older than its end.
        } else if from == update.node {
            self.admit(now, *update);
        } else {
            self.consider(now, update);
        }
    }

    /// Answers what others believe of this balancer, if it is wrong.
    fn refute(&mut self, update: &MemberUpdate) {
        let wrong = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let own = self.local.update;
        if !wrong || update.incarnation < own.incarnation || own.state == MemberState::Left {
            return;
        }
        self.local.raise_incarnation(update.incarnation);
        self.spread(own.node);
        let incarnation = self.local.update.incarnation;
        if update.state == MemberState::Suspect {
            self.event(Event::RefutedSelf { incarnation });
            return;
        }
        for member in self.members.values_mut() {
            member.told = 0;
        }
        self.event(Event::Resurrected { incarnation });
    }

    fn learn_end(&mut self, now: Duration, update: &MemberUpdate) {
        let newest = self.members.get(&update.node).map(|m| m.update.incarnation);
        let older = newest.is_some_and(|i| update.incarnation < i);
        if self.gone.has_left(update.node) || older && update.state == MemberState::Dead {
            return;
        }
        let known = self.gone.get(update.node);
        if known.is_some_and(|u| u.state == update.state && u.incarnation >= update.incarnation) {
            return;
        }
        self.end(now, *update);
    }

    fn learn_newer(&mut self, now: Duration, update: &MemberUpdate) {
        let Some(member) = self.members.get_mut(&update.node) else {
            return;
        };
        let was = member.update;
        member.update = *update;
        if was.state != update.state {
            member.since = now;
            member.confirm_at = now;
        }
        self.spread(update.node);
        match (was.state, update.state) {
            (MemberState::Alive, MemberState::Suspect) => {
                self.event(Event::Suspected(update.node));
            }
            (MemberState::Suspect, MemberState::Alive) => self.event(Event::Refuted(update.node)),
            _ => {}
        }
        if (was.ready, was.address) != (update.ready, update.address) {
            self.event(Event::Changed(update.node));
        }
    }

    /// Makes a balancer that spoke for itself a member.
    fn admit(&mut self, now: Duration, update: MemberUpdate) {
        if self.members.len() >= self.settings.max_members {
            return;
        }
        self.candidates.remove(&update.node);
        self.gone.remove(update.node);
        self.end_predecessor(now, &update);
        let state = MemberState::Alive;
        let member = Member::new(MemberUpdate { state, ..update }, now);
        self.members.insert(update.node, member);
        self.spread(update.node);
        self.event(Event::Joined(update.node));
    }

    /// Two processes cannot hold one address: the one that was known there has ended.
    fn end_predecessor(&mut self, now: Duration, update: &MemberUpdate) {
        let address = update.address.control();
        let mut members = self.members.values();
        let Some(known) = members.find(|m| m.address().control() == address) else {
            return;
        };
        let state = MemberState::Dead;
        let known = known.update;
        self.end(now, MemberUpdate { state, ..known });
    }

    fn sender_leaves(&mut self, now: Duration, from: NodeId) {
        if let Some(member) = self.members.get(&from) {
            let state = MemberState::Left;
            let known = member.update;
            self.end(now, MemberUpdate { state, ..known });
        }
    }

    /// Takes in what a member tells of itself.
    fn hear(&mut self, now: Duration, from: NodeId, message: &Message) {
        let Some(member) = self.members.get_mut(&from) else {
            return;
        };
        let mut events = Vec::new();
        if member.hear(now) {
            events.push(Event::Changed(from));
        }
        if message.wants_state {
            member.told = 0;
        }
        for (service, version) in &message.plans {
            if member.raise_plan(*service, *version) {
                events.push(Event::Prepared {
                    node: from,
                    service: *service,
                    version: *version,
                });
            }
        }
        if member.raise_table(message.table) {
            events.push(Event::Table {
                node: from,
                version: message.table,
            });
        }
        self.out.extend(events.into_iter().map(Output::Event));
    }

    fn answer(&mut self, now: Duration, from: NodeId, address: SocketAddr, message: &Message) {
        let to = if self.members.contains_key(&from) {
            Recipient::Node(from)
        } else {
            Recipient::Stranger(from, address)
        };
        match message.kind {
            MembershipKind::Ping if message.wants_state => {
                self.introduce(now, to, message.sequence)
            }
            MembershipKind::Ping => self.send(to, MembershipKind::Ack, message.sequence),
            MembershipKind::PingRequest => self.probe_for(now, from, message),
            MembershipKind::Ack => {
                self.acknowledged(from, message);
                self.ask_stranger(now, to);
            }
            MembershipKind::Leave => {}
        }
    }

    /// Asks a balancer that is no member for its state, and tells it what it has to refute.
    fn ask_stranger(&mut self, now: Duration, to: Recipient) {
        let is_stranger = matches!(to, Recipient::Stranger(..));
        if is_stranger && self.members.len() < self.settings.max_members {
            self.ping(now, to, Purpose::Tell);
        }
    }

    fn probe_for(&mut self, now: Duration, from: NodeId, message: &Message) {
        let purpose = Purpose::Relay {
            node: from,
            sequence: message.sequence,
        };
        if self.members.contains_key(&from) && self.members.contains_key(&message.subject) {
            self.ping(now, Recipient::Node(message.subject), purpose);
        }
    }

    /// A member answered through another only: it is probed again soon.
    fn reached_by(&mut self, node: NodeId, helper: NodeId) {
        let Some(member) = self.members.get_mut(&node) else {
            return;
        };
        member.checked = Duration::ZERO;
        if member.reached_by(helper) {
            self.event(Event::Changed(node));
        }
    }

    fn acknowledged(&mut self, from: NodeId, message: &Message) {
        let Some((ping, direct)) = self.pings.answer(message.sequence, from, message.subject)
        else {
            return;
        };
        if !direct {
            self.reached_by(message.subject, from);
            return;
        }
        if let Some(member) = self.members.get_mut(&from) {
            member.asking &= !ping.asked;
            if !message.wants_state {
                member.told = member.told.max(ping.change);
            }
        }
        if let Purpose::Relay { node, sequence } = ping.purpose {
            self.send_about(node, MembershipKind::Ack, sequence, from);
        }
    }
}
