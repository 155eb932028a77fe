//! Health state of each target, decided by the votes of several balancers.

mod evaluate;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use sequoiatrail_table::Table;
use sequoiatrail_types::{FailureDomain, NodeId, ServiceId, TableVersion, TargetId};
use sequoiatrail_wire::message::Observation;

use crate::schedule::Schedule;
use crate::state::{PeerObservation, TargetHealth, Votes};
use crate::{HealthSettings, Probe, ProbeOutcome, probers};

/// A live balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Balancer {
    /// The balancer.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// A change of health state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// Enough balancers find the target unhealthy; it is marked down.
    Down {
        /// The target.
        target: TargetId,
        /// Balancers that find it unhealthy.
        unhealthy: usize,
        /// Balancers whose vote was counted.
        voters: usize,
    },
    /// A target that was down is healthy again.
    Up {
        /// The target.
        target: TargetId,
    },
    /// Most targets of a service look unhealthy, so its probes are ignored.
    Distrusted {
        /// The service.
        service: ServiceId,
    },
    /// The probes of a service are used again.
    Trusted {
        /// The service.
        service: ServiceId,
    },
}

/// Health of all targets as seen by one balancer.
#[derive(Debug)]
pub struct Health {
    node: NodeId,
    settings: HealthSettings,
    targets: HashMap<TargetId, TargetHealth>,
    services: HashMap<ServiceId, Vec<TargetId>>,
    live: Vec<Balancer>,
    schedule: Schedule,
    /// Targets probed by this balancer.
    assigned: Vec<TargetId>,
    /// Targets with possible evidence against them. Only these are evaluated, so
    /// that healthy targets, the large majority, cost nothing.
    suspects: BTreeSet<TargetId>,
    /// Targets whose last observation must be sent again.
    retransmits: BTreeSet<TargetId>,
    /// Version of the table that `targets` was built from.
    table: Option<TableVersion>,
    /// Services whose probes are ignored.
    distrusted: BTreeSet<ServiceId>,
}

impl Health {
    /// Creates the health state of balancer `node`.
    pub fn new(node: NodeId, settings: HealthSettings) -> Health {
        Health {
            node,
            settings,
            targets: HashMap::new(),
            services: HashMap::new(),
            live: Vec::new(),
            schedule: Schedule::new(&settings),
            assigned: Vec::new(),
            suspects: BTreeSet::new(),
            retransmits: BTreeSet::new(),
            table: None,
            distrusted: BTreeSet::new(),
        }
    }

