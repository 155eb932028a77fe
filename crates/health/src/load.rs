//! What each target is worth at present, by reports and counts.
//!
//! The table says how flows are to be shared. A target far below its share of
//! the open flows catches up. A target's own report can only take weight away
//! from it, within a bound, and only in comparison with the reports of the
//! others: a target that claims to be idle gains nothing, and one that claims
//! to be full sheds a bounded part.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use sequoiatrail_plan::{Factor, Factors};
use sequoiatrail_table::Table;
use sequoiatrail_types::{NodeId, ServiceId, TableVersion, TargetId};
use sequoiatrail_wire::message::{Observation, Share};

use crate::known::{Counted, Known, Reported};
use crate::ramp::Ramp;
use crate::{Health, LoadSettings};

/// Least trust in a report that counts for the typical one.
const LEAST_TRUST: f64 = 0.1;

/// A target that takes new flows by the table.
#[derive(Clone, Copy, Debug)]
struct Taker {
    target: TargetId,
    weight: f64,
    /// Most open flows; infinite without a limit.
    limit: f64,
}

/// What is known of a target that takes new flows and is up, at one time.
#[derive(Clone, Copy, Debug)]
struct Present {
    target: TargetId,
    weight: f64,
    limit: f64,
    /// Load that it reported, with the trust in the report.
    report: Option<(f64, f64)>,
    open_flows: f64,
    ramp: f64,
    /// Factor by its report.
    by_report: f64,
    /// Whether it was full so far.
    full: bool,
}

/// What is known of the targets of a service together.
#[derive(Clone, Copy, Debug)]
struct Totals {
    /// Sum of the weights after reports.
    weight: f64,
    open: f64,
    /// Whether there are enough open flows to compare targets by them.
    enough: bool,
    /// Whether the service has room below its limits.
    room: bool,
}

/// The load of all targets as one balancer sees it.
#[derive(Debug)]
pub struct Load {
    settings: LoadSettings,
    known: HashMap<TargetId, Known>,
    services: Vec<Vec<Taker>>,
    /// Table that `services` was made from.
    table: Option<TableVersion>,
    down: BTreeSet<TargetId>,
    /// What was last worked out.
    factors: Factors,
    /// When it has to be worked out again.
    next: Duration,
}

impl Load {
    /// Load of which nothing is known yet.
    pub fn new(settings: LoadSettings) -> Load {
        Load {
            settings,
            known: HashMap::new(),
            services: Vec::new(),
            table: None,
            down: BTreeSet::new(),
            factors: Factors::default(),
            next: Duration::ZERO,
        }
    }

    /// Takes in the load that an observation tells, this balancer's own or a
    /// peer's. A load of 0 tells nothing; a target that is not in the table is ignored.
    pub fn record_report(&mut self, now: Duration, observation: Observation) {
        if observation.load == 0 {
            return;
        }
        let Some(known) = self.known.get_mut(&observation.target) else {
            return;
        };
        let load = f64::from(observation.load);
        let last = known.reported.map_or(load, |r| r.load);
        let load = last + self.settings.report_gain * (load - last);
        known.reported = Some(Reported { load, at: now });
    }

    /// Takes in what a balancer counts, this one or a peer; replaces its count
    /// before. A target that is not in the table is ignored.
    pub fn record_count(&mut self, now: Duration, from: NodeId, share: Share) {
        if let Some(known) = self.known.get_mut(&share.target) {
            let open_flows = share.open_flows;
            known.count(
                from,
                Counted {
                    open_flows,
                    at: now,
                },
            );
        }
    }

    /// What each target of the table is worth now. Call it whenever the
    /// planner is called, with the same table; between two times it is worked
    /// out anew only if the table or a target's health has changed.
    pub fn factors(&mut self, now: Duration, table: &Table, health: &Health) -> Factors {
        let down: BTreeSet<TargetId> = health.down().collect();
        let changed = self.table != Some(table.version) || self.down != down;
        if !changed && now < self.next {
            return self.factors.clone();
        }
        self.down = down;
        self.next = now + self.settings.interval;
        if changed {
            self.set_table(now, table);
        }
        self.factors = Factors::default();
        for known in self.known.values_mut() {
            known.forget(now, self.settings.count_ttl);
        }
        for service in 0..self.services.len() {
            self.weigh(now, service);
        }
        self.factors.clone()
    }

