//! The state of each target, agreed by several balancers.

mod judge;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use sequoiatrail_table::Table;
use sequoiatrail_types::{FailureDomain, NodeId, ServiceId, TableVersion, TargetId};
use sequoiatrail_wire::message::Observation;

use crate::schedule::Schedule;
use crate::state::{Heard, State, Votes};
use crate::{HealthSettings, Probe, ProbeOutcome, probers};

/// A live balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Balancer {
    /// The balancer.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// A change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// The balancers agreed that a target is dead.
    Down {
        /// The target.
        target: TargetId,
        /// Balancers that call it unhealthy.
        unhealthy: usize,
        /// Balancers that have an opinion.
        voters: usize,
    },
    /// A dead target lives again.
    Up {
        /// The target.
        target: TargetId,
    },
    /// Most targets of a service look dead, so the probes are not believed.
    Distrusted {
        /// The service.
        service: ServiceId,
    },
    /// The probes of a service are believed again.
    Trusted {
        /// The service.
        service: ServiceId,
    },
}

/// The health of all targets as one balancer sees it.
#[derive(Debug)]
pub struct Health {
    node: NodeId,
    settings: HealthSettings,
    targets: HashMap<TargetId, State>,
    services: HashMap<ServiceId, Vec<TargetId>>,
    live: Vec<Balancer>,
    schedule: Schedule,
    /// The targets that this balancer probes.
    mine: Vec<TargetId>,
    /// Targets that something may speak against. Only these are judged, so
    /// that the many that are well cost nothing.
    doubtful: BTreeSet<TargetId>,
    /// Targets that the peers have to be told of again.
    follow_ups: BTreeSet<TargetId>,
    /// Table that `targets` was made from.
    table: Option<TableVersion>,
    /// Services whose probes are not believed.
    distrusted: BTreeSet<ServiceId>,
}

impl Health {
    /// Health as seen by balancer `node`.
    pub fn new(node: NodeId, settings: HealthSettings) -> Health {
        Health {
            node,
            settings,
            targets: HashMap::new(),
            services: HashMap::new(),
            live: Vec::new(),
            schedule: Schedule::new(&settings),
            mine: Vec::new(),
            doubtful: BTreeSet::new(),
            follow_ups: BTreeSet::new(),
            table: None,
            distrusted: BTreeSet::new(),
        }
    }

    /// Takes a newer table over; what is known of targets that stay is kept.
    pub fn set_table(&mut self, now: Duration, table: &Table) {
        if self.table == Some(table.version) {
            return;
        }
        self.table = Some(table.version);
        let mut old = std::mem::take(&mut self.targets);
        self.services.clear();
        for target in &table.targets {
            let mut state = old
                .remove(&target.id)
                .unwrap_or_else(|| State::new(target.service));
            state.domain = target.row.failure_domain;
            state.started = target.row.takes_new_flows();
            self.targets.insert(target.id, state);
            let targets = self.services.entry(target.service).or_default();
            targets.push(target.id);
        }
        self.doubtful.retain(|t| self.targets.contains_key(t));
        self.follow_ups.retain(|t| self.targets.contains_key(t));
        self.assign(now);
    }

    /// Takes the live balancers over, this one included.
    pub fn set_live(&mut self, now: Duration, live: &[Balancer]) {
        if self.live == live {
            return;
        }
        self.live = live.to_vec();
        let nodes: HashSet<NodeId> = live.iter().map(|b| b.node).collect();
        for state in self.targets.values_mut() {
            state.heard.retain(|node, _| nodes.contains(node));
        }
        self.assign(now);
    }

    /// The probes to make now. Call it several times a second.
    pub fn due_probes(&mut self, now: Duration) -> Vec<Probe> {
        self.schedule.due_probes(now, self.settings.probe_interval)
    }

    /// Takes in how a probe ended; a late outcome of an older probe is ignored.
    pub fn record_probe(&mut self, now: Duration, probe: Probe, outcome: ProbeOutcome) {
        if !self.schedule.is_newest(probe.target, probe.round) {
            return;
        }
        let Some(state) = self.targets.get_mut(&probe.target) else {
            return;
        };
        state.own.record_probe(outcome, &self.settings);
        if outcome != ProbeOutcome::Failed {
            return;
        }
        self.doubtful.insert(probe.target);
        if !state.down {
            let at = now + self.settings.retry_interval;
            self.schedule.hasten(probe.target, at);
        }
    }

