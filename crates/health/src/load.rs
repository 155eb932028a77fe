//! Weight factors of targets, from load reports and flow counts.
//!
//! The table defines the shares of flows. A target with far fewer open flows than
//! its fair share gets more new ones to catch up. The report of a target can only
//! reduce its own weight, down to a bound, and only relative to the reports of the
//! others: a target that claims to be idle gains nothing, and one that claims to be
//! full sheds a bounded part.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use sequoiatrail_plan::{Factor, Factors};
use sequoiatrail_table::Table;
use sequoiatrail_types::{NodeId, ServiceId, TableVersion, TargetId};
use sequoiatrail_wire::message::{Observation, Share};

use crate::ramp::Ramp;
use crate::target_load::{FlowCount, LoadReport, TargetLoad};
use crate::{Health, LoadSettings};

/// Minimum confidence of a report that enters the median.
const MIN_CONFIDENCE: f64 = 0.1;

/// A target that takes new flows according to the table.
#[derive(Clone, Copy, Debug)]
struct EligibleTarget {
    target: TargetId,
    weight: f64,
    /// Maximum number of open flows; infinite without a limit.
    limit: f64,
}

/// State of an eligible target that is up, at one point in time.
#[derive(Clone, Copy, Debug)]
struct TargetSnapshot {
    target: TargetId,
    weight: f64,
    limit: f64,
    /// Reported load in thousandths, and the confidence in the report.
    report: Option<(f64, f64)>,
    open_flows: f64,
    ramp: f64,
    /// Factor derived from its report.
    report_factor: f64,
    /// Whether it was full at the previous update.
    full: bool,
}

/// Totals over the targets of a service.
#[derive(Clone, Copy, Debug)]
struct Totals {
    /// Sum of the weights, scaled by the report factors.
    weight: f64,
    open: f64,
    /// Whether there are enough open flows to compare targets by them.
    comparable: bool,
    /// Whether the service is below `saturation_threshold`.
    spare_capacity: bool,
}

/// Load of all targets as seen by one balancer.
#[derive(Debug)]
pub struct Load {
    settings: LoadSettings,
    states: HashMap<TargetId, TargetLoad>,
    services: Vec<Vec<EligibleTarget>>,
    /// Version of the table that `services` was built from.
    table: Option<TableVersion>,
    down: BTreeSet<TargetId>,
    /// Result of the last update.
    factors: Factors,
    /// Time of the next update.
    next_update: Duration,
}

impl Load {
    /// Creates the load state without any targets.
    pub fn new(settings: LoadSettings) -> Load {
        Load {
            settings,
            states: HashMap::new(),
            services: Vec::new(),
            table: None,
            down: BTreeSet::new(),
            factors: Factors::default(),
            next_update: Duration::ZERO,
        }
    }

    /// Records the load report in an observation of this balancer or a peer. A load
    /// of 0 means no report; targets missing from the table are ignored.
    pub fn record_report(&mut self, now: Duration, observation: Observation) {
        if observation.load == 0 {
            return;
        }
        let Some(state) = self.states.get_mut(&observation.target) else {
            return;
        };
        let load = f64::from(observation.load);
        let last = state.last_report.map_or(load, |r| r.load);
        let load = last + self.settings.report_gain * (load - last);
        state.last_report = Some(LoadReport { load, at: now });
    }

    /// Records the flow count of this balancer or a peer, replacing its previous
    /// one. Targets missing from the table are ignored.
    pub fn record_count(&mut self, now: Duration, from: NodeId, share: Share) {
        if let Some(state) = self.states.get_mut(&share.target) {
            let open_flows = share.open_flows;
            state.set_count(
                from,
                FlowCount {
                    open_flows,
                    at: now,
                },
            );
        }
    }

    /// Returns the current factors of the targets. Call it with the same table as
    /// the planner, and whenever the planner is called. Between two intervals they
    /// are recalculated only if the table or the health of a target has changed.
    pub fn factors(&mut self, now: Duration, table: &Table, health: &Health) -> Factors {
        let down: BTreeSet<TargetId> = health.down().collect();
        let changed = self.table != Some(table.version) || self.down != down;
        if !changed && now < self.next_update {
            return self.factors.clone();
        }
        self.down = down;
        self.next_update = now + self.settings.interval;
        if changed {
            self.set_table(now, table);
        }
        self.factors = Factors::default();
        for state in self.states.values_mut() {
            state.expire_counts(now, self.settings.count_ttl);
        }
        for service in 0..self.services.len() {
            self.update_factors(now, service);
        }
        self.factors.clone()
    }

    /// Applies the table and the set of targets that are down.
    fn set_table(&mut self, now: Duration, table: &Table) {
        let first = self.states.is_empty();
        let mut services: BTreeMap<ServiceId, Vec<EligibleTarget>> = BTreeMap::new();
        let mut old = std::mem::take(&mut self.states);
        for target in &table.targets {
            let fresh = || TargetLoad::new(if first { Ramp::Warm } else { Ramp::Off });
            let mut state = old.remove(&target.id).unwrap_or_else(fresh);
            let takes = target.row.takes_new_flows();
            state.ramp = state
                .ramp
                .next(now, takes && !self.down.contains(&target.id));
            self.states.insert(target.id, state);
            if takes {
                services
                    .entry(target.service)
                    .or_default()
                    .push(EligibleTarget {
                        target: target.id,
                        weight: f64::from(target.row.weight),
                        limit: match target.row.max_connections {
                            0 => f64::INFINITY,
                            limit => f64::from(limit),
                        },
                    });
            }
        }
        self.services = services.into_values().collect();
        self.table = Some(table.version);
    }

