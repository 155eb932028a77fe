//! Creates flow table entries for decided packets.

use sequoiatrail_types::{FlowHash, TargetId};

use crate::Via;
use crate::core::Core;
use crate::flow_table::{EvictionClass, FlowEntry, Shard, flag};
use crate::packet_context::PacketContext;
use crate::view::View;

impl Core {
    /// Records and counts a new flow; false if the flow table is full.
    pub(crate) fn place(
        &self,
        cx: &PacketContext<'_>,
        shard: &mut Shard,
        target: TargetId,
    ) -> bool {
        let opening = if cx.opens() { flag::OPENING } else { 0 };
        if !self.record(cx, shard, target, opening) {
            return false;
        }
        if let Some(t) = cx.view.target(cx.service, target) {
            t.counts.count_placed(self.is_owner(cx.view, cx.flow));
        }
        true
    }

    /// Records a flow; false if the flow table is full.
    pub(crate) fn record(
        &self,
        cx: &PacketContext<'_>,
        shard: &mut Shard,
        target: TargetId,
        flags: u8,
    ) -> bool {
        if !self.make_room(cx.view, shard) {
            return false;
        }
        let mut entry = FlowEntry::new(cx.now, cx.service, target);
        entry.observe(cx.now, cx.packet);
        entry.set(flags, true);
        let owned = self.is_owner(cx.view, cx.flow);
        let opened_here = cx.opens() && !owned;
        entry.set(flag::OWNER_KNOWS, cx.packet.tcp.is_some() && !opened_here);
        if cx.via == Via::Fabric {
            self.count_packet(cx, &mut entry);
        }
        if owned && !entry.has(flag::CLOSED) {
            self.count_entry(cx.view, &mut entry);
        }
        shard.insert(cx.flow, entry);
        true
    }

    /// Makes room for one entry; false if no entry can be evicted.
    pub(crate) fn make_room(&self, view: &View, shard: &mut Shard) -> bool {
        let class = |flow: FlowHash, entry: &FlowEntry| {
            let Some(service) = view.service_of(entry.target) else {
                return EvictionClass::Closed;
            };
            let settled = service.open_bucket(flow).is_none();
            let on_plan = settled && service.planned_target(flow) == entry.target;
            match (entry.has(flag::OPENING), on_plan) {
                _ if entry.has(flag::CLOSED) => EvictionClass::Closed,
                (true, true) => EvictionClass::Opening,
                (false, true) => EvictionClass::OnPlan,
                (true, false) => EvictionClass::OpeningOffPlan,
                (false, false) => EvictionClass::Pinned,
            }
        };
        let on_evict = |entry: &FlowEntry| self.uncount(view, entry);
        self.flows.make_room(shard, class, on_evict)
    }

    /// Counts a packet only if the flow's bucket is settled. While it is open,
    /// the other balancers relay their packets to the owner and create no
    /// entries.
    pub(crate) fn count_packet(&self, cx: &PacketContext<'_>, entry: &mut FlowEntry) {
        let service = cx.view.services.get(&cx.service);
        if service.is_some_and(|s| s.open_bucket(cx.flow).is_none()) {
            entry.count_packet();
        }
    }
}
