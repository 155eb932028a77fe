//! Turning new flows away while the targets of a service can't keep up.
//!
//! Load pattern: many callers come at once and bring more requests than all
//! targets of a service work on. Queues fill, every answer comes late, and
//! callers that try again add to the load. Part of the new flows is then refused
//! at once, before anything was sent on them, so that the requests on the others
//! are answered in time. Less urgent routes are refused first.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;

use crate::Route;

/// Settings of the refusals.
#[derive(Clone, Copy, Debug)]
pub struct OverloadConfig {
    /// Part of a route's latency goal that an answer may take; the rest is for
    /// the way between caller and balancer.
    pub goal_fraction: f64,
    /// Part of the answers that may be slow without a new flow being refused.
    pub tolerated_slow: f64,
    /// Change of the refused share in one interval if all answers are slow.
    pub gain: f64,
    /// Greatest share of new flows that is refused; 0 refuses none.
    pub max_refused_share: f64,
    /// Shortest time between two changes of the refused share.
    pub interval: Duration,
    /// Fewest answers that a change is based on.
    pub min_responses: u32,
}

impl Default for OverloadConfig {
    fn default() -> Self {
        Self {
            goal_fraction: 0.75,
            tolerated_slow: 0.2,
            gain: 0.8,
            max_refused_share: 0.95,
            interval: Duration::from_millis(100),
            min_responses: 8,
        }
    }
}

/// Time over which the shortest answer of a route is remembered; up to twice as long.
const BASELINE_WINDOW: Duration = Duration::from_secs(10);
/// An answer that takes so many times the route's shortest one has waited in a queue.
const QUEUED_FACTOR: u32 = 2;
/// Time without enough answers after which nothing is known of the load.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// Factor of the refused share in an interval without slow answers.
const RECOVERY_FACTOR: f64 = 0.7;
/// Part of the refused share that holds for the most urgent flows.
const URGENT_FACTOR: f64 = 0.25;
/// Part of the answers from which a priority counts as in use.
const MIN_PRIORITY_FRACTION: f64 = 0.05;
/// What an interval leaves of the counts of answers by priority.
const COUNT_DECAY: f64 = 0.98;
/// Count of answers that is as good as none.
const MIN_COUNT: f64 = 0.01;
/// Refused share from which it is told.
const REPORT_THRESHOLD: f64 = 0.1;
/// Refused share below which nothing is refused.
const MIN_REFUSED_SHARE: f64 = 0.02;

/// New flows of a service are refused, or no longer; told in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadChange {
    /// The service.
    pub service: Arc<str>,
    /// Part of its less urgent new flows that is refused, in percent.
    pub refused_percent: u32,
}

/// The time that an answer took, and what it is measured by.
#[derive(Clone, Copy, Debug)]
pub struct ResponseSample {
    /// Latency goal of its route.
    pub goal: Duration,
    /// Priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// Time from the request to the caller's next packet.
    pub latency: Duration,
}

impl ResponseSample {
    /// An answer that came now to a request on a route; `None` if it has no goal.
    pub fn new(route: &Route, now: Duration, sent: Duration) -> Option<ResponseSample> {
        Some(ResponseSample {
            goal: route.latency_goal?,
            priority: route.priority,
            latency: now.saturating_sub(sent),
        })
    }
}

/// Shortest answers of one latency goal, over two windows.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    since: Duration,
    previous: Duration,
    current: Duration,
}

/// What the answers of one service tell of its load.
#[derive(Debug, Default)]
struct ServiceLoad {
    /// By latency goal: requests with other goals are other work.
    baselines: HashMap<Duration, Baseline>,
    /// Answers by the priority of their route, recent ones counting most.
    priority_counts: BTreeMap<u32, f64>,
    /// Start of the interval.
    since: Duration,
    responses: u32,
    slow: u32,
    /// Share of new flows that is refused; from 0 to `max_refused_share`.
    refused_share: f64,
    /// Whether it was told that flows are refused.
    reported: bool,
}

/// The load of all services as their answers tell.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    services: HashMap<Arc<str>, ServiceLoad>,
}

impl Overload {
    /// Takes in an answer to a request that was sent once.
    pub fn record(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        service: &Arc<str>,
        sample: ResponseSample,
    ) {
        let load = self.services.entry(Arc::clone(service)).or_default();
        load.record(cfg, now, sample);
    }

