//! Load of one service and the limit that follows from it.

use std::sync::Arc;
use std::time::Duration;

use super::latency::{Baselines, ResponseSample};
use super::priorities::Priorities;
use crate::{OverloadChange, OverloadConfig};

/// Time without enough responses after which the load is unknown and no flow is
/// refused.
const STALE_AFTER: Duration = Duration::from_secs(2);
/// Requests by which the limit rises after an interval that was not slow.
const INCREASE: f64 = 0.5;
/// Smallest factor applied to the limit after a slow interval.
const MAX_DECREASE: f64 = 0.7;
/// The limit is lifted once it exceeds this multiple of the requests in flight.
const LIMIT_HEADROOM: f64 = 2.0;

/// Responses of the current interval.
#[derive(Clone, Debug, Default)]
struct Interval {
    start: Duration,
    /// Latencies in proportion to what their goals allow.
    latencies: Vec<f64>,
    /// Maximum number of requests in flight.
    peak_in_flight: u32,
}

/// Load of one service as inferred from its responses.
#[derive(Debug, Default)]
pub(super) struct InFlightLimit {
    baselines: Baselines,
    priorities: Priorities,
    interval: Interval,
    /// Consecutive intervals slow enough for a limit to begin.
    slow_intervals: u32,
    /// Responses per second in the last interval.
    responses_per_s: f64,
    /// Limit on the requests in flight while the service is overloaded.
    limit: Option<f64>,
    /// Requests in flight when the last flow was accepted or refused.
    in_flight: u32,
    /// New flows accepted since the last report.
    accepted: u32,
    /// New flows refused since the last report.
    refused: u32,
    /// Whether the overload was reported.
    reported: bool,
}

impl InFlightLimit {
    /// Whether to accept a new flow; see [`super::Overload::admits`].
    pub fn admits(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        priority: u32,
        in_flight: u32,
    ) -> bool {
        self.in_flight = in_flight;
        let peak = &mut self.interval.peak_in_flight;
        *peak = in_flight.max(*peak);
        let admitted = self.limit_at(now).is_none_or(|limit| {
            let limit = match self.priorities.is_urgent(priority) {
                true => f64::from(limit) * cfg.urgent_factor,
                false => f64::from(limit),
            };
            f64::from(in_flight) < limit
        });
        self.record_decision(in_flight, admitted)
    }

    /// Whether no priority of the service is more urgent, but others are less.
    pub fn is_urgent(&self, priority: u32) -> bool {
        self.priorities.is_urgent(priority)
    }

    /// Counts a decision that was made elsewhere; returns it.
    pub fn record_decision(&mut self, in_flight: u32, admitted: bool) -> bool {
        self.in_flight = in_flight;
        match admitted {
            true => self.accepted += 1,
            false => self.refused += 1,
        }
        admitted
    }

    /// Records a response.
    pub fn record(&mut self, cfg: &OverloadConfig, now: Duration, sample: ResponseSample) {
        if self.is_stale(now) {
            self.interval = Interval::starting(now);
            self.slow_intervals = 0;
            self.responses_per_s = 0.0;
            self.limit = None;
        }
        self.priorities.record(sample.priority);
        let latency = self.baselines.relative_latency(cfg, now, sample);
        self.interval.latencies.push(latency);
        let elapsed = now.saturating_sub(self.interval.start);
        if elapsed >= cfg.interval && self.interval.latencies.len() >= cfg.min_responses {
            self.finish_interval(cfg, now, elapsed);
        }
    }

    fn finish_interval(&mut self, cfg: &OverloadConfig, now: Duration, elapsed: Duration) {
        let mut interval = std::mem::replace(&mut self.interval, Interval::starting(now));
        self.responses_per_s = interval.latencies.len() as f64 / elapsed.as_secs_f64();
        self.priorities.decay();
        let in_use = f64::from(interval.peak_in_flight.max(cfg.min_limit));
        let latency = interval.median_latency();
        self.limit = if latency > 1.0 {
            self.slow_intervals = match latency > cfg.begin_factor {
                true => self.slow_intervals + 1,
                false => 0,
            };
            self.decreased_limit(cfg, in_use, latency)
        } else {
            self.slow_intervals = 0;
            self.increased_limit(in_use)
        };
    }

    /// The limit after a slow interval: lower in proportion to the excess latency, so
    /// that balancers with a high limit give up more than those with a low one.
    fn decreased_limit(&self, cfg: &OverloadConfig, in_use: f64, latency: f64) -> Option<f64> {
        let limit = match self.limit {
            Some(limit) => limit.min(in_use),
            None if self.slow_intervals >= cfg.slow_intervals => in_use,
            None => return None,
        };
        let decreased = limit * (1.0 / latency).max(MAX_DECREASE);
        Some(decreased.max(f64::from(cfg.min_limit)))
    }

    /// The limit after an interval that was not slow.
    fn increased_limit(&self, in_use: f64) -> Option<f64> {
        let increased = self.limit? + INCREASE;
        (increased < in_use * LIMIT_HEADROOM).then_some(increased)
    }

    /// See [`super::Overload::is_abnormal`].
    pub fn is_abnormal(&self, goal: Duration, age: Duration) -> bool {
        self.baselines.is_abnormal(goal, age)
    }

    /// Returns what happened since the last call if the service is overloaded or has
    /// just ceased to be. `decided` is whether new flows are refused, if that is
    /// decided otherwise than by the limit.
    pub fn take_change(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        decided: Option<bool>,
    ) -> Option<OverloadChange> {
        let limit = self.limit_at(now).filter(|_| decided.is_none());
        let refused = std::mem::take(&mut self.refused);
        let accepted = std::mem::take(&mut self.accepted);
        let limited = decided.unwrap_or(limit.is_some());
        let overloaded = limited && (refused > 0 || self.reported);
        let was_reported = std::mem::replace(&mut self.reported, overloaded);
        (was_reported || overloaded).then(|| OverloadChange {
            service: Arc::clone(service),
            limit,
            budget_per_s: None,
            slots_per_s: None,
            link_per_s: None,
            demand: Vec::new(),
            in_flight: self.in_flight,
            responses_per_s: self.responses_per_s.round() as u32,
            accepted,
            refused,
        })
    }

    fn is_stale(&self, now: Duration) -> bool {
        now >= self.interval.start + STALE_AFTER
    }

    /// Discards what is known of the load.
    pub fn reset(&mut self) {
        *self = InFlightLimit {
            reported: self.reported,
            ..InFlightLimit::default()
        };
    }

    /// Limit on the requests in flight; `None` if the service is not overloaded.
    pub fn limit_at(&self, now: Duration) -> Option<u32> {
        let limit = self.limit.filter(|_| !self.is_stale(now))?;
        Some(limit.round() as u32)
    }
}

impl Interval {
    fn starting(now: Duration) -> Interval {
        Interval {
            start: now,
            ..Interval::default()
        }
    }

    /// Median latency in proportion to what the goals allow. Unlike the mean, it stays
    /// the same while a few targets are slow, or some refuse requests immediately.
    fn median_latency(&mut self) -> f64 {
        let middle = self.latencies.len() / 2;
        let (_, median, _) = self
            .latencies
            .select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }
}
