//! Target health and load, evaluated on the control thread.

use std::time::Duration;

use sequoiatrail_core::{Event as CoreEvent, FlowEvidence, Peer};
use sequoiatrail_events::{Event, Log};
use sequoiatrail_health::{
    Balancer, Health, HealthEvent, HealthSettings, Load, LoadSettings, Probe as ProbeRound,
    ProbeOutcome,
};
use sequoiatrail_plan::Factors;
use sequoiatrail_settings::{HealthSettings as ProbeSettings, Probe};
use sequoiatrail_table::Table;
use sequoiatrail_types::{NodeId, TargetId};
use sequoiatrail_wire::message::{Share, TargetMessage};

use crate::probe::{ProbeJob, ProbeQueue};

/// Queue of target probes to run.
pub(crate) type TargetProbeQueue = ProbeQueue<ProbeRound>;

/// Interval between updates of the open flow counts.
const SHARES_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which unchanged counts are resent, before they expire at the peers.
const SHARES_REFRESH: Duration = Duration::from_secs(30);

/// Updates from one tick, to be passed on.
#[derive(Default)]
pub(crate) struct TargetUpdates {
    /// Events for the core.
    pub events: Vec<CoreEvent>,
    /// Message to all other balancers.
    pub message: TargetMessage,
}

/// Health and load of the targets.
pub(crate) struct Targets {
    node: NodeId,
    log: Log,
    health: Health,
    load: Load,
    /// `None` if targets are not probed.
    prober: Option<TargetProbeQueue>,
    settings: ProbeSettings,
    next_shares: Duration,
    /// When all counts are sent to the other balancers again.
    next_refresh: Duration,
}

impl Targets {
    pub fn new(
        node: NodeId,
        settings: &ProbeSettings,
        prober: Option<TargetProbeQueue>,
        log: Log,
    ) -> Self {
        let health = HealthSettings {
            probe_interval: Duration::from_millis(settings.interval_ms),
            ..HealthSettings::default()
        };
        Self {
            node,
            log,
            health: Health::new(node, health),
            load: Load::new(LoadSettings::default()),
            prober,
            settings: settings.clone(),
            next_shares: Duration::ZERO,
            next_refresh: Duration::ZERO,
        }
    }

    /// Sets the live balancers.
    pub fn set_live(&mut self, now: Duration, peers: &[Peer]) {
        let live: Vec<Balancer> = peers
            .iter()
            .map(|p| Balancer {
                node: p.node,
                domain: p.domain,
            })
            .collect();
        self.health.set_live(now, &live);
    }

    /// Sets the table.
    pub fn set_table(&mut self, now: Duration, table: &Table) {
        self.health.set_table(now, table);
    }

    /// Records observations and flow counts from another balancer.
    pub fn record_message(&mut self, now: Duration, from: NodeId, message: &TargetMessage) {
        for observation in &message.observations {
            self.health.record_observation(now, from, *observation);
            self.load.record_report(now, *observation);
        }
        for share in &message.shares {
            self.load.record_count(now, from, *share);
        }
    }

    /// Records the outcome of a probe.
    pub fn record_probe(&mut self, now: Duration, round: ProbeRound, outcome: ProbeOutcome) {
        self.health.record_probe(now, round, outcome);
    }

    /// Records the evidence from new flows since the last call.
    pub fn record_evidence(&mut self, now: Duration, evidence: &[FlowEvidence]) {
        for e in evidence {
            self.health
                .record_flows(now, e.target, e.answered, e.retransmitted);
        }
    }

    /// Returns whether the open flow counts are due for an update.
    pub fn shares_due(&self, now: Duration) -> bool {
        now >= self.next_shares
    }

    /// Records the open flows that this balancer owns, by target, and the changed
    /// counts; returns the counts to send to the other balancers.
    pub fn update_shares(
        &mut self,
        now: Duration,
        open: &[(TargetId, u32)],
        changed: Vec<Share>,
    ) -> Vec<Share> {
        self.next_shares = now + SHARES_INTERVAL;
        let all: Vec<Share> = open
            .iter()
            .map(|&(target, open_flows)| Share {
                target,
                open_flows,
                new_flows: 0,
            })
            .collect();
        for share in &all {
            self.load.record_count(now, self.node, *share);
        }
        if now < self.next_refresh {
            return changed;
        }
        self.next_refresh = now + SHARES_REFRESH;
        // Changed counts come last and take precedence, as they include new flows.
        let unchanged =
            |s: &Share| s.open_flows > 0 && !changed.iter().any(|c| c.target == s.target);
        let mut outgoing: Vec<Share> = all.into_iter().filter(unchanged).collect();
        outgoing.extend(changed);
        outgoing
    }

    /// Returns the weight factors of the targets, as input to the planner.
    pub fn factors(&mut self, now: Duration, table: &Table) -> Factors {
        self.load.factors(now, table, &self.health)
    }

    /// Returns the targets that are down.
    pub fn down(&self) -> Vec<TargetId> {
        self.health.down().collect()
    }

    /// Queues the due probes and evaluates the evidence.
    pub fn tick(&mut self, now: Duration, table: &Table) -> TargetUpdates {
        self.send_due_probes(now, table);
        let mut updates = TargetUpdates::default();
        for event in self.health.tick(now) {
            self.report(now, event, &mut updates);
        }
        updates.message.observations = self.health.outgoing_observations(now);
        for observation in &updates.message.observations {
            self.load.record_report(now, *observation);
        }
        updates
    }

    fn send_due_probes(&mut self, now: Duration, table: &Table) {
        let Some(prober) = &self.prober else { return };
        if self.settings.probe == Probe::None {
            return;
        }
        for round in self.health.due_probes(now) {
            let Some(target) = table.target(round.target) else {
                continue;
            };
            let mut address = target.row.target_address;
            if self.settings.port != 0 {
                address.set_port(self.settings.port);
            }
            // The queue is closed only when the balancer stops.
            let _ = prober.send(ProbeJob {
                key: round,
                address,
                reference: None,
            });
        }
    }

    fn report(&self, now: Duration, event: HealthEvent, updates: &mut TargetUpdates) {
        match event {
            HealthEvent::Down {
                target,
                unhealthy,
                voters,
            } => {
                self.log.emit(Event::TargetDown {
                    target: target.0,
                    unhealthy,
                    voters,
                });
                let agreed_at = now;
                let down = CoreEvent::TargetDown { target, agreed_at };
                updates.events.push(down);
            }
            HealthEvent::Up { target } => {
                self.log.emit(Event::TargetUp { target: target.0 });
                updates.events.push(CoreEvent::TargetUp { target });
            }
            HealthEvent::Distrusted { service } => {
                self.log
                    .emit(Event::ProbesDistrusted { service: service.0 });
            }
            HealthEvent::Trusted { service } => {
                self.log.emit(Event::ProbesTrusted { service: service.0 });
            }
        }
    }
}
