//! Load shedding: refusal of new flows while a service is overloaded.
//!
//! When clients send more requests than all targets of a service can process,
//! queues fill, every response is late, and retries add to the load. A share of the
//! new flows is then refused immediately, before any data was sent on them, so that
//! the remaining requests are answered in time. Less urgent routes are refused
//! first.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;

use crate::Route;

/// Load shedding settings.
#[derive(Clone, Copy, Debug)]
pub struct OverloadConfig {
    /// Fraction of a route's latency goal within which responses must arrive; the
    /// rest covers the path between client and balancer.
    pub goal_fraction: f64,
    /// Fraction of responses that may be slow before new flows are refused.
    pub tolerated_slow: f64,
    /// Controller gain: an interval with slow responses changes the refused share by
    /// `gain * (slow fraction - tolerated_slow)`.
    pub gain: f64,
    /// Maximum share of new flows to refuse, from 0 to 1; 0 refuses none.
    pub max_refused_share: f64,
    /// Minimum time between two updates of the refused share.
    pub interval: Duration,
    /// Minimum number of responses per update.
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

/// Window of the minimum latency; with the previous window, the minimum covers up to
/// twice this time.
const BASELINE_WINDOW: Duration = Duration::from_secs(10);
/// Multiple of the minimum latency above which a request has waited in a queue.
const QUEUED_FACTOR: u32 = 2;
/// Time without enough responses after which the load is unknown and no flow is
/// refused.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// Factor applied to the refused share after an interval without slow responses.
const RECOVERY_FACTOR: f64 = 0.7;
/// Fraction of the refused share that applies to the most urgent flows.
const URGENT_FACTOR: f64 = 0.25;
/// Fraction of responses from which a priority counts as in use.
const MIN_PRIORITY_FRACTION: f64 = 0.05;
/// Decay factor applied to the response counts by priority after each interval.
const COUNT_DECAY: f64 = 0.98;
/// Decayed response count up to which a priority is removed.
const MIN_COUNT: f64 = 0.01;
/// Refused share from which an overload is reported.
const REPORT_THRESHOLD: f64 = 0.1;
/// Refused share below which no flow is refused.
const MIN_REFUSED_SHARE: f64 = 0.02;

/// Start or end of refusals for a service; logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadChange {
    /// The service.
    pub service: Arc<str>,
    /// Percentage of its less urgent new flows that is refused.
    pub refused_percent: u32,
}

/// Latency of one response, with the goal and priority of its route.
#[derive(Clone, Copy, Debug)]
pub struct ResponseSample {
    /// Latency goal of the route.
    pub goal: Duration,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Time from the request to the client's next packet.
    pub latency: Duration,
}

impl ResponseSample {
    /// Sample of a response arriving now; `None` if the route has no latency goal.
    pub fn new(route: &Route, now: Duration, sent: Duration) -> Option<ResponseSample> {
        Some(ResponseSample {
            goal: route.latency_goal?,
            priority: route.priority,
            latency: now.saturating_sub(sent),
        })
    }
}

/// Minimum latency for one latency goal, over two windows.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    window_start: Duration,
    previous: Duration,
    current: Duration,
}

/// Load of one service as inferred from its responses.
#[derive(Debug, Default)]
struct ServiceLoad {
    /// By latency goal, since requests with different goals do different work.
    baselines: HashMap<Duration, Baseline>,
    /// Exponentially decayed response counts by route priority.
    priority_counts: BTreeMap<u32, f64>,
    interval_start: Duration,
    responses: u32,
    slow: u32,
    /// Share of new flows to refuse, from 0 to `max_refused_share`.
    refused_share: f64,
    /// Whether the overload was reported.
    reported: bool,
}

/// Load of all services.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    services: HashMap<Arc<str>, ServiceLoad>,
}

impl Overload {
    /// Records a response to a request that was not retransmitted.
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

    /// Whether to accept a new flow; `random` is uniform in 0..1.
    pub fn admits(&self, now: Duration, service: &str, priority: u32, random: f64) -> bool {
        let Some(load) = self.services.get(service) else {
            return true;
        };
        let refused = load.refused_share_at(now);
        let refused = match load.is_urgent(priority) {
            true => refused * URGENT_FACTOR,
            false => refused,
        };
        refused < MIN_REFUSED_SHARE || random >= refused
    }

    /// Share of a service's new flows that is refused, from 0 to 1.
    pub fn refused_share(&self, now: Duration, service: &str) -> f64 {
        let load = self.services.get(service);
        load.map_or(0.0, |load| load.refused_share_at(now))
    }

    /// Returns the services that started or stopped refusing flows since the last call.
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

    /// Discards responses that a pause of this process may have delayed.
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
        if now >= self.interval_start + STALE_AFTER {
            self.start_interval(now);
            self.refused_share = 0.0;
        }
        *self.priority_counts.entry(sample.priority).or_default() += 1.0;
        let baseline = self.baseline(now, sample);
        let goal = sample.goal.mul_f64(cfg.goal_fraction);
        self.responses += 1;
        self.slow += u32::from(sample.latency > goal.max(baseline * QUEUED_FACTOR));
        if now < self.interval_start + cfg.interval || self.responses < cfg.min_responses {
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

    /// Minimum recent latency, including this sample.
    fn baseline(&mut self, now: Duration, sample: ResponseSample) -> Duration {
        let fresh = Baseline {
            window_start: now,
            previous: sample.latency,
            current: sample.latency,
        };
        let baseline = self.baselines.entry(sample.goal).or_insert(fresh);
        if now >= baseline.window_start + BASELINE_WINDOW {
            baseline.previous = baseline.current;
            baseline.current = sample.latency;
            baseline.window_start = now;
        }
        baseline.current = baseline.current.min(sample.latency);
        baseline.current.min(baseline.previous)
    }

    /// Whether no more urgent priority is in use, but less urgent ones are.
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
        self.interval_start = now;
        self.responses = 0;
        self.slow = 0;
    }

    fn refused_share_at(&self, now: Duration) -> f64 {
        if now >= self.interval_start + STALE_AFTER {
            return 0.0;
        }
        self.refused_share
    }
}