    /// Recalculates the factors of the targets of one service.
    fn update_factors(&mut self, now: Duration, service: usize) {
        let (down, up): (Vec<EligibleTarget>, Vec<EligibleTarget>) = self.services[service]
            .iter()
            .partition(|t| self.down.contains(&t.target));
        let mut up: Vec<TargetSnapshot> = up.into_iter().map(|t| self.snapshot(now, t)).collect();
        let median = self.median_report(&up);
        for snapshot in &mut up {
            snapshot.report_factor = self.report_factor(snapshot, median);
        }
        let totals = self.totals(&up);
        for snapshot in &up {
            let ratio = match self.is_full(snapshot, totals.spare_capacity) {
                true => self.settings.full_factor,
                false => self.ratio(snapshot, &totals),
            };
            self.factors.set(snapshot.target, Factor::from_ratio(ratio));
        }
        for eligible in down {
            self.factors.set(eligible.target, Factor::DOWN);
        }
    }

    fn totals(&self, up: &[TargetSnapshot]) -> Totals {
        let open: f64 = up.iter().map(|s| s.open_flows).sum();
        let limits: f64 = up.iter().map(|s| s.limit).sum();
        Totals {
            weight: up.iter().map(|s| s.weight * s.report_factor).sum(),
            open,
            comparable: open >= self.settings.min_flows * up.len() as f64,
            spare_capacity: open <= limits * self.settings.saturation_threshold,
        }
    }

    /// Factor of a target that is up and not full.
    fn ratio(&self, snapshot: &TargetSnapshot, totals: &Totals) -> f64 {
        let fair_share = totals.open * snapshot.weight * snapshot.report_factor / totals.weight;
        let catch_up = match totals.comparable {
            true => self.catch_up(snapshot, fair_share),
            false => 1.0,
        };
        snapshot.report_factor * catch_up * snapshot.ramp
    }

    fn snapshot(&self, now: Duration, eligible: EligibleTarget) -> TargetSnapshot {
        let state = &self.states[&eligible.target];
        let half_life = self.settings.report_half_life;
        TargetSnapshot {
            target: eligible.target,
            weight: eligible.weight,
            limit: eligible.limit,
            report: state
                .last_report
                .map(|r| (r.load, r.confidence(now, half_life))),
            open_flows: state.open_flows(),
            ramp: state.ramp.ratio(now, &self.settings),
            report_factor: 1.0,
            full: state.full,
        }
    }

    /// Whether a target has reached its connection limit while the service has
    /// spare capacity. A full target stays full until it falls below
    /// `full_clear_threshold`.
    fn is_full(&mut self, snapshot: &TargetSnapshot, spare_capacity: bool) -> bool {
        let from = match snapshot.full {
            true => self.settings.full_clear_threshold,
            false => self.settings.full_threshold,
        };
        let full = spare_capacity && snapshot.open_flows >= snapshot.limit * from;
        if full != snapshot.full
            && let Some(state) = self.states.get_mut(&snapshot.target)
        {
            state.full = full;
        }
        full
    }

    /// Factor above 1 for a target far below its fair share of open flows, else 1.
    /// No correction near or above the fair share: short flows follow the plan by
    /// themselves, and correcting them would oscillate.
    fn catch_up(&self, snapshot: &TargetSnapshot, fair_share: f64) -> f64 {
        let open = snapshot.open_flows.max(1.0);
        let fair_share = fair_share.min(snapshot.limit * self.settings.full_clear_threshold);
        if open >= fair_share * self.settings.catch_up_threshold {
            return 1.0;
        }
        (fair_share / open).min(self.settings.max_catch_up)
    }

    /// Factor below 1 for a target that reports more load than the others; never
    /// above `max_report_factor`.
    fn report_factor(&self, snapshot: &TargetSnapshot, median: Option<f64>) -> f64 {
        let settings = &self.settings;
        let (Some((load, confidence)), Some(median)) = (snapshot.report, median) else {
            return 1.0;
        };
        // The weight of a report declines with its age.
        let load = median + (load - median) * confidence;
        let ratio = (median / load.max(1.0)).powf(settings.report_exponent);
        ratio.clamp(settings.min_report_factor, settings.max_report_factor)
    }

    /// Median of the reports, which no single target can shift far.
    fn median_report(&self, snapshots: &[TargetSnapshot]) -> Option<f64> {
        let reports = snapshots.iter().filter_map(|s| s.report);
        let trusted = reports.filter(|(_, confidence)| *confidence > MIN_CONFIDENCE);
        let mut loads: Vec<f64> = trusted.map(|(load, _)| load).collect();
        if loads.len() < self.settings.min_reports {
            return None;
        }
        loads.sort_by(f64::total_cmp);
        Some(loads[loads.len() / 2].max(1.0))
    }
}
