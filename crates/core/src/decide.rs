//! The packet path: one decision per packet.

use std::time::Duration;

use sequoiatrail_packet::Packet;
use sequoiatrail_plan::NO_TARGET;
use sequoiatrail_types::{NodeId, RefusalReason, TargetId};
use sequoiatrail_wire::message::RelayStage;

use crate::core::Core;
use crate::flow_set::ListedFlow;
use crate::flow_table::{FlowEntry, Shard, flag};
use crate::packet_context::PacketContext;
use crate::service_view::ServiceView;
use crate::stall;
use crate::{Decision, DropReason, ForwardReason, Via};

/// Maximum relays of a packet in search of a decision: to the owner, and from
/// there to two previous owners.
const MAX_ASK_HOPS: u8 = 3;

impl Core {
    /// Decides on one packet and records the flow where needed.
    pub fn decide(&self, now: Duration, packet: &Packet, via: Via) -> Decision {
        let view = self.view.load();
        let Some(service) = view.service(packet.flow.dst, packet.flow.protocol) else {
            return Decision::Drop(DropReason::UnknownService);
        };
        let cx = PacketContext {
            now,
            view: &view,
            service,
            flow: view.hasher.hash(service, &packet.flow),
            packet,
            via,
        };
        let mut shard = self.flows.shard(cx.flow);
        if let Via::Peer { from, header } = via {
            if header.service != service {
                return Decision::Drop(DropReason::UnknownService);
            }
            if header.stage == RelayStage::Keep {
                return self.handle_keep(&cx, &mut shard, from, header.target);
            }
        }
        if let Some(entry) = shard.get_mut(&cx.flow)
            && entry.belongs_to(service)
        {
            if let Some(owner) = self.owner_of_uncertain_entry(&cx, entry) {
                return match cx.opens() {
                    true => cx.relay(owner, RelayStage::Ask, NO_TARGET),
                    false => cx.relay(owner, RelayStage::Keep, entry.target),
                };
            }
            if !starts_new_flow(&cx, entry) {
                self.reply_to_asker(&cx, entry.target);
                return self.decide_known(&cx, entry);
            }
            let entry = *entry;
            shard.remove(&cx.flow);
            self.uncount(&view, &entry);
        }
        let Some(service) = view.services.get(&service) else {
            return Decision::Refuse(RefusalReason::NoTarget);
        };
        self.decide_unknown(&cx, &mut shard, service)
    }

    /// The owner of a flow of which only first packets were seen here and whose
    /// target has been down since: a retransmitted first packet may have opened
    /// the flow at another target.
    fn owner_of_uncertain_entry(
        &self,
        cx: &PacketContext<'_>,
        entry: &FlowEntry,
    ) -> Option<NodeId> {
        let target = cx.view.target(cx.service, entry.target)?;
        let uncertain = entry.has(flag::OPENING) && target.was_down_after(entry.last_seen);
        if !uncertain || cx.via != Via::Fabric {
            return None;
        }
        let owner = cx.view.owners.owner(cx.flow)?;
        (owner != self.node).then_some(owner)
    }

    /// Handles a flow with an entry: it keeps its target.
    fn decide_known(&self, cx: &PacketContext<'_>, entry: &mut FlowEntry) -> Decision {
        let opening = entry.has(flag::OPENING);
        let ended = entry.has(flag::CLOSED);
        let opened_at = entry.last_seen;
        let retransmits = entry.observe(cx.now, cx.packet);
        if cx.via == Via::Fabric {
            self.count_packet(cx, entry);
        }
        if entry.has(flag::UNCOUNTED) {
            self.count_deferred(cx, entry);
        }
        let target = entry.target;
        let Some(t) = cx.view.target(cx.service, target) else {
            return cx.forward(target, ForwardReason::Known);
        };
        if t.drain_expired(cx.now) {
            return Decision::Reset;
        }
        if opening && !entry.has(flag::OPENING | flag::CLOSED) {
            stall::record_handshake(&t.counts, opened_at, cx.now);
        }
        if opening && cx.opens() {
            stall::record_retransmit(&t.counts);
        }
        if retransmits && stall::should_reset(&self.cfg, t, entry, cx.now) {
            entry.set(flag::CLOSED, true);
            self.uncount_entry(cx.view, entry);
            return Decision::Reset;
        }
        if entry.has(flag::CLOSED) && !ended {
            let owned = entry.has(flag::OWNED);
            self.uncount_entry(cx.view, entry);
            if let Some(owner) = self.owner_to_notify_of_end(cx, owned) {
                return cx.relay(owner, RelayStage::Keep, target);
            }
        }
        cx.forward(target, ForwardReason::Known)
    }

