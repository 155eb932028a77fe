//! What the evidence says of the targets.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use sequoiatrail_types::{FailureDomain, ServiceId, TargetId};

use super::{Health, HealthEvent};
use crate::state::Votes;

impl Health {
    /// Distrusts flows that speak against most targets of a service while probes
    /// of these are answered: a flood of first packets is never answered by its
    /// senders, and says nothing of the targets.
    pub(super) fn judge_flows(&mut self, now: Duration) {
        let mut stalled: HashMap<ServiceId, Vec<TargetId>> = HashMap::new();
        for target in &self.doubtful {
            let state = &self.targets[target];
            if state.own.by_flows(now, &self.settings) == Some(false) {
                stalled.entry(state.service).or_default().push(*target);
            }
        }
        let flooded = |service: &ServiceId| {
            let stalled = stalled.get(service).map_or(&[][..], Vec::as_slice);
            let started = self.services[service].iter();
            let started = started.filter(|t| self.targets[*t].started).count();
            let probed = stalled
                .iter()
                .filter_map(|t| self.targets[t].own.by_probes());
            let (answered, failed): (Vec<bool>, Vec<bool>) = probed.partition(|healthy| *healthy);
            let most = stalled.len() as f64 > started as f64 * self.settings.distrust_threshold;
            most && answered.len() > failed.len()
        };
        let services: HashSet<ServiceId> = self
            .doubtful
            .iter()
            .map(|t| self.targets[t].service)
            .collect();
        let flooded: HashSet<ServiceId> = services.into_iter().filter(flooded).collect();
        for target in &self.doubtful {
            if let Some(state) = self.targets.get_mut(target) {
                state.own.flows_distrusted = flooded.contains(&state.service);
            }
        }
    }

    /// Distrusts the probes of services most of whose targets look dead. A
    /// target in a failure domain without a live balancer is not counted: it is
    /// cut off together with its balancers, which no probe is needed to tell.
    pub(super) fn judge_probes(&mut self, votes: &HashMap<TargetId, Votes>) -> Vec<HealthEvent> {
        let domains: HashSet<FailureDomain> = self.live.iter().map(|b| b.domain).collect();
        let looks_dead = |t: &TargetId| votes.get(t).is_some_and(|v| v.most_unhealthy());
        let most_look_dead = |service: &ServiceId| {
            let targets = self.services.get(service).map_or(&[][..], Vec::as_slice);
            let counts = |t: &&TargetId| {
                let state = &self.targets[*t];
                state.started && domains.contains(&state.domain)
            };
            let all = targets.iter().filter(counts).count();
            let dead = targets
                .iter()
                .filter(counts)
                .filter(|t| looks_dead(t))
                .count();
            dead as f64 > all as f64 * self.settings.distrust_threshold
        };
        let services = votes.keys().map(|t| self.targets[t].service);
        let services: BTreeSet<ServiceId> = services.collect();
        let distrusted: BTreeSet<ServiceId> = services.into_iter().filter(most_look_dead).collect();
        let lost = distrusted.difference(&self.distrusted);
        let regained = self.distrusted.difference(&distrusted);
        let events = lost
            .map(|s| HealthEvent::Distrusted { service: *s })
            .chain(regained.map(|s| HealthEvent::Trusted { service: *s }))
            .collect();
        self.distrusted = distrusted;
        events
    }

    /// Changes the state of one target by the votes on it.
    pub(super) fn judge(
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
        if !votes.most_unhealthy() {
            state.confirmed = false;
        } else if state.own.by_flows(now, &settings) == Some(false) && !state.own.flows_distrusted {
            state.confirmed = true;
        }
        let agreed = match alone {
            true => state.confirmed || state.own.failed >= settings.solo_failure_threshold,
            false => votes.unhealthy >= 2,
        };
        let dead = votes.most_unhealthy() && agreed && (!distrusted || state.confirmed);
        match (state.down, dead) {
            (false, true) => {
                state.down = true;
                state.healthy_since = None;
                state.damping.went_down(now, &settings);
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
