//! The packet path: one decision for each packet.

use std::time::Duration;

use sequoiatrail_packet::Packet;
use sequoiatrail_plan::NO_TARGET;
use sequoiatrail_types::{NodeId, RefusalReason, TargetId};
use sequoiatrail_wire::message::RelayStage;

use crate::core::Core;
use crate::flow_set::Listed;
use crate::flow_table::{FlowEntry, Shard, flag};
use crate::question::Question;
use crate::service_view::ServiceView;
use crate::silence;
use crate::{Decision, DropReason, ForwardReason, Via};

/// Times that a packet may be relayed to be decided on: to the owner, and by
/// it to the two owners before it.
const ASK_HOPS: u8 = 3;

impl Core {
    /// Decides on one packet and remembers what the decision needs.
    pub fn decide(&self, now: Duration, packet: &Packet, via: Via) -> Decision {
        let view = self.view.load();
        let Some(service) = view.service(packet.flow.dst, packet.flow.protocol) else {
            return Decision::Drop(DropReason::UnknownService);
        };
        let q = Question {
            now,
            view: &view,
            service,
            flow: view.hasher.hash(service, &packet.flow),
            packet,
            via,
        };
        let mut shard = self.flows.shard(q.flow);
        if let Via::Peer { from, header } = via {
            if header.service != service {
                return Decision::Drop(DropReason::UnknownService);
            }
            if header.stage == RelayStage::Keep {
                return self.keep(&q, &mut shard, from, header.target);
            }
        }
        if let Some(entry) = shard.get_mut(&q.flow)
            && entry.is_of(service)
        {
            if let Some(owner) = self.who_knows_better(&q, entry) {
                return match q.opens() {
                    true => q.relay(owner, RelayStage::Ask, NO_TARGET),
                    false => q.relay(owner, RelayStage::Keep, entry.target),
                };
            }
            if !starts_anew(&q, entry) {
                self.tell_asker(&q, entry.target);
                return self.known(&q, entry);
            }
            let entry = *entry;
            shard.remove(&q.flow);
            self.uncount(&view, &entry);
        }
        let Some(service) = view.services.get(&service) else {
            return Decision::Refuse(RefusalReason::NoTarget);
        };
        self.unknown(&q, &mut shard, service)
    }

    /// The owner of a flow that was only opened here and whose target was dead
    /// since: a repeated first packet may have opened it elsewhere.
    fn who_knows_better(&self, q: &Question<'_>, entry: &FlowEntry) -> Option<NodeId> {
        let target = q.view.target(q.service, entry.target)?;
        let doubtful = entry.has(flag::OPENING) && target.was_dead_after(entry.last_seen);
        if !doubtful || q.via != Via::Fabric {
            return None;
        }
        let owner = q.view.owners.owner(q.flow)?;
        (owner != self.node).then_some(owner)
    }

    /// A flow with an entry keeps its target.
    fn known(&self, q: &Question<'_>, entry: &mut FlowEntry) -> Decision {
        let opening = entry.has(flag::OPENING);
        let ended = entry.has(flag::CLOSED);
        let opened_at = entry.last_seen;
        let repeats = entry.note(q.now, q.packet);
        if q.via == Via::Fabric {
            self.count_packet(q, entry);
        }
        if entry.has(flag::UNCOUNTED) {
            self.count_late(q, entry);
        }
        let target = entry.target;
        let Some(t) = q.view.target(q.service, target) else {
            return q.forward(target, ForwardReason::Known);
        };
        if t.drained_out(q.now) {
            return Decision::Reset;
        }
        if opening && !entry.has(flag::OPENING | flag::CLOSED) {
            silence::note_handshake(&t.counts, opened_at, q.now);
        }
        if opening && q.opens() {
            silence::note_repeat(&t.counts);
        }
        if repeats && silence::resets(&self.cfg, t, entry, q.now) {
            entry.set(flag::CLOSED, true);
            self.uncount_entry(q.view, entry);
            return Decision::Reset;
        }
        if entry.has(flag::CLOSED) && !ended {
            let owned = entry.has(flag::OWNED);
            self.uncount_entry(q.view, entry);
            if let Some(owner) = self.end_goes_through(q, owned) {
                return q.relay(owner, RelayStage::Keep, target);
            }
        }
        q.forward(target, ForwardReason::Known)
    }

    /// Counts a flow that this balancer came to own, now that it goes on.
    fn count_late(&self, q: &Question<'_>, entry: &mut FlowEntry) {
        entry.set(flag::UNCOUNTED, false);
        if self.is_owner(q.view, q.flow) && !entry.has(flag::CLOSED) {
            self.count_entry(q.view, entry);
        }
    }

    /// Tells a balancer that asked because of a filter where the flow belongs,
    /// so that it asks only once.
    fn tell_asker(&self, q: &Question<'_>, target: TargetId) {
        if let Via::Peer { from, header } = q.via
            && header.target != NO_TARGET
        {
            self.correct(from, q.service, q.flow, target);
        }
    }

    /// The owner that has to hear of the end of a flow: it counts the flow for a
    /// limit, and lists it while it is off the plan. The packet itself tells it,
    /// so no control traffic is spent.
    pub(crate) fn end_goes_through(&self, q: &Question<'_>, owned: bool) -> Option<NodeId> {
        if owned || q.via != Via::Fabric {
            return None;
        }
        let owner = q.view.owners.owner(q.flow)?;
        (owner != self.node).then_some(owner)
    }

