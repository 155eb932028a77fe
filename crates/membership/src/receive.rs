//! Handling of received messages.

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
    /// Handles an authenticated message of the balancer `from`, received from `address`.
    pub fn handle(
        &mut self,
        now: Duration,
        from: NodeId,
        address: SocketAddr,
        message: &Message,
    ) -> Vec<Output> {
        self.detect_pause(now);
        if from == self.local.update.node {
            return std::mem::take(&mut self.out);
        }
        for update in &message.updates {
            self.apply_update(now, from, update);
        }
        if message.kind == MembershipKind::Leave {
            self.handle_leave(now, from);
        }
        if !self.tombstones.has_left(from) {
            self.update_sender(now, from, message);
            self.reply(now, from, address, message);
        }
        std::mem::take(&mut self.out)
    }

    fn apply_update(&mut self, now: Duration, from: NodeId, update: &MemberUpdate) {
        if update.node == self.local.update.node {
            self.refute(update);
        } else if matches!(update.state, MemberState::Dead | MemberState::Left) {
            self.apply_departure(now, update);
        } else if let Some(member) = self.members.get(&update.node) {
            if update.incarnation > member.update.incarnation {
                self.apply_newer(now, update);
            } else if update.state == MemberState::Suspect
                && update.incarnation == member.update.incarnation
            {
                self.suspect(now, update.node, update.incarnation);
            }
        } else if !self.tombstones.superseded_by(update) {
            // Stale: older than the balancer's death or leave.
        } else if from == update.node {
            self.add_member(now, *update);
        } else {
            self.add_candidate(now, update);
        }
    }

    /// Refutes a report that this balancer is suspected or dead by raising its incarnation.
    fn refute(&mut self, update: &MemberUpdate) {
        let wrong = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let local = self.local.update;
        if !wrong || update.incarnation < local.incarnation || local.state == MemberState::Left {
            return;
        }
        self.local.raise_incarnation(update.incarnation);
        self.disseminate(local.node);
        let incarnation = self.local.update.incarnation;
        if update.state == MemberState::Suspect {
            self.emit(Event::RefutedSelf { incarnation });
            return;
        }
        for member in self.members.values_mut() {
            member.acked_change = 0;
        }
        self.emit(Event::Resurrected { incarnation });
    }

    fn apply_departure(&mut self, now: Duration, update: &MemberUpdate) {
        let known_incarnation = self.members.get(&update.node).map(|m| m.update.incarnation);
        let stale = known_incarnation.is_some_and(|i| update.incarnation < i);
        if self.tombstones.has_left(update.node) || stale && update.state == MemberState::Dead {
            return;
        }
        let known = self.tombstones.get(update.node);
        if known.is_some_and(|u| u.state == update.state && u.incarnation >= update.incarnation) {
            return;
        }
        self.record_departure(now, *update);
    }

    fn apply_newer(&mut self, now: Duration, update: &MemberUpdate) {
        let Some(member) = self.members.get_mut(&update.node) else {
            return;
        };
        let previous = member.update;
        member.update = *update;
        if previous.state != update.state {
            member.state_since = now;
            member.suspect_probe_at = now;
        }
        self.disseminate(update.node);
        match (previous.state, update.state) {
            (MemberState::Alive, MemberState::Suspect) => {
                self.emit(Event::Suspected(update.node));
            }
            (MemberState::Suspect, MemberState::Alive) => self.emit(Event::Refuted(update.node)),
            _ => {}
        }
        if (previous.ready, previous.address) != (update.ready, update.address) {
            self.emit(Event::Changed(update.node));
        }
    }

    /// Adds a balancer that announced itself to the members.
    fn add_member(&mut self, now: Duration, update: MemberUpdate) {
        if self.members.len() >= self.settings.max_members {
            return;
        }
        self.candidates.remove(&update.node);
        self.tombstones.remove(update.node);
        self.remove_predecessor(now, &update);
        let state = MemberState::Alive;
        let member = Member::new(MemberUpdate { state, ..update }, now);
        self.members.insert(update.node, member);
        self.disseminate(update.node);
        self.emit(Event::Joined(update.node));
    }

    /// Records the death of a member with the address of `update`: two processes cannot
    /// share an address, so the earlier one has ended.
    fn remove_predecessor(&mut self, now: Duration, update: &MemberUpdate) {
        let address = update.address.control();
        let mut members = self.members.values();
        let Some(known) = members.find(|m| m.address().control() == address) else {
            return;
        };
        let state = MemberState::Dead;
        let known = known.update;
        self.record_departure(now, MemberUpdate { state, ..known });
    }

    fn handle_leave(&mut self, now: Duration, from: NodeId) {
        if let Some(member) = self.members.get(&from) {
            let state = MemberState::Left;
            let known = member.update;
            self.record_departure(now, MemberUpdate { state, ..known });
        }
    }

    /// Updates the sender's entry from its message.
    fn update_sender(&mut self, now: Duration, from: NodeId, message: &Message) {
        let Some(member) = self.members.get_mut(&from) else {
            return;
        };
        let mut events = Vec::new();
        if member.record_received(now) {
            events.push(Event::Changed(from));
        }
        if message.wants_state {
            member.acked_change = 0;
        }
        for (service, version) in &message.plans {
            if member.update_plan(*service, *version) {
                events.push(Event::Prepared {
                    node: from,
                    service: *service,
                    version: *version,
                });
            }
        }
        if member.update_table(message.table) {
            events.push(Event::Table {
                node: from,
                version: message.table,
            });
        }
        self.out.extend(events.into_iter().map(Output::Event));
    }

    fn reply(&mut self, now: Duration, from: NodeId, address: SocketAddr, message: &Message) {
        let to = if self.members.contains_key(&from) {
            Recipient::Node(from)
        } else {
            Recipient::NonMember(from, address)
        };
        match message.kind {
            MembershipKind::Ping if message.wants_state => {
                self.introduce(now, to, message.sequence)
            }
            MembershipKind::Ping => self.send(to, MembershipKind::Ack, message.sequence),
            MembershipKind::PingRequest => self.relay_probe(now, from, message),
            MembershipKind::Ack => {
                self.handle_ack(from, message);
                self.ping_non_member(now, to);
            }
            MembershipKind::Leave => {}
        }
    }

    /// Pings a balancer that is not a member, to request its state and to send it the
    /// update that it has to refute.
    fn ping_non_member(&mut self, now: Duration, to: Recipient) {
        let is_non_member = matches!(to, Recipient::NonMember(..));
        if is_non_member && self.members.len() < self.settings.max_members {
            self.ping(now, to, Purpose::Notify);
        }
    }

    fn relay_probe(&mut self, now: Duration, from: NodeId, message: &Message) {
        let purpose = Purpose::Relay {
            node: from,
            sequence: message.sequence,
        };
        if self.members.contains_key(&from) && self.members.contains_key(&message.subject) {
            self.ping(now, Recipient::Node(message.subject), purpose);
        }
    }

    /// Records that a member replied only through `helper`, and schedules a direct probe of
    /// it next.
    fn mark_reached_via(&mut self, node: NodeId, helper: NodeId) {
        let Some(member) = self.members.get_mut(&node) else {
            return;
        };
        member.last_checked = Duration::ZERO;
        if member.record_indirect_reply(helper) {
            self.emit(Event::Changed(node));
        }
    }

    fn handle_ack(&mut self, from: NodeId, message: &Message) {
        let Some((ping, direct)) =
            self.pings
                .take_answered(message.sequence, from, message.subject)
        else {
            return;
        };
        if !direct {
            self.mark_reached_via(message.subject, from);
            return;
        }
        if let Some(member) = self.members.get_mut(&from) {
            member.needs_state &= !ping.requested_state;
            if !message.wants_state {
                member.acked_change = member.acked_change.max(ping.change);
            }
        }
        if let Purpose::Relay { node, sequence } = ping.purpose {
            self.send_about(node, MembershipKind::Ack, sequence, from);
        }
    }
}
