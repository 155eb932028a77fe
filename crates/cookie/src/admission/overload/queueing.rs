//! What the responses of a service say about the queues at its targets.
//!
//! Load pattern: targets with short queues reject what does not fit at once. Their
//! rejections are quick responses, so the median latency falls while most requests
//! fail. Latencies are therefore related to the path, which handshakes show, and to the
//! service time, which unloaded responses show: a response without service time is a
//! rejection, and one of several service times has waited.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ResponseSample;

/// Number of samples whose median updates a baseline.
const BASELINE_BATCH: usize = 8;
/// Weight of a batch that is slower than the baseline; a faster one replaces it.
const SLOWER_WEIGHT: f64 = 0.1;
/// Minimum time between two updates by slower batches: longer than a burst takes to
/// fill queues before it shows.
const SLOWER_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which an overload is found after it began.
const OVERLOAD_FOUND_WITHIN: Duration = Duration::from_millis(500);
/// Fraction of the median service time below which a response is a rejection.
const REJECTED_BELOW: f64 = 0.25;
/// Weight of an interval in the usual fraction of quick responses.
const QUICK_WEIGHT: f64 = 0.1;
const MEDIAN: f64 = 0.5;
/// Fraction of the responses that may miss their goal whatever the median is.
const MAX_LATE: f64 = 0.05;
/// Part of the goal that they may take; the rest is for the handshake.
const MAX_OF_GOAL: f64 = 0.9;
/// Standard deviations by which a fraction must exceed the usual one to mean something.
const SIGNIFICANT_DEVIATIONS: f64 = 2.5;
/// Service times of a response above which a goal is not allowed to lower the limit:
/// itself, and a request in front of it.
const MIN_SERVICE_TIMES: f64 = 2.0;

/// Median of samples taken while there is no overload, in seconds.
#[derive(Clone, Debug, Default)]
struct Baseline {
    median: Option<f64>,
    /// The median before `updated_at`.
    previous: Option<f64>,
    batch: Vec<f64>,
    updated_at: Duration,
}

impl Baseline {
    fn record(&mut self, now: Duration, sample: f64) {
        self.batch.push(sample);
        if self.batch.len() < BASELINE_BATCH {
            return;
        }
        let latest = quantile(&mut self.batch, MEDIAN);
        self.batch.clear();
        let recent = now < self.updated_at + SLOWER_INTERVAL;
        let median = match self.median {
            Some(old) if latest > old && recent => return,
            Some(old) if latest > old => old + (latest - old) * SLOWER_WEIGHT,
            _ => latest,
        };
        self.previous = self.median.replace(median);
        self.updated_at = now;
    }

    /// Discards samples from just before an overload was found.
    fn discard_recent(&mut self, now: Duration) {
        self.batch.clear();
        if now < self.updated_at + OVERLOAD_FOUND_WITHIN {
            self.median = self.previous.or(self.median);
        }
    }
}

/// State of the targets' queues in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Queues {
    /// Fraction of the requests that targets rejected.
    pub rejected: f64,
    /// Latency in proportion to what is allowed: of the median, or of the slowest ones
    /// that should still meet their goal.
    pub delay: f64,
    /// Median latency, in seconds.
    pub delay_s: f64,
    /// Median latency without the path, in service times.
    pub service_times: f64,
}

/// Response times of one service.
#[derive(Debug, Default)]
pub(super) struct Queueing {
    path: Baseline,
    latencies: BTreeMap<u32, Baseline>,
    /// Fraction of responses that are quick without overload.
    usual_quick: f64,
    /// Time that the last response was allowed to take, in seconds.
    allowed: f64,
    /// Whether there are responses whose latency is exact; then only those count.
    has_exact: bool,
    /// Responses of this interval, in service times.
    service_times: Vec<f64>,
    /// Responses of this interval in proportion to what is allowed.
    delays: Vec<f64>,
    /// The same in proportion to their goals.
    of_goal: Vec<f64>,
    /// Their latencies, in seconds.
    seconds: Vec<f64>,
}

impl Queueing {
    /// Records the time from a SYN to the client's next packet.
    pub fn record_handshake(&mut self, now: Duration, time: Duration, overloaded: bool) {
        if !overloaded {
            self.path.record(now, time.as_secs_f64());
        }
    }

