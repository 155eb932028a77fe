//! Latency of responses in proportion to what their goals allow.

use std::time::Duration;

use hashbrown::HashMap;

use crate::{OverloadConfig, Route};

/// Window of the minimum latency; with the previous window, the minimum covers up to
/// twice this time.
const BASELINE_WINDOW: Duration = Duration::from_secs(10);
/// Multiple of the minimum latency above which a request has waited in a queue.
const QUEUED_FACTOR: u32 = 2;
/// Multiple of the minimum latency above which a request has neither run nor waited
/// in a queue of usual length: its target hangs.
const ABNORMAL_FACTOR: u32 = 10;

/// Latency of one response, with the goal and priority of its route.
#[derive(Clone, Copy, Debug)]
pub struct ResponseSample {
    /// Latency goal of the route.
    pub goal: Duration,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Time from the request to the client's next packet.
    pub latency: Duration,
    /// Whether the packet that shows the response was sent at once: the
    /// acknowledgement of a single packet may be delayed unless it closes the flow.
    pub exact: bool,
    /// Whether the request found a free slot at its target, as far as is known.
    pub found_free: bool,
}

impl ResponseSample {
    /// Sample of a response arriving now; `None` if the route has no latency goal.
    pub fn new(
        route: &Route,
        now: Duration,
        sent: Duration,
        exact: bool,
        found_free: bool,
    ) -> Option<ResponseSample> {
        Some(ResponseSample {
            goal: route.latency_goal?,
            priority: route.priority,
            latency: now.saturating_sub(sent),
            exact,
            found_free,
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

/// Minimum latencies by latency goal, since requests with different goals do
/// different work.
#[derive(Debug, Default)]
pub(super) struct Baselines {
    by_goal: HashMap<Duration, Baseline>,
}

impl Baselines {
    /// Latency of a response divided by the latency that is allowed. A route whose
    /// goal is close to its service time is allowed a multiple of its minimum latency.
    pub fn relative_latency(
        &mut self,
        cfg: &OverloadConfig,
        now: Duration,
        sample: ResponseSample,
    ) -> f64 {
        let allowed = sample.goal.mul_f64(cfg.goal_fraction);
        let allowed = allowed.max(self.minimum(now, sample) * QUEUED_FACTOR);
        sample.latency.as_secs_f64() / allowed.as_secs_f64().max(f64::EPSILON)
    }

    /// Whether a request takes many times as long as the fastest ones with its goal.
    pub fn is_abnormal(&self, goal: Duration, age: Duration) -> bool {
        let baseline = self.by_goal.get(&goal);
        baseline.is_some_and(|b| age > b.current.min(b.previous) * ABNORMAL_FACTOR)
    }

    /// Minimum recent latency, including this sample.
    fn minimum(&mut self, now: Duration, sample: ResponseSample) -> Duration {
        let fresh = Baseline {
            window_start: now,
            previous: sample.latency,
            current: sample.latency,
        };
        let baseline = self.by_goal.entry(sample.goal).or_insert(fresh);
        if now >= baseline.window_start + BASELINE_WINDOW {
            baseline.previous = baseline.current;
            baseline.current = sample.latency;
            baseline.window_start = now;
        }
        baseline.current = baseline.current.min(sample.latency);
        baseline.current.min(baseline.previous)
    }
}
