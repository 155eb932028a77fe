//! Pace of each target: how much longer it takes than others of its service.
//!
//! The load pattern covered is a service whose targets differ: some are slow, have just
//! started, or run on smaller VMs. Flow counts show that too late, as a fast target and
//! a slow one look the same while both are idle. Placement therefore divides a
//! target's slots by its slowness.
//!
//! Latencies are compared by route, since routes do different work, and averaged as
//! logarithms, so that a few long requests don't outweigh the usual ones. Evidence
//! fades with time: a target that gets no flows any more regains its share step by
//! step, and loses it again if it is still slow.

use std::net::SocketAddrV4;
use std::time::Duration;

use hashbrown::HashMap;

use crate::TargetId;

/// Time in which the evidence on a target loses half of its weight. Within it, a few
/// requests reach a target that is still in use.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time after which a target or route without responses is forgotten.
const RETENTION: Duration = Duration::from_secs(30);
/// Usual deviation of a request's latency from its route's mean, as a logarithm: a
/// factor of two.
const USUAL_DEVIATION: f64 = std::f64::consts::LN_2;
/// Largest deviation that a single request counts for, as a logarithm: a factor of eight.
const MAX_DEVIATION: f64 = 3.0 * std::f64::consts::LN_2;
/// Weight of the assumption that a target is as fast as the others, in requests.
const PRIOR_WEIGHT: f64 = 1.0;
/// Number of requests over which a route's mean is taken.
const ROUTE_WINDOW: f64 = 64.0;
/// Number of requests on a route before its mean is used.
const MIN_ROUTE_SAMPLES: f64 = 8.0;

/// Mean latency of a route over all targets.
#[derive(Clone, Copy, Debug, Default)]
struct RoutePace {
    /// Mean of the latencies' logarithms.
    mean: f64,
    /// Number of requests, up to `ROUTE_WINDOW`.
    samples: f64,
    updated: Duration,
}

impl RoutePace {
    fn record(&mut self, now: Duration, log_latency: f64) {
        self.samples = (self.samples + 1.0).min(ROUTE_WINDOW);
        self.mean += (log_latency - self.mean) / self.samples;
        self.updated = now;
    }
}

/// Deviation of a target's latencies from the means of their routes.
#[derive(Clone, Copy, Debug, Default)]
struct TargetPace {
    /// Weighted sum of the deviations, as logarithms.
    deviations: f64,
    /// Number of requests, each weighted by its age.
    weight: f64,
    updated: Duration,
}

impl TargetPace {
    fn record(&mut self, now: Duration, deviation: f64) {
        let faded = self.at(now);
        *self = TargetPace {
            deviations: faded.deviations + deviation,
            weight: faded.weight + 1.0,
            updated: now,
        };
    }

    /// The evidence as it has faded until `now`.
    fn at(self, now: Duration) -> TargetPace {
        let age = now.saturating_sub(self.updated);
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        TargetPace {
            deviations: self.deviations * factor,
            weight: self.weight * factor,
            updated: now,
        }
    }

    /// Mean deviation less its uncertainty, as a factor of at least 1.
    fn slowness(self, now: Duration) -> f64 {
        let faded = self.at(now);
        let weight = faded.weight + PRIOR_WEIGHT;
        let mean = faded.deviations / weight;
        let uncertainty = USUAL_DEVIATION / weight.sqrt();
        (mean - uncertainty).max(0.0).exp()
    }
}

/// Paces of all targets, as seen by this balancer.
#[derive(Debug, Default)]
pub struct Paces {
    routes: HashMap<SocketAddrV4, RoutePace>,
    targets: HashMap<TargetId, TargetPace>,
}

impl Paces {
    /// Records a response of a target to a request on a route.
    pub fn record(
        &mut self,
        now: Duration,
        target: TargetId,
        route: SocketAddrV4,
        latency: Duration,
    ) {
        let log_latency = latency.as_secs_f64().max(f64::EPSILON).ln();
        let usual = self.routes.entry(route).or_default();
        if usual.samples >= MIN_ROUTE_SAMPLES {
            let deviation = log_latency - usual.mean;
            let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
            self.targets
                .entry(target)
                .or_default()
                .record(now, deviation);
        }
        usual.record(now, log_latency);
    }

    /// Factor by which a target takes longer than the mean of its service, as far as
    /// this is certain; 1 if it is unknown or not slower.
    pub fn slowness(&self, now: Duration, target: TargetId) -> f64 {
        let pace = self.targets.get(&target);
        pace.map_or(1.0, |pace| pace.slowness(now))
    }

    /// Forgets targets and routes without recent responses.
    pub fn sweep(&mut self, now: Duration) {
        self.targets
            .retain(|_, pace| now < pace.updated + RETENTION);
        self.routes.retain(|_, pace| now < pace.updated + RETENTION);
    }
}