    /// Records a response. `max_service_times` is what one may take, the time in the
    /// target's queue included.
    pub fn record_response(
        &mut self,
        now: Duration,
        sample: ResponseSample,
        goal_fraction: f64,
        max_service_times: f64,
        overloaded: bool,
    ) {
        if sample.exact && !self.has_exact {
            *self = Queueing {
                has_exact: true,
                path: std::mem::take(&mut self.path),
                ..Queueing::default()
            };
        }
        if self.has_exact && !sample.exact {
            return;
        }
        let latency = sample.latency.as_secs_f64();
        let path = self.path.median.unwrap_or_default();
        let baseline = self.latencies.entry(sample.priority).or_default();
        let service_time = baseline.median.map(|median| median - path);
        let rejected = service_time.is_some_and(|time| latency - path < time * REJECTED_BELOW);
        if !overloaded && !rejected {
            baseline.record(now, latency);
        }
        let Some(service_time) = service_time.filter(|time| *time > 0.0) else {
            return;
        };
        let goal = sample.goal.as_secs_f64() * goal_fraction;
        let least = path + service_time * MIN_SERVICE_TIMES;
        let most = path + service_time * max_service_times.max(MIN_SERVICE_TIMES);
        self.service_times.push((latency - path) / service_time);
        let allowed = goal.clamp(least, most);
        self.allowed = allowed;
        self.delays.push(latency / allowed);
        self.of_goal.push(latency / sample.goal.as_secs_f64());
        self.seconds.push(latency);
    }

    /// Time that a response may take, the time in the target's queue included.
    pub fn allowed(&self) -> Duration {
        Duration::from_secs_f64(self.allowed)
    }

    /// Discards what was learned just before an overload was found.
    pub fn discard_recent(&mut self, now: Duration) {
        self.path.discard_recent(now);
        for baseline in self.latencies.values_mut() {
            baseline.discard_recent(now);
        }
    }

    /// Number of responses in this interval.
    pub fn len(&self) -> usize {
        self.delays.len()
    }

    /// Forgets the responses of this interval.
    pub fn clear(&mut self) {
        self.service_times.clear();
        self.delays.clear();
        self.of_goal.clear();
        self.seconds.clear();
    }

    /// Service time of the usual response in seconds, all priorities together.
    pub fn service_time(&self) -> Option<f64> {
        let path = self.path.median?;
        let medians = self.latencies.values().filter_map(|b| b.median);
        let least = medians.reduce(f64::min)?;
        (least > path).then_some(least - path)
    }

    /// Usual time of the path from a client to a target and back.
    pub fn path(&self) -> Option<Duration> {
        self.path.median.map(Duration::from_secs_f64)
    }

    /// Ends an interval; `None` if it had no responses.
    pub fn finish_interval(&mut self, overloaded: bool) -> Option<Queues> {
        if self.delays.is_empty() {
            return None;
        }
        let count = self.service_times.len() as f64;
        let quick = self.service_times.iter().filter(|x| **x < REJECTED_BELOW);
        let quick = quick.count() as f64 / count;
        let deviation = (quick * (1.0 - quick) / count).sqrt();
        let excess = (quick - self.usual_quick) / (1.0 - self.usual_quick).max(f64::EPSILON);
        let significant = excess > SIGNIFICANT_DEVIATIONS * deviation;
        let mut delay = quantile(&mut self.delays, MEDIAN);
        let late = self.of_goal.iter().filter(|x| **x > MAX_OF_GOAL);
        let late = late.count() as f64 / count - MAX_LATE;
        let late_deviation = (MAX_LATE * (1.0 - MAX_LATE) / count).sqrt();
        if late > SIGNIFICANT_DEVIATIONS * late_deviation {
            delay = delay.max(1.0 + late);
        }
        let service_times = quantile(&mut self.service_times, MEDIAN);
        let delay_s = quantile(&mut self.seconds, MEDIAN);
        self.clear();
        if !overloaded && !significant {
            self.usual_quick += (quick - self.usual_quick) * QUICK_WEIGHT;
        }
        Some(Queues {
            rejected: if significant { excess } else { 0.0 },
            delay,
            delay_s,
            service_times,
        })
    }
}

fn quantile(samples: &mut [f64], fraction: f64) -> f64 {
    let position = (samples.len() as f64 * fraction) as usize;
    let position = position.min(samples.len() - 1);
    let (_, value, _) = samples.select_nth_unstable_by(position, f64::total_cmp);
    *value
}