    /// Applies a newer table; the state of targets that remain is kept.
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
                .unwrap_or_else(|| TargetHealth::new(target.service));
            state.domain = target.row.failure_domain;
            state.started = target.row.takes_new_flows();
            self.targets.insert(target.id, state);
            let targets = self.services.entry(target.service).or_default();
            targets.push(target.id);
        }
        self.suspects.retain(|t| self.targets.contains_key(t));
        self.retransmits.retain(|t| self.targets.contains_key(t));
        self.assign_probes(now);
    }

    /// Sets the live balancers, including this one.
    pub fn set_live(&mut self, now: Duration, live: &[Balancer]) {
        if self.live == live {
            return;
        }
        self.live = live.to_vec();
        let nodes: HashSet<NodeId> = live.iter().map(|b| b.node).collect();
        for state in self.targets.values_mut() {
            state
                .peer_observations
                .retain(|node, _| nodes.contains(node));
        }
        self.assign_probes(now);
    }

    /// Returns the probes that are due. Call it several times a second.
    pub fn due_probes(&mut self, now: Duration) -> Vec<Probe> {
        self.schedule.due_probes(now, self.settings.probe_interval)
    }

    /// Records the outcome of a probe; an outcome of an older probe is ignored.
    pub fn record_probe(&mut self, now: Duration, probe: Probe, outcome: ProbeOutcome) {
        if !self.schedule.is_latest(probe.target, probe.round) {
            return;
        }
        let Some(state) = self.targets.get_mut(&probe.target) else {
            return;
        };
        state.local.record_probe(outcome, &self.settings);
        if outcome != ProbeOutcome::Failed {
            return;
        }
        self.suspects.insert(probe.target);
        if !state.down {
            let at = now + self.settings.retry_interval;
            self.schedule.schedule_retry(probe.target, at);
        }
    }

    /// Records passive evidence from this balancer's flows since the last call: new
    /// flows that the target answered promptly, and first packets that were
    /// retransmitted because it did not answer.
    pub fn record_flows(
        &mut self,
        now: Duration,
        target: TargetId,
        answered: u32,
        unanswered: u32,
    ) {
        if let Some(state) = self.targets.get_mut(&target) {
            state
                .local
                .record_flows(now, answered, unanswered, &self.settings);
        }
        if unanswered > 0 {
            self.suspects.insert(target);
        }
    }

    /// Records an observation of a peer, unless it is no newer than the last one.
    pub fn record_observation(&mut self, now: Duration, from: NodeId, observation: Observation) {
        let is_live = self.live.iter().any(|b| b.node == from);
        let Some(state) = self.targets.get_mut(&observation.target) else {
            return;
        };
        let newer = |o: &PeerObservation| observation.round > o.round;
        if !is_live || from == self.node || !state.peer_observations.get(&from).is_none_or(newer) {
            return;
        }
        let received = PeerObservation {
            round: observation.round,
            healthy: observation.healthy,
            at: now,
        };
        state.peer_observations.insert(from, received);
        if !received.healthy {
            self.suspects.insert(observation.target);
        }
    }

    /// Returns the observations to send to the peers now: targets found unhealthy,
    /// their recovery, and periodically the loads of the targets probed here.
    pub fn outgoing_observations(&mut self, now: Duration) -> Vec<Observation> {
        self.update_flow_trust(now);
        let settings = &self.settings;
        let reported = self.suspects.union(&self.retransmits).copied();
        let mut candidates: Vec<TargetId> = self.assigned.iter().copied().chain(reported).collect();
        candidates.sort_unstable();
        candidates.dedup();
        let mut observations = Vec::new();
        for target in candidates {
            let Some(state) = self.targets.get_mut(&target) else {
                continue;
            };
            let Some(healthy) = state.advertise(now, settings) else {
                continue;
            };
            state.round += 1;
            match state.needs_retransmit(settings) {
                true => self.retransmits.insert(target),
                false => self.retransmits.remove(&target),
            };
            observations.push(Observation {
                target,
                round: state.round,
                healthy,
                load: state.local.load,
            });
        }
        observations
    }

    /// Evaluates the evidence and returns the state changes. Call it several times
    /// a second.
    pub fn tick(&mut self, now: Duration) -> Vec<HealthEvent> {
        if self.suspects.is_empty() && self.distrusted.is_empty() {
            return Vec::new();
        }
        let settings = self.settings;
        let targets = &self.targets;
        let still_suspected = |t: &TargetId| {
            targets
                .get(t)
                .is_some_and(|s| s.is_suspected(now, &settings))
        };
        self.suspects.retain(still_suspected);
        self.update_flow_trust(now);
        let votes_of = |t: &TargetId| self.targets[t].votes(now, self.node, &settings);
        let votes: HashMap<TargetId, Votes> =
            self.suspects.iter().map(|t| (*t, votes_of(t))).collect();
        let mut events = self.update_probe_trust(&votes);
        let suspects: Vec<TargetId> = self.suspects.iter().copied().collect();
        for target in suspects {
            events.extend(self.evaluate(now, target, votes[&target]));
        }
        events
    }

    /// Whether a target is down.
    pub fn is_down(&self, target: TargetId) -> bool {
        self.targets.get(&target).is_some_and(|s| s.down)
    }

    /// The targets that are down, by ID.
    pub fn down(&self) -> impl Iterator<Item = TargetId> {
        // A target that is down is always a suspect.
        self.suspects.iter().copied().filter(|t| self.is_down(*t))
    }

    /// Reassigns the probes among the live balancers.
    fn assign_probes(&mut self, now: Duration) {
        let live: Vec<NodeId> = self.live.iter().map(|b| b.node).collect();
        self.assigned.clear();
        for (target, state) in &mut self.targets {
            state.probers = probers(*target, &live, self.settings.probers);
            if state.probers.contains(&self.node) {
                self.assigned.push(*target);
            } else {
                state.local.reset_probes();
            }
        }
        self.assigned.sort_unstable();
        let interval = self.settings.probe_interval;
        self.schedule.assign(now, &self.assigned, interval);
    }
}
