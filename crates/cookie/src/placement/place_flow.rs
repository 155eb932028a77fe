//! Placement of a new flow, from what this balancer knows of the service's targets.

use std::time::Duration;

use crate::liveness::silence::probe_if_suspect;
use crate::packets::decision::ResetReason;
use crate::targets::presence::Target;
use crate::{Balancer, Candidate, Suspicion, TargetKey, choose};

impl Balancer {
    /// Selects the target of a new flow.
    ///
    /// # Errors
    ///
    /// If no target accepts it; the reason for its reset.
    pub(crate) fn place(
        &mut self,
        now: Duration,
        service: &str,
        avoid: Option<TargetKey>,
    ) -> Result<TargetKey, ResetReason> {
        let cold_rate = self.routes.cold_flows_per_s(service);
        let cold_bound = self.cfg.warmup.bound(cold_rate);
        let candidates = self.candidates(now, service, avoid, cold_bound);
        let others = self.domain_load.service(now, service);
        let others = others.map(|others| others.in_flight);
        let chosen = choose(&self.cfg.placement, &candidates, others, &mut self.rng);
        let key = chosen.ok_or_else(|| self.refusal_reason(service))?;
        let cold = candidates.iter().any(|c| c.key == key && c.cold);
        if let Some(target) = self
            .directory
            .get(key)
            .filter(|_| cold && cold_bound.is_some())
        {
            self.warmup.record_sent(now, target.entry.id);
        }
        Ok(key)
    }

    /// Targets that may get a flow of the service. A cold one may get `cold_bound` flows
    /// per second over all balancers, if that is set.
    fn candidates(
        &mut self,
        now: Duration,
        service: &str,
        avoid: Option<TargetKey>,
        cold_bound: Option<u32>,
    ) -> Vec<Candidate> {
        // While requests wait at all targets, latencies show queues rather than paces.
        let overloaded = self.overload.is_overloaded(now, service);
        let keys = self.directory.for_service(service).to_vec();
        let mut candidates = Vec::with_capacity(keys.len());
        for key in keys {
            let suspected = self.update_suspicion(now, key);
            let Some(target) = self.directory.get(key) else {
                continue;
            };
            let id = target.entry.id;
            let local = target.entry.domain == self.cfg.domain;
            let returning = self.evacuations.returning(now, &target.entry.domain);
            let cold = now < target.cold_until || returning > 0.0;
            let bound = cold_bound.filter(|_| cold);
            if bound.is_some_and(|bound| !local || !self.warmup.has_room(now, id, bound)) {
                continue;
            }
            candidates.push(Candidate {
                key,
                local,
                cold,
                returning,
                avoid: suspected || avoid == Some(key),
                slots: target.entry.slots,
                slowness: match overloaded {
                    true => 1.0,
                    false => self.paces.slowness(now, id),
                },
                load: target.load,
                neighbors: self.domain_load.target(now, id),
            });
        }
        candidates
    }

    /// Whether new flows should avoid a target. A new suspicion is reported to the other
    /// balancers of the failure domain.
    fn update_suspicion(&mut self, now: Duration, key: TargetKey) -> bool {
        let Some(target) = self.directory.get_mut(key) else {
            return true;
        };
        let before = target.health.suspicion_count();
        let suspected = target.health.should_avoid(now, &self.cfg.health);
        if target.health.suspicion_count() > before {
            self.reports.record(now, None, target.entry.id);
            self.pending.report.targets.push(target.entry.id);
            self.pending.suspicions.push(Suspicion {
                target: target.entry.id,
                suspicion_count: target.health.suspicion_count(),
                flows: target.load.flows,
            });
        }
        probe_if_suspect(&self.cfg, &mut self.pending, now, target);
        suspected
    }

    /// Why no target of a service accepts a new flow.
    fn refusal_reason(&self, service: &str) -> ResetReason {
        if !self.directory.for_service(service).is_empty() {
            return ResetReason::ColdTargets;
        }
        let accepts = |t: &Target| *t.entry.service == *service && t.accepts_new_flows();
        match self.directory.iter().any(accepts) {
            true => ResetReason::Evacuated,
            false => ResetReason::NoTarget,
        }
    }
}
