//! Decisions on flows that nobody is known to remember.

use sequoiatrail_plan::NO_TARGET;
use sequoiatrail_types::{RefusalReason, TargetId};

use sequoiatrail_wire::message::RelayStage;

use crate::core::Core;
use crate::decide::refuse_or_drop;
use crate::flow_table::Shard;
use crate::question::Question;
use crate::service_view::ServiceView;
use crate::transition::OpenBucket;
use crate::{Decision, DropReason, ForwardReason};

impl Core {
    pub(crate) fn decide_settled(
        &self,
        q: &Question<'_>,
        shard: &mut Shard,
        service: &ServiceView,
    ) -> Decision {
        let target = service.planned(q.flow);
        if target == NO_TARGET {
            return refuse_or_drop(q);
        }
        if !q.opens() {
            self.record(q, shard, target, 0);
            // The end of a flow that was never seen here counts as well.
            if q.ends()
                && let Some(owner) = self.end_goes_through(q, self.is_owner(q.view, q.flow))
            {
                return q.relay(owner, RelayStage::Keep, target);
            }
            return self.send_new(q, service, target, ForwardReason::Settled);
        }
        if q.view.target(q.service, target).is_some_and(|t| t.full()) {
            return Decision::Refuse(RefusalReason::AllFull);
        }
        // Balancers that differ in who owns the flow leave the decision here:
        // the owner is told.
        if let Some(owner) = q.view.owners.owner(q.flow)
            && q.packet.tcp.is_some()
            && owner != self.node
        {
            self.correct(owner, q.service, q.flow, target);
        }
        if !self.place(q, shard, target) {
            return Decision::Refuse(RefusalReason::NoMemory);
        }
        self.send_new(q, service, target, ForwardReason::Plan)
    }

    /// Sends the first packet of a flow that this balancer knows, by way of a
    /// backup while the bucket is open.
    ///
    /// All packets of the flow come here until then, so a second balancer has
    /// to know it; also one on the baseline, which is off the plan once the
    /// bucket closes, and one on the plan, which is not the baseline before.
    fn send_new(
        &self,
        q: &Question<'_>,
        service: &ServiceView,
        target: TargetId,
        reason: ForwardReason,
    ) -> Decision {
        let backup = q.view.owners.backup(q.flow, self.node);
        match backup.filter(|_| service.open_bucket(q.flow).is_some()) {
            Some(backup) => q.relay(backup, RelayStage::Keep, target),
            None => q.forward(target, reason),
        }
    }

    pub(crate) fn decide_open(
        &self,
        q: &Question<'_>,
        shard: &mut Shard,
        service: &ServiceView,
        open: &OpenBucket,
    ) -> Decision {
        if service.is_exact(q.flow, self.node) {
            return self.decide_settled(q, shard, service);
        }
        let baseline = service.baseline_of(open, q.flow, self.node);
        if !q.opens() && !self.opens_unseen(q, service, open, baseline) {
            if baseline == NO_TARGET {
                return Decision::Drop(DropReason::NoTarget);
            }
            self.record(q, shard, baseline, 0);
            return q.forward(baseline, ForwardReason::Baseline);
        }
        let (target, reason) = match self.choose(q, service, open) {
            Ok(choice) => choice,
            Err(reason) => return Decision::Refuse(reason),
        };
        if !self.place(q, shard, target) {
            return Decision::Refuse(RefusalReason::NoMemory);
        }
        self.send_new(q, service, target, reason)
    }

    /// Whether an unknown UDP packet counts as the first of a new flow: the
    /// baseline must not get new flows any more. Until then it counts as old.
    fn opens_unseen(
        &self,
        q: &Question<'_>,
        service: &ServiceView,
        open: &OpenBucket,
        baseline: TargetId,
    ) -> bool {
        let udp = q.packet.tcp.is_none();
        let target = q.view.target(q.service, baseline);
        let blocked = target.is_none_or(|t| t.blocked(q.now, self.cfg.switch_deadline));
        let switched = open.switched(service.prepared, q.now, self.cfg.rebalance_deadline);
        udp && (blocked || (switched != baseline && !q.view.takes_new_flows(baseline)))
    }

    /// Target of a new flow in an open bucket that this balancer owns.
    fn choose(
        &self,
        q: &Question<'_>,
        service: &ServiceView,
        open: &OpenBucket,
    ) -> Result<(TargetId, ForwardReason), RefusalReason> {
        let baseline_usable = q.view.takes_new_flows(open.baseline);
        let deadline = if baseline_usable {
            self.cfg.rebalance_deadline
        } else {
            self.cfg.switch_deadline
        };
        let first = open.switched(service.prepared, q.now, deadline);
        let target = q.view.target(q.service, first);
        let blocked = target.is_none_or(|t| t.blocked(q.now, self.cfg.switch_deadline));
        let full = target.is_some_and(|t| t.full());
        if !blocked && !full {
            return Ok((first, ForwardReason::Plan));
        }
        let usable = |t: &TargetId| {
            let target = q.view.target(q.service, *t);
            target.is_some_and(|t| t.usable() && !t.full())
        };
        open.newest_first()
            .find(usable)
            .or_else(|| q.view.next_target(q.service, q.flow))
            .map(|t| (t, ForwardReason::NextTarget))
            .ok_or(if full {
                RefusalReason::AllFull
            } else {
                RefusalReason::NoTarget
            })
    }
}