    /// The owner has decided, or another balancer knows the flow and its owner
    /// may not; this balancer records it and sends the packet on.
    fn keep(
        &self,
        q: &Question<'_>,
        shard: &mut Shard,
        from: NodeId,
        target: TargetId,
    ) -> Decision {
        let present = shard.get_mut(&q.flow).filter(|e| e.is_of(q.service));
        if let Some(entry) = present {
            // What the owner recorded is not changed by what another one sends.
            let undecided = entry.has(flag::OPENING | flag::CLOSED);
            if undecided && entry.target != target && !self.is_owner(q.view, q.flow) {
                let mut old = *entry;
                entry.target = target;
                self.uncount_entry(q.view, &mut old);
                entry.set(flag::OWNED, false);
            }
            if entry.target != target {
                self.correct(from, q.service, q.flow, entry.target);
            }
            let closed = entry.has(flag::CLOSED);
            entry.note(q.now, q.packet);
            if entry.has(flag::CLOSED) && !closed {
                self.uncount_entry(q.view, entry);
            }
            return q.forward(entry.target, ForwardReason::Backup);
        }
        if q.view.target(q.service, target).is_none() {
            return Decision::Drop(DropReason::TargetGone);
        }
        self.record(q, shard, target, 0);
        q.forward(target, ForwardReason::Backup)
    }

    /// A flow without an entry.
    fn unknown(&self, q: &Question<'_>, shard: &mut Shard, service: &ServiceView) -> Decision {
        let open = service.open_bucket(q.flow);
        let listed = service.off_plan.find(q.flow);
        // A new flow in an open bucket is its owner's, whatever a filter says.
        let listed = listed.filter(|_| !q.opens());
        if let Some(listed) = listed
            && let Some(to) = self.who_knows(q, listed)
        {
            return q.relay(to, RelayStage::Ask, listed.target);
        }
        // The owner of a flow sees it open, whatever the state of its bucket.
        let ambiguous = open.is_some() || service.behind || !q.view.ready || q.opens();
        if ambiguous && let Some(to) = self.whom_to_ask(q, open.is_some()) {
            return q.relay(to, RelayStage::Ask, NO_TARGET);
        }
        if let Some(target) = self.listed_target(q, listed) {
            self.record(q, shard, target, 0);
            return q.forward(target, ForwardReason::Filter);
        }
        match open {
            Some(open) => self.decide_open(q, shard, service, open),
            None => self.decide_settled(q, shard, service),
        }
    }

    /// The other balancer that knows whether a listed flow is off the plan:
    /// the one that listed it, else the present owner or another one.
    fn who_knows(&self, q: &Question<'_>, listed: Listed) -> Option<NodeId> {
        if q.hops() >= ASK_HOPS {
            return None;
        }
        let owners = &q.view.owners;
        let node = match listed.owner {
            Some(node) if owners.lives(node) => Some(node),
            Some(_) => owners.owner(q.flow),
            None => owners.backup(q.flow, self.node),
        };
        node.filter(|node| *node != self.node)
    }

    /// Target of an old flow by the sets alone. A balancer that listed the
    /// flow itself and does not know it has seen a false positive, and so has
    /// the one that asks if no set here holds the flow.
    fn listed_target(&self, q: &Question<'_>, listed: Option<Listed>) -> Option<TargetId> {
        let listed = listed.filter(|l| l.owner != Some(self.node) && !q.opens())?;
        let known = q.view.target(q.service, listed.target).is_some();
        known.then_some(listed.target)
    }

    /// The balancer that decides on an ambiguous packet, unless it is this one.
    ///
    /// An owner that does not know a flow asks the owner before it, which asks
    /// the one before that: what they were told is theirs to answer until the
    /// bucket closes.
    fn whom_to_ask(&self, q: &Question<'_>, open: bool) -> Option<NodeId> {
        if q.hops() >= ASK_HOPS {
            return None;
        }
        let since = q.now.saturating_sub(self.cfg.previous_owner_window);
        let owners = q.view.owners.line(q.flow, since);
        let owner = owners.first().copied()?;
        let asked_by_owner = matches!(q.via, Via::Peer { from, .. } if from == owner);
        // A balancer that leaves decides nothing, also for one that does not
        // know yet that it is the owner now.
        if owner != self.node && (!asked_by_owner || q.view.leaving) {
            return Some(owner);
        }
        let mut before = owners.into_iter().skip_while(|node| *node != self.node);
        before.nth(1).filter(|_| open)
    }
}

/// Whether a packet of a known flow begins a new one in its place: its target
/// is dead or gets no new flows, and the caller opens, or opens again.
///
/// While the target takes new flows a reopened flow goes there again, because
/// other balancers may not have seen the end of the old one.
fn starts_anew(q: &Question<'_>, entry: &FlowEntry) -> bool {
    if !q.opens() {
        return false;
    }
    let target = q.view.target(q.service, entry.target);
    if entry.has(flag::OPENING) {
        return target.is_none_or(|t| t.down_since.is_some());
    }
    target.is_none_or(|t| !t.usable())
}

/// Refuses a packet that opens a flow; any other may belong to one that ran.
pub(crate) fn refuse_or_drop(q: &Question<'_>) -> Decision {
    if q.opens() || q.packet.tcp.is_none() {
        return Decision::Refuse(RefusalReason::NoTarget);
    }
    Decision::Drop(DropReason::NoTarget)
}