    /// Takes in what this balancer's flows showed of a target since the last
    /// call: new flows whose target answered at once, and first packets that were
    /// repeated because it did not.
    pub fn record_flows(&mut self, now: Duration, target: TargetId, progressed: u32, stalled: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state
                .own
                .record_flows(now, progressed, stalled, &self.settings);
        }
        if stalled > 0 {
            self.doubtful.insert(target);
        }
    }

    /// Takes in what a peer said; an observation that is no newer than the last is ignored.
    pub fn record_observation(&mut self, now: Duration, from: NodeId, observation: Observation) {
        let known = self.live.iter().any(|b| b.node == from);
        let Some(state) = self.targets.get_mut(&observation.target) else {
            return;
        };
        let newer = |h: &Heard| observation.round > h.round;
        if !known || from == self.node || !state.heard.get(&from).is_none_or(newer) {
            return;
        }
        let heard = Heard {
            round: observation.round,
            healthy: observation.healthy,
            at: now,
        };
        state.heard.insert(from, heard);
        if !heard.healthy {
            self.doubtful.insert(observation.target);
        }
    }

    /// What the peers have to be told now: what speaks against a target, when
    /// that ends, and now and then the loads of the targets probed here.
    pub fn outgoing_observations(&mut self, now: Duration) -> Vec<Observation> {
        self.judge_flows(now);
        let settings = &self.settings;
        let others = self.doubtful.union(&self.follow_ups).copied();
        let mut candidates: Vec<TargetId> = self.mine.iter().copied().chain(others).collect();
        candidates.sort_unstable();
        candidates.dedup();
        let mut news = Vec::new();
        for target in candidates {
            let Some(state) = self.targets.get_mut(&target) else {
                continue;
            };
            let Some(healthy) = state.tell(now, settings) else {
                continue;
            };
            state.round += 1;
            match state.must_follow_up(settings) {
                true => self.follow_ups.insert(target),
                false => self.follow_ups.remove(&target),
            };
            news.push(Observation {
                target,
                round: state.round,
                healthy,
                load: state.own.load,
            });
        }
        news
    }

    /// Changes of state by the evidence so far. Call it several times a second.
    pub fn tick(&mut self, now: Duration) -> Vec<HealthEvent> {
        if self.doubtful.is_empty() && self.distrusted.is_empty() {
            return Vec::new();
        }
        let settings = self.settings;
        let targets = &self.targets;
        let is_doubtful = |t: &TargetId| {
            targets
                .get(t)
                .is_some_and(|s| s.is_doubtful(now, &settings))
        };
        self.doubtful.retain(is_doubtful);
        self.judge_flows(now);
        let votes_of = |t: &TargetId| self.targets[t].votes(now, self.node, &settings);
        let votes: HashMap<TargetId, Votes> =
            self.doubtful.iter().map(|t| (*t, votes_of(t))).collect();
        let mut events = self.judge_probes(&votes);
        let doubtful: Vec<TargetId> = self.doubtful.iter().copied().collect();
        for target in doubtful {
            events.extend(self.judge(now, target, votes[&target]));
        }
        events
    }

    /// Whether a target is down.
    pub fn is_down(&self, target: TargetId) -> bool {
        self.targets.get(&target).is_some_and(|s| s.down)
    }

    /// The targets that are down, by number.
    pub fn down(&self) -> impl Iterator<Item = TargetId> {
        // A target that is down is doubtful.
        self.doubtful.iter().copied().filter(|t| self.is_down(*t))
    }

    /// Shares the probes out anew.
    fn assign(&mut self, now: Duration) {
        let live: Vec<NodeId> = self.live.iter().map(|b| b.node).collect();
        self.mine.clear();
        for (target, state) in &mut self.targets {
            state.probers = probers(*target, &live, self.settings.probers);
            if state.probers.contains(&self.node) {
                self.mine.push(*target);
            } else {
                state.own.forget_probes();
            }
        }
        self.mine.sort_unstable();
        let interval = self.settings.probe_interval;
        self.schedule.assign(now, &self.mine, interval);
    }
}