    /// Takes the table and the targets that are down over.
    fn set_table(&mut self, now: Duration, table: &Table) {
        let first = self.known.is_empty();
        let mut services: BTreeMap<ServiceId, Vec<Taker>> = BTreeMap::new();
        let mut old = std::mem::take(&mut self.known);
        for target in &table.targets {
            let fresh = || Known::new(if first { Ramp::Warm } else { Ramp::Off });
            let mut known = old.remove(&target.id).unwrap_or_else(fresh);
            let takes = target.row.takes_new_flows();
            known.ramp = known
                .ramp
                .next(now, takes && !self.down.contains(&target.id));
            self.known.insert(target.id, known);
            if takes {
                services.entry(target.service).or_default().push(Taker {
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

    /// Works out the factors of the targets of one service.
    fn weigh(&mut self, now: Duration, service: usize) {
        let (down, up): (Vec<Taker>, Vec<Taker>) = self.services[service]
            .iter()
            .partition(|t| self.down.contains(&t.target));
        let mut up: Vec<Present> = up.into_iter().map(|t| self.present(now, t)).collect();
        let typical = self.typical_report(&up);
        for present in &mut up {
            present.by_report = self.by_report(present, typical);
        }
        let totals = self.totals(&up);
        for present in &up {
            let ratio = match self.is_full(present, totals.room) {
                true => self.settings.full_factor,
                false => self.ratio(present, &totals),
            };
            self.factors.set(present.target, Factor::from_ratio(ratio));
        }
        for taker in down {
            self.factors.set(taker.target, Factor::DOWN);
        }
    }

    fn totals(&self, up: &[Present]) -> Totals {
        let open: f64 = up.iter().map(|p| p.open_flows).sum();
        let limits: f64 = up.iter().map(|p| p.limit).sum();
        Totals {
            weight: up.iter().map(|p| p.weight * p.by_report).sum(),
            open,
            enough: open >= self.settings.min_flows * up.len() as f64,
            room: open <= limits * self.settings.saturation_threshold,
        }
    }

    /// The factor of a target that is up and not full.
    fn ratio(&self, present: &Present, totals: &Totals) -> f64 {
        let fair = totals.open * present.weight * present.by_report / totals.weight;
        let catch_up = match totals.enough {
            true => self.catch_up(present, fair),
            false => 1.0,
        };
        present.by_report * catch_up * present.ramp
    }

    fn present(&self, now: Duration, taker: Taker) -> Present {
        let known = &self.known[&taker.target];
        let half_life = self.settings.report_half_life;
        Present {
            target: taker.target,
            weight: taker.weight,
            limit: taker.limit,
            report: known.reported.map(|r| (r.load, r.trust(now, half_life))),
            open_flows: known.open_flows(),
            ramp: known.ramp.ratio(now, &self.settings),
            by_report: 1.0,
            full: known.full,
        }
    }

    /// Whether a target is at the limit of its row while the service has room
    /// elsewhere. Once full it stays so until some of its flows have ended.
    fn is_full(&mut self, present: &Present, room: bool) -> bool {
        let from = match present.full {
            true => self.settings.full_clear_threshold,
            false => self.settings.full_threshold,
        };
        let full = room && present.open_flows >= present.limit * from;
        if full != present.full
            && let Some(known) = self.known.get_mut(&present.target)
        {
            known.full = full;
        }
        full
    }

    /// More for a target far below its fair number of open flows. Near it, and
    /// above it, nothing: flows that end soon follow the plan by themselves,
    /// and a correction of them would swing.
    fn catch_up(&self, present: &Present, fair: f64) -> f64 {
        let open = present.open_flows.max(1.0);
        let fair = fair.min(present.limit * self.settings.full_clear_threshold);
        if open >= fair * self.settings.catch_up_threshold {
            return 1.0;
        }
        (fair / open).min(self.settings.max_catch_up)
    }

    /// Less for a target that reports more load than the others; never more
    /// than `max_report_factor` allows.
    fn by_report(&self, present: &Present, typical: Option<f64>) -> f64 {
        let settings = &self.settings;
        let (Some((load, trust)), Some(typical)) = (present.report, typical) else {
            return 1.0;
        };
        // An old report counts less and less.
        let load = typical + (load - typical) * trust;
        let ratio = (typical / load.max(1.0)).powf(settings.report_exponent);
        ratio.clamp(settings.min_report_factor, settings.max_report_factor)
    }

    /// Median of the reports, which no single target can shift far.
    fn typical_report(&self, present: &[Present]) -> Option<f64> {
        let reports = present.iter().filter_map(|p| p.report);
        let trusted = reports.filter(|(_, trust)| *trust > LEAST_TRUST);
        let mut loads: Vec<f64> = trusted.map(|(load, _)| load).collect();
        if loads.len() < self.settings.min_reports {
            return None;
        }
        loads.sort_by(f64::total_cmp);
        Some(loads[loads.len() / 2].max(1.0))
    }
}