    /// Counts a flow that this balancer came to own, now that a packet shows it
    /// is still open.
    fn count_deferred(&self, cx: &PacketContext<'_>, entry: &mut FlowEntry) {
        entry.set(flag::UNCOUNTED, false);
        if self.is_owner(cx.view, cx.flow) && !entry.has(flag::CLOSED) {
            self.count_entry(cx.view, entry);
        }
    }

    /// Sends the flow's target to a balancer that asked because of a filter
    /// match, so that it asks only once.
    fn reply_to_asker(&self, cx: &PacketContext<'_>, target: TargetId) {
        if let Via::Peer { from, header } = cx.via
            && header.target != NO_TARGET
        {
            self.queue_correction(from, cx.service, cx.flow, target);
        }
    }

    /// The owner that has to learn of the end of a flow, because it counts the
    /// flow towards a limit and lists it while it is off the plan. Relaying the
    /// packet notifies it without control traffic.
    pub(crate) fn owner_to_notify_of_end(
        &self,
        cx: &PacketContext<'_>,
        owned: bool,
    ) -> Option<NodeId> {
        if owned || cx.via != Via::Fabric {
            return None;
        }
        let owner = cx.view.owners.owner(cx.flow)?;
        (owner != self.node).then_some(owner)
    }

    /// Handles a packet relayed by the owner after its decision, or by another
    /// balancer that knows the flow when its owner may not: records the flow
    /// and forwards the packet.
    fn handle_keep(
        &self,
        cx: &PacketContext<'_>,
        shard: &mut Shard,
        from: NodeId,
        target: TargetId,
    ) -> Decision {
        let present = shard.get_mut(&cx.flow).filter(|e| e.belongs_to(cx.service));
        if let Some(entry) = present {
            // An entry of the owner takes precedence over the target sent by
            // another balancer.
            let undecided = entry.has(flag::OPENING | flag::CLOSED);
            if undecided && entry.target != target && !self.is_owner(cx.view, cx.flow) {
                let mut old = *entry;
                entry.target = target;
                self.uncount_entry(cx.view, &mut old);
                entry.set(flag::OWNED, false);
            }
            if entry.target != target {
                self.queue_correction(from, cx.service, cx.flow, entry.target);
            }
            let closed = entry.has(flag::CLOSED);
            entry.observe(cx.now, cx.packet);
            if entry.has(flag::CLOSED) && !closed {
                self.uncount_entry(cx.view, entry);
            }
            return cx.forward(entry.target, ForwardReason::Backup);
        }
        if cx.view.target(cx.service, target).is_none() {
            return Decision::Drop(DropReason::TargetGone);
        }
        self.record(cx, shard, target, 0);
        cx.forward(target, ForwardReason::Backup)
    }

