//! Health and load of the targets on the control thread.

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

use crate::probe::{Order, Orders};

/// Takes the probes that are due.
pub(crate) type ProbeOrders = Orders<ProbeRound>;

/// Time between two counts of open flows.
const SHARES_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which counts that did not change are told again, before the others forget them.
const SHARES_REFRESH: Duration = Duration::from_secs(30);

/// What was found out and has to be passed on.
#[derive(Default)]
pub(crate) struct Findings {
    /// For the core.
    pub events: Vec<CoreEvent>,
    /// For all other balancers.
    pub message: TargetMessage,
}

/// Health and load of the targets.
pub(crate) struct Targets {
    node: NodeId,
    log: Log,
    health: Health,
    load: Load,
    /// `None` if targets are not probed.
    prober: Option<ProbeOrders>,
    settings: ProbeSettings,
    next_shares: Duration,
    /// When the other balancers are told all counts again.
    next_refresh: Duration,
}

impl Targets {
    pub fn new(
        node: NodeId,
        settings: &ProbeSettings,
        prober: Option<ProbeOrders>,
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

    /// Takes the balancers over that are live.
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

    /// Takes a table over.
    pub fn set_table(&mut self, now: Duration, table: &Table) {
        self.health.set_table(now, table);
    }

    /// Takes in what another balancer says.
    pub fn take_message(&mut self, now: Duration, from: NodeId, message: &TargetMessage) {
        for observation in &message.observations {
            self.health.record_observation(now, from, *observation);
            self.load.record_report(now, *observation);
        }
        for share in &message.shares {
            self.load.record_count(now, from, *share);
        }
    }

    /// Takes in how a probe ended.
    pub fn probed(&mut self, now: Duration, round: ProbeRound, outcome: ProbeOutcome) {
        self.health.record_probe(now, round, outcome);
    }

    /// Takes in what new flows showed of targets since the last call.
    pub fn take_evidence(&mut self, now: Duration, evidence: &[FlowEvidence]) {
        for e in evidence {
            self.health
                .record_flows(now, e.target, e.answered, e.retransmitted);
        }
    }

    /// Whether the counts of open flows are wanted now.
    pub fn wants_shares(&self, now: Duration) -> bool {
        now >= self.next_shares
    }

    /// Takes in how many open flows of each target this balancer owns, and the
    /// counts that changed; returns those to tell the others now.
    pub fn take_counts(
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
        // What changed comes last and counts, with its number of new flows.
        let unchanged =
            |s: &Share| s.open_flows > 0 && !changed.iter().any(|c| c.target == s.target);
        let mut news: Vec<Share> = all.into_iter().filter(unchanged).collect();
        news.extend(changed);
        news
    }

    /// What the targets are worth to the planner now.
    pub fn factors(&mut self, now: Duration, table: &Table) -> Factors {
        self.load.factors(now, table, &self.health)
    }

    /// The targets that are down.
    pub fn down(&self) -> Vec<TargetId> {
        self.health.down().collect()
    }

    /// Orders the probes that are due and judges the evidence.
    pub fn tick(&mut self, now: Duration, table: &Table) -> Findings {
        self.order_probes(now, table);
        let mut findings = Findings::default();
        for event in self.health.tick(now) {
            self.tell(now, event, &mut findings);
        }
        findings.message.observations = self.health.outgoing_observations(now);
        for observation in &findings.message.observations {
            self.load.record_report(now, *observation);
        }
        findings
    }

    fn order_probes(&mut self, now: Duration, table: &Table) {
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
            // A closed queue means that the balancer ends.
            let _ = prober.send(Order {
                key: round,
                address,
            });
        }
    }

    fn tell(&self, now: Duration, event: HealthEvent, findings: &mut Findings) {
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
                findings.events.push(down);
            }
            HealthEvent::Up { target } => {
                self.log.emit(Event::TargetUp { target: target.0 });
                findings.events.push(CoreEvent::TargetUp { target });
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
