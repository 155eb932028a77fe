//! Load state of one target.

use std::time::Duration;

use sequoiatrail_types::NodeId;

use crate::ramp::Ramp;

/// Smoothed load reports of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    /// Load in thousandths of its capacity.
    pub load: f64,
    /// Time of the last report.
    pub at: Duration,
}

impl LoadReport {
    /// Weight of the report, 0 to 1, halved with each `half_life` of age.
    pub fn confidence(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        (-age / half_life.as_secs_f64()).exp2()
    }
}

/// Open flows of one target as counted by one balancer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowCount {
    pub open_flows: u32,
    pub at: Duration,
}

/// Load report, flow counts and slow start of one target.
#[derive(Debug)]
pub(crate) struct TargetLoad {
    pub last_report: Option<LoadReport>,
    /// The latest count of each balancer.
    counts: Vec<(NodeId, FlowCount)>,
    pub ramp: Ramp,
    /// Whether it has reached its connection limit.
    pub full: bool,
}

impl TargetLoad {
    /// Creates the state of a target without reports or counts.
    pub fn new(ramp: Ramp) -> TargetLoad {
        TargetLoad {
            last_report: None,
            counts: Vec::new(),
            ramp,
            full: false,
        }
    }

    /// Replaces the count of a balancer.
    pub fn set_count(&mut self, from: NodeId, count: FlowCount) {
        match self.counts.iter_mut().find(|(node, _)| *node == from) {
            Some((_, last)) => *last = count,
            None => self.counts.push((from, count)),
        }
    }

    /// Drops counts that were not renewed within `ttl`.
    pub fn expire_counts(&mut self, now: Duration, ttl: Duration) {
        self.counts.retain(|(_, c)| now < c.at + ttl);
    }

    /// Open flows summed over all balancers.
    pub fn open_flows(&self) -> f64 {
        self.counts
            .iter()
            .map(|(_, c)| f64::from(c.open_flows))
            .sum()
    }
}