    /// Handles a flow without an entry.
    fn decide_unknown(
        &self,
        cx: &PacketContext<'_>,
        shard: &mut Shard,
        service: &ServiceView,
    ) -> Decision {
        let open = service.open_bucket(cx.flow);
        let listed = service.off_plan.find(cx.flow);
        // A new flow in an open bucket is decided by its owner, whatever a
        // filter says.
        let listed = listed.filter(|_| !cx.opens());
        if let Some(listed) = listed
            && let Some(to) = self.peer_for_listed(cx, listed)
        {
            return cx.relay(to, RelayStage::Ask, listed.target);
        }
        // First packets go to the owner whatever the state of the bucket, so
        // that the owner sees every flow being opened.
        let ambiguous = open.is_some() || service.behind || !cx.view.ready || cx.opens();
        if ambiguous && let Some(to) = self.peer_for_ambiguous(cx, open.is_some()) {
            return cx.relay(to, RelayStage::Ask, NO_TARGET);
        }
        if let Some(target) = self.listed_target(cx, listed) {
            self.record(cx, shard, target, 0);
            return cx.forward(target, ForwardReason::Filter);
        }
        match open {
            Some(open) => self.decide_open(cx, shard, service, open),
            None => self.decide_settled(cx, shard, service),
        }
    }

    /// The balancer to ask about a listed flow: the one that listed it,
    /// otherwise the current owner or, for a snapshot, the backup.
    fn peer_for_listed(&self, cx: &PacketContext<'_>, listed: ListedFlow) -> Option<NodeId> {
        if cx.hops() >= MAX_ASK_HOPS {
            return None;
        }
        let owners = &cx.view.owners;
        let node = match listed.owner {
            Some(node) if owners.is_live(node) => Some(node),
            Some(_) => owners.owner(cx.flow),
            None => owners.backup(cx.flow, self.node),
        };
        node.filter(|node| *node != self.node)
    }

    /// Target of an existing flow according to the sets alone. If this balancer
    /// listed the flow itself but has no entry, the match is a false positive;
    /// so is the match of a balancer that asks when no set here holds the flow.
    fn listed_target(
        &self,
        cx: &PacketContext<'_>,
        listed: Option<ListedFlow>,
    ) -> Option<TargetId> {
        let listed = listed.filter(|l| l.owner != Some(self.node) && !cx.opens())?;
        let known = cx.view.target(cx.service, listed.target).is_some();
        known.then_some(listed.target)
    }

    /// The balancer that decides on an ambiguous packet, unless it is this one.
    ///
    /// An owner without an entry for the flow asks the previous owner, which
    /// asks the one before it: until the bucket is settled, each of them
    /// decides by what was reported to it.
    fn peer_for_ambiguous(&self, cx: &PacketContext<'_>, open: bool) -> Option<NodeId> {
        if cx.hops() >= MAX_ASK_HOPS {
            return None;
        }
        let since = cx.now.saturating_sub(self.cfg.previous_owner_window);
        let owners = cx.view.owners.owner_history(cx.flow, since);
        let owner = owners.first().copied()?;
        let asked_by_owner = matches!(cx.via, Via::Peer { from, .. } if from == owner);
        // A leaving balancer decides nothing, even for a new owner that does
        // not know yet that it is the owner.
        if owner != self.node && (!asked_by_owner || cx.view.leaving) {
            return Some(owner);
        }
        let mut before = owners.into_iter().skip_while(|node| *node != self.node);
        before.nth(1).filter(|_| open)
    }
}

/// Whether a packet of a known flow starts a new flow in its place: it is a
/// first packet, and the old target is down or accepts no new flows.
///
/// While the target accepts new flows, a reopened flow keeps it, because other
/// balancers may not have seen the old flow end.
fn starts_new_flow(cx: &PacketContext<'_>, entry: &FlowEntry) -> bool {
    if !cx.opens() {
        return false;
    }
    let target = cx.view.target(cx.service, entry.target);
    if entry.has(flag::OPENING) {
        return target.is_none_or(|t| t.down_since.is_some());
    }
    target.is_none_or(|t| !t.usable())
}

/// Refuses a packet that opens a flow. Any other packet may belong to a flow
/// whose request has run, so it is dropped.
pub(crate) fn refuse_or_drop(cx: &PacketContext<'_>) -> Decision {
    if cx.opens() || cx.packet.tcp.is_none() {
        return Decision::Refuse(RefusalReason::NoTarget);
    }
    Decision::Drop(DropReason::NoTarget)
}
