//! Evaluation of the evidence on targets.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use sequoiatrail_types::{FailureDomain, ServiceId, TargetId};

use super::{Health, HealthEvent};
use crate::state::Votes;

impl Health {
    /// Ignores negative flow evidence in a service while it concerns most of the
    /// targets and most probes of these succeed. This is the pattern of a flood of
    /// first packets: its senders never continue a flow, which proves nothing about
    /// the targets.
    pub(super) fn update_flow_trust(&mut self, now: Duration) {
        let mut unhealthy: HashMap<ServiceId, Vec<TargetId>> = HashMap::new();
        for target in &self.suspects {
            let state = &self.targets[target];
            if state.local.healthy_by_flows(now, &self.settings) == Some(false) {
                unhealthy.entry(state.service).or_default().push(*target);
            }
        }
        let flooded = |service: &ServiceId| {
            let unhealthy = unhealthy.get(service).map_or(&[][..], Vec::as_slice);
            let started = self.services[service].iter();
            let started = started.filter(|t| self.targets[*t].started).count();
            let probed = unhealthy
                .iter()
                .filter_map(|t| self.targets[t].local.healthy_by_probes());
            let (answered, failed): (Vec<bool>, Vec<bool>) = probed.partition(|healthy| *healthy);
            let mostly_unhealthy =
                unhealthy.len() as f64 > started as f64 * self.settings.distrust_threshold;
            mostly_unhealthy && answered.len() > failed.len()
        };
        let services: HashSet<ServiceId> = self
            .suspects
            .iter()
            .map(|t| self.targets[t].service)
            .collect();
        let flooded: HashSet<ServiceId> = services.into_iter().filter(flooded).collect();
        for target in &self.suspects {
            if let Some(state) = self.targets.get_mut(target) {
                state.local.flows_distrusted = flooded.contains(&state.service);
            }
        }
    }

    /// Ignores the probes of services most of whose targets look unhealthy. Targets
    /// in failure domains without a live balancer are not counted: the whole domain
    /// is partitioned off, which is known without any probe.
    pub(super) fn update_probe_trust(
        &mut self,
        votes: &HashMap<TargetId, Votes>,
    ) -> Vec<HealthEvent> {
        let domains: HashSet<FailureDomain> = self.live.iter().map(|b| b.domain).collect();
        let is_unhealthy = |t: &TargetId| votes.get(t).is_some_and(|v| v.majority_unhealthy());
        let is_mostly_unhealthy = |service: &ServiceId| {
            let targets = self.services.get(service).map_or(&[][..], Vec::as_slice);
            let is_counted = |t: &&TargetId| {
                let state = &self.targets[*t];
                state.started && domains.contains(&state.domain)
            };
            let all = targets.iter().filter(is_counted).count();
            let unhealthy_targets = targets
                .iter()
                .filter(is_counted)
                .filter(|t| is_unhealthy(t))
                .count();
            unhealthy_targets as f64 > all as f64 * self.settings.distrust_threshold
        };
        let services = votes.keys().map(|t| self.targets[t].service);
        let services: BTreeSet<ServiceId> = services.collect();
        let distrusted: BTreeSet<ServiceId> =
            services.into_iter().filter(is_mostly_unhealthy).collect();
        let newly_distrusted = distrusted.difference(&self.distrusted);
        let newly_trusted = self.distrusted.difference(&distrusted);
        let events = newly_distrusted
            .map(|s| HealthEvent::Distrusted { service: *s })
            .chain(newly_trusted.map(|s| HealthEvent::Trusted { service: *s }))
            .collect();
        self.distrusted = distrusted;
        events
    }

    /// Updates the state of one target from the votes on it.
    pub(super) fn evaluate(
        &mut self,
        now: Duration,
        target: TargetId,
        votes: Votes,
    ) -> Option<HealthEvent> {
        let settings = self.settings;
        let alone = self.live.len() <= 1;
        let state = self.targets.get_mut(&target)?;
        let distrusted = self.distrusted.contains(&state.service)
            && self.live.iter().any(|b| b.domain == state.domain);
        if !votes.majority_unhealthy() {
            state.confirmed = false;
        } else if state.local.healthy_by_flows(now, &settings) == Some(false)
            && !state.local.flows_distrusted
        {
            state.confirmed = true;
        }
        let agreed = match alone {
            true => state.confirmed || state.local.failures >= settings.solo_failure_threshold,
            false => votes.unhealthy >= 2,
        };
        let dead = votes.majority_unhealthy() && agreed && (!distrusted || state.confirmed);
        match (state.down, dead) {
            (false, true) => {
                state.down = true;
                state.healthy_since = None;
                state.damping.record_down(now, &settings);
                Some(HealthEvent::Down {
                    target,
                    unhealthy: votes.unhealthy,
                    voters: votes.voters,
                })
            }
            (true, true) => {
                state.healthy_since = None;
                None
            }
            (true, false) => {
                let since = *state.healthy_since.get_or_insert(now);
                let held = now.saturating_sub(since) >= state.damping.hold_down(&settings);
                if !held && !distrusted {
                    return None;
                }
                state.down = false;
                Some(HealthEvent::Up { target })
            }
            (false, false) => None,
        }
    }
}