    /// Whether a new flow is let in; `sample` is random, from 0 to 1.
    pub fn admits(&self, now: Duration, service: &str, priority: u32, sample: f64) -> bool {
        let Some(load) = self.services.get(service) else {
            return true;
        };
        let refused = load.refused_share_at(now);
        let refused = match load.is_urgent(priority) {
            true => refused * URGENT_FACTOR,
            false => refused,
        };
        refused < MIN_REFUSED_SHARE || sample >= refused
    }

    /// Share of the new flows of a service that is refused.
    pub fn refused_share(&self, now: Duration, service: &str) -> f64 {
        let load = self.services.get(service);
        load.map_or(0.0, |p| p.refused_share_at(now))
    }

    /// What is to be told of services whose new flows are refused, or no longer.
    pub fn take_changes(&mut self, now: Duration) -> Vec<OverloadChange> {
        let mut changes = Vec::new();
        for (service, load) in &mut self.services {
            let refused = load.refused_share_at(now);
            let overloaded = match load.reported {
                true => refused >= MIN_REFUSED_SHARE,
                false => refused >= REPORT_THRESHOLD,
            };
            if std::mem::replace(&mut load.reported, overloaded) != overloaded {
                changes.push(OverloadChange {
                    service: Arc::clone(service),
                    refused_percent: (refused * 100.0).round() as u32,
                });
            }
        }
        changes
    }

    /// Forgets answers that a pause of this process may have held up.
    pub fn reset(&mut self) {
        for load in self.services.values_mut() {
            *load = ServiceLoad {
                reported: load.reported,
                ..ServiceLoad::default()
            };
        }
    }
}

impl ServiceLoad {
    fn record(&mut self, cfg: &OverloadConfig, now: Duration, sample: ResponseSample) {
        if now >= self.since + STALE_AFTER {
            self.start_interval(now);
            self.refused_share = 0.0;
        }
        *self.priority_counts.entry(sample.priority).or_default() += 1.0;
        let baseline = self.baseline(now, sample);
        let goal = sample.goal.mul_f64(cfg.goal_fraction);
        self.responses += 1;
        self.slow += u32::from(sample.latency > goal.max(baseline * QUEUED_FACTOR));
        if now < self.since + cfg.interval || self.responses < cfg.min_responses {
            return;
        }
        let slow = f64::from(self.slow) / f64::from(self.responses);
        let refused = match self.slow {
            0 => self.refused_share * RECOVERY_FACTOR,
            _ => self.refused_share + cfg.gain * (slow - cfg.tolerated_slow),
        };
        self.refused_share = refused.clamp(0.0, cfg.max_refused_share);
        self.priority_counts
            .values_mut()
            .for_each(|count| *count *= COUNT_DECAY);
        self.priority_counts.retain(|_, count| *count > MIN_COUNT);
        self.start_interval(now);
    }

    /// The shortest answer lately, this one included.
    fn baseline(&mut self, now: Duration, sample: ResponseSample) -> Duration {
        let fresh = Baseline {
            since: now,
            previous: sample.latency,
            current: sample.latency,
        };
        let baseline = self.baselines.entry(sample.goal).or_insert(fresh);
        if now >= baseline.since + BASELINE_WINDOW {
            baseline.previous = baseline.current;
            baseline.current = sample.latency;
            baseline.since = now;
        }
        baseline.current = baseline.current.min(sample.latency);
        baseline.current.min(baseline.previous)
    }

    /// Whether hardly any answer is of a more urgent route, and others are of less
    /// urgent ones.
    fn is_urgent(&self, priority: u32) -> bool {
        let all: f64 = self.priority_counts.values().sum();
        let more_urgent: f64 = self
            .priority_counts
            .range(..priority)
            .map(|(_, count)| count)
            .sum();
        let same_priority = self
            .priority_counts
            .get(&priority)
            .copied()
            .unwrap_or_default();
        let less_urgent = all - more_urgent - same_priority;
        more_urgent < all * MIN_PRIORITY_FRACTION && less_urgent >= all * MIN_PRIORITY_FRACTION
    }

    fn start_interval(&mut self, now: Duration) {
        self.since = now;
        self.responses = 0;
        self.slow = 0;
    }

    fn refused_share_at(&self, now: Duration) -> f64 {
        if now >= self.since + STALE_AFTER {
            return 0.0;
        }
        self.refused_share
    }
}
