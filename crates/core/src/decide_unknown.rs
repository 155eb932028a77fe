//! Decisions on flows without an entry.

use sequoiatrail_plan::NO_TARGET;
use sequoiatrail_types::{RefusalReason, TargetId};

use sequoiatrail_wire::message::RelayStage;

use crate::core::Core;
use crate::decide::refuse_or_drop;
use crate::flow_table::Shard;
use crate::packet_context::PacketContext;
use crate::service_view::ServiceView;
use crate::transition::OpenBucket;
use crate::{Decision, DropReason, ForwardReason};

impl Core {
    pub(crate) fn decide_settled(
        &self,
        cx: &PacketContext<'_>,
        shard: &mut Shard,
        service: &ServiceView,
    ) -> Decision {
        let target = service.planned_target(cx.flow);
        if target == NO_TARGET {
            return refuse_or_drop(cx);
        }
        if !cx.opens() {
            self.record(cx, shard, target, 0);
            // The owner has to learn of the end of a flow even if the flow was
            // never seen here.
            if cx.ends()
                && let Some(owner) =
                    self.owner_to_notify_of_end(cx, self.is_owner(cx.view, cx.flow))
            {
                return cx.relay(owner, RelayStage::Keep, target);
            }
            return self.forward_new(cx, service, target, ForwardReason::Settled);
        }
        if cx.view.target(cx.service, target).is_some_and(|t| t.full()) {
            return Decision::Refuse(RefusalReason::AllFull);
        }
        // The balancers disagreed about the owner, and the decision ended up
        // here: the current owner is notified.
        if let Some(owner) = cx.view.owners.owner(cx.flow)
            && cx.packet.tcp.is_some()
            && owner != self.node
        {
            self.queue_correction(owner, cx.service, cx.flow, target);
        }
        if !self.place(cx, shard, target) {
            return Decision::Refuse(RefusalReason::NoMemory);
        }
        self.forward_new(cx, service, target, ForwardReason::Plan)
    }

    /// Forwards the first packet seen of a flow; while the bucket is open,
    /// through the backup.
    ///
    /// Until the bucket is settled all packets of the flow are relayed here, so
    /// a second balancer has to know the flow. This includes flows on the
    /// baseline, which are off the plan once the bucket is settled, and flows
    /// on the plan, which until then differ from the baseline.
    fn forward_new(
        &self,
        cx: &PacketContext<'_>,
        service: &ServiceView,
        target: TargetId,
        reason: ForwardReason,
    ) -> Decision {
        let backup = cx.view.owners.backup(cx.flow, self.node);
        match backup.filter(|_| service.open_bucket(cx.flow).is_some()) {
            Some(backup) => cx.relay(backup, RelayStage::Keep, target),
            None => cx.forward(target, reason),
        }
    }

    pub(crate) fn decide_open(
        &self,
        cx: &PacketContext<'_>,
        shard: &mut Shard,
        service: &ServiceView,
        open: &OpenBucket,
    ) -> Decision {
        if service.knows_all_off_plan(cx.flow, self.node) {
            return self.decide_settled(cx, shard, service);
        }
        let baseline = service.old_flow_target(open, cx.flow, self.node);
        if !cx.opens() && !self.is_new_udp_flow(cx, service, open, baseline) {
            if baseline == NO_TARGET {
                return Decision::Drop(DropReason::NoTarget);
            }
            self.record(cx, shard, baseline, 0);
            return cx.forward(baseline, ForwardReason::Baseline);
        }
        let (target, reason) = match self.choose_target(cx, service, open) {
            Ok(choice) => choice,
            Err(reason) => return Decision::Refuse(reason),
        };
        if !self.place(cx, shard, target) {
            return Decision::Refuse(RefusalReason::NoMemory);
        }
        self.forward_new(cx, service, target, reason)
    }

    /// Whether an unknown UDP packet is treated as the first of a new flow. As
    /// long as the baseline may still get new flows, the packet is treated as
    /// part of an existing one.
    fn is_new_udp_flow(
        &self,
        cx: &PacketContext<'_>,
        service: &ServiceView,
        open: &OpenBucket,
        baseline: TargetId,
    ) -> bool {
        let udp = cx.packet.tcp.is_none();
        let target = cx.view.target(cx.service, baseline);
        let blocked = target.is_none_or(|t| t.blocked(cx.now, self.cfg.switch_deadline));
        let new_flow_target =
            open.new_flow_target(service.prepared, cx.now, self.cfg.rebalance_deadline);
        udp && (blocked || (new_flow_target != baseline && !cx.view.takes_new_flows(baseline)))
    }

    /// Selects the target of a new flow in an open bucket owned by this
    /// balancer.
    fn choose_target(
        &self,
        cx: &PacketContext<'_>,
        service: &ServiceView,
        open: &OpenBucket,
    ) -> Result<(TargetId, ForwardReason), RefusalReason> {
        let baseline_usable = cx.view.takes_new_flows(open.baseline);
        let deadline = if baseline_usable {
            self.cfg.rebalance_deadline
        } else {
            self.cfg.switch_deadline
        };
        let first = open.new_flow_target(service.prepared, cx.now, deadline);
        let target = cx.view.target(cx.service, first);
        let blocked = target.is_none_or(|t| t.blocked(cx.now, self.cfg.switch_deadline));
        let full = target.is_some_and(|t| t.full());
        if !blocked && !full {
            return Ok((first, ForwardReason::Plan));
        }
        let usable = |t: &TargetId| {
            let target = cx.view.target(cx.service, *t);
            target.is_some_and(|t| t.usable() && !t.full())
        };
        open.targets_newest_first()
            .find(usable)
            .or_else(|| cx.view.next_target(cx.service, cx.flow))
            .map(|t| (t, ForwardReason::NextTarget))
            .ok_or(if full {
                RefusalReason::AllFull
            } else {
                RefusalReason::NoTarget
            })
    }
}
