//! Reports of suspect targets from other balancers.
//!
//! With many balancers, each has few flows to a target. A target that stops answering
//! is then found by each of them separately, at the cost of a flow each. Balancers of
//! a failure domain therefore report what they find to each other. A target is avoided
//! once two balancers suspect it, this one included: a single one may itself be cut
//! off. One that failed its probes at a single balancer is probed by those that have
//! flows to it, so that idle flows to a dead target are reset before they are used.

use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashMap;
use rand::RngExt;

use crate::liveness::silence::probe_request;
use crate::{Balancer, TargetId, TargetKey};

/// Time for which a report counts.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Number of balancers, including this one, that must suspect a target.
const MIN_SOURCES: usize = 2;
/// Minimum time for which a target is avoided. A random part of the same length is
/// added, so that the balancers try it again one after the other.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Time after it was avoided in which one report is enough to avoid the target again.
const RENEWAL_TIME: Duration = Duration::from_secs(3);
/// Number of times in a row that one report is enough: a balancer that is cut off
/// can't take a target away for good.
const MAX_RENEWALS: u32 = 4;
/// Fraction of a service's targets up to which reports make targets avoided. If more
/// are reported, the service is overloaded rather than its targets broken.
const MAX_AVOIDED_FRACTION: f64 = 0.3;
/// Maximum number of balancers remembered per target.
const MAX_SOURCES: usize = 8;

/// What a balancer finds wrong with targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SuspectReport {
    /// Targets that it suspects.
    pub targets: Vec<TargetId>,
    /// Those of `targets` that failed its probes. Missing in reports of older builds.
    #[serde(default)]
    pub silent: Vec<TargetId>,
}

impl SuspectReport {
    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Adds a target that failed its probes.
    pub fn add_silent(&mut self, target: TargetId) {
        self.targets.push(target);
        self.silent.push(target);
    }

    /// Adds another report.
    pub fn extend(&mut self, other: SuspectReport) {
        self.targets.extend(other.targets);
        self.silent.extend(other.silent);
    }

    /// Sorts the targets and keeps at most `max` of each kind, each one once. Those that
    /// failed their probes go first.
    pub fn normalize(&mut self, max: usize) {
        self.silent.sort_unstable();
        self.silent.dedup();
        self.silent.truncate(max);
        let silent = &self.silent;
        self.targets
            .sort_unstable_by_key(|id| (!silent.contains(id), *id));
        self.targets.dedup();
        self.targets.truncate(max);
    }
}

/// A balancer that suspects a target.
#[derive(Clone, Copy, Debug)]
struct Source {
    /// Its address; `None` is this balancer.
    from: Option<SocketAddr>,
    /// When it last reported the target.
    at: Duration,
}

/// Recent reports of one target.
#[derive(Debug, Default)]
struct Reported {
    /// At most [`MAX_SOURCES`].
    sources: Vec<Source>,
    /// End of the last time for which it was avoided because of reports.
    avoided_until: Option<Duration>,
    /// Number of times in a row that it was avoided again because of one report.
    renewals: u32,
}

impl Reported {
    /// Whether it is avoided because of reports, or was a short time ago.
    fn was_avoided_lately(&self, now: Duration) -> bool {
        self.avoided_until.is_some_and(|at| now < at + RENEWAL_TIME)
    }

    /// Whether enough balancers suspect the target.
    fn is_confirmed(&self, now: Duration) -> bool {
        let renewed = self.was_avoided_lately(now) && self.renewals < MAX_RENEWALS;
        let sources = self.sources.iter().filter(|s| now < s.at + REPORT_TTL);
        renewed || sources.count() >= MIN_SOURCES
    }

    /// Records that the target is avoided until `until`.
    fn record_avoided(&mut self, now: Duration, until: Duration) {
        self.renewals = match self.was_avoided_lately(now) {
            true => self.renewals + 1,
            false => 0,
        };
        self.avoided_until = Some(until);
        self.sources.clear();
    }
}

/// Recent reports by target.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    by_target: HashMap<TargetId, Reported>,
}

impl Reports {
    /// Records that a balancer suspects a target; `from` is `None` for this one.
    pub fn record(&mut self, now: Duration, from: Option<SocketAddr>, target: TargetId) {
        let sources = &mut self.by_target.entry(target).or_default().sources;
        sources.retain(|s| s.from != from && now < s.at + REPORT_TTL);
        if sources.len() < MAX_SOURCES {
            sources.push(Source { from, at: now });
        }
    }

    /// Removes old reports.
    pub fn sweep(&mut self, now: Duration) {
        self.by_target.retain(|_, reported| {
            reported.sources.retain(|s| now < s.at + REPORT_TTL);
            !reported.sources.is_empty() || reported.was_avoided_lately(now)
        });
    }
}

impl Balancer {
    /// Applies a report of another balancer that targets are suspect there. Returns
    /// the targets that are now avoided because of it.
    pub fn record_report(
        &mut self,
        now: Duration,
        from: SocketAddr,
        report: &SuspectReport,
    ) -> Vec<TargetId> {
        let mut avoided = Vec::new();
        for id in &report.targets {
            let Some(key) = self.directory.key_of(*id) else {
                continue;
            };
            self.reports.record(now, Some(from), *id);
            if report.silent.contains(id) {
                self.probe_reported(now, key);
            }
            if self.avoid_if_confirmed(now, key) {
                avoided.push(*id);
            }
        }
        avoided
    }

    /// Requests a probe of a target that failed those of another balancer and has flows
    /// here. If it answers, nothing has changed.
    fn probe_reported(&mut self, now: Duration, key: TargetKey) {
        let Some(target) = self.directory.get_mut(key) else {
            return;
        };
        let cfg = &self.cfg.health;
        let in_use = target.load.flows > 0 && !target.is_gone();
        if in_use && target.health.request_probe(now, cfg) {
            self.pending.probes.push(probe_request(target, now));
        }
    }

    /// Records that a target seems to hang on a request, and reports it.
    pub(crate) fn report_hanging(&mut self, now: Duration, key: TargetKey) {
        let Some(target) = self.directory.get(key) else {
            return;
        };
        let id = target.entry.id;
        self.reports.record(now, None, id);
        self.pending.report.targets.push(id);
        self.avoid_if_confirmed(now, key);
    }

    fn avoid_if_confirmed(&mut self, now: Duration, key: TargetKey) -> bool {
        let Some(target) = self.directory.get(key) else {
            return false;
        };
        let id = target.entry.id;
        let reported = self.reports.by_target.get(&id);
        let confirmed = reported.is_some_and(|reported| reported.is_confirmed(now));
        if !confirmed || target.health.is_suspect(now) || self.avoids_too_many(now, key) {
            return false;
        }
        let until = now + AVOID_TIME + AVOID_TIME.mul_f64(self.rng.random());
        if let Some(target) = self.directory.get_mut(key) {
            target.health.avoid_until(until);
        }
        if let Some(reported) = self.reports.by_target.get_mut(&id) {
            reported.record_avoided(now, until);
        }
        true
    }

    /// Whether so many targets of the service are avoided that reports add no more.
    fn avoids_too_many(&self, now: Duration, key: TargetKey) -> bool {
        let Some(target) = self.directory.get(key) else {
            return true;
        };
        let keys = self.directory.for_service(&target.entry.service);
        let avoided = keys.iter().filter_map(|key| self.directory.get(*key));
        let avoided = avoided.filter(|t| t.health.is_suspect(now)).count();
        (avoided + 1) as f64 > keys.len() as f64 * MAX_AVOIDED_FRACTION
    }
}
