//! Measurements of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Why a flow broke.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum BreakCause {
    /// A packet of an open flow reached another target.
    SecondTarget,
    /// A packet of an open flow was refused.
    Refused,
    /// The flow was reset.
    Reset,
    /// The target was removed from the table.
    TargetGone,
    /// A packet was still not delivered after all retransmits.
    NotDelivered,
}

/// Measurements of one second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Seconds since the start.
    pub at_s: f64,
    /// Open flows.
    pub open_flows: usize,
    /// Largest share of open flows over weighted share, per service.
    pub imbalance: BTreeMap<String, f64>,
    /// Control bytes sent in this second by the busiest balancer.
    pub control_bytes_max: u64,
    /// Control bytes sent in this second by all balancers.
    pub control_bytes: u64,
    /// Relayed bytes in this second over all balancers.
    pub relayed_bytes: u64,
    /// Packets that clients sent in this second.
    pub packets: u64,
}

/// An edit and the time until all balancers applied it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditReport {
    /// What was edited.
    pub edit: String,
    /// Seconds since the start at which it was accepted.
    pub at_s: f64,
    /// Seconds until each live balancer had the table and a plan made from it;
    /// `None` if that did not happen.
    pub in_force_s: Option<f64>,
    /// Seconds until no bucket was in transition; `None` if that did not happen.
    pub settled_s: Option<f64>,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the schedule.
    pub schedule: String,
    /// Seed of the run.
    pub seed: u64,
    /// Balancers at the start.
    pub balancers: usize,
    /// Flows that were opened.
    pub flows: u64,
    /// Packets that clients sent.
    pub packets: u64,
    /// Packets lost at dead or paused balancers, or dropped.
    pub packets_lost: u64,
    /// New flows refused.
    pub refused: u64,
    /// Broken flows by cause.
    pub broken: BTreeMap<BreakCause, u64>,
    /// Broken flows by the second in which they broke.
    pub broken_at_s: BTreeMap<u64, u64>,
    /// Numbers of the first broken flows, for use with `--trace`.
    pub broken_flows: Vec<usize>,
    /// New flows at a target more than 3 s after its stop was accepted.
    pub late_new_flows: u64,
    /// Number of times that a plan version decreased on a balancer.
    pub versions_fallen: u64,
    /// Edits.
    pub edits: Vec<EditReport>,
    /// Mean control bytes per second and balancer.
    pub control_bytes_s: f64,
    /// Mean control bytes per second and balancer, by kind.
    pub control_bytes_s_by_kind: BTreeMap<String, f64>,
    /// Max control bytes that one balancer sent in one second.
    pub control_bytes_s_max: u64,
    /// Max control bytes that one balancer sent in ten seconds, per second.
    pub control_bytes_10s_max: f64,
    /// Ratio of relayed packets to client packets.
    pub relayed_share: f64,
    /// Relayed bytes over the run.
    pub relayed_bytes: u64,
    /// Decision time in nanoseconds: median and 99th percentile.
    pub decision_ns: (u64, u64),
    /// Max over the balancers of flow-table bytes per known flow, at the end.
    pub bytes_per_flow: f64,
    /// One sample per second.
    pub samples: Vec<Sample>,
}

impl Report {
    /// Broken flows over all causes.
    pub fn broken_total(&self) -> u64 {
        self.broken.values().sum()
    }

    /// Largest imbalance of a service from `from_s` (inclusive) to `to_s` (exclusive).
    pub fn worst_imbalance(&self, from_s: f64, to_s: f64) -> f64 {
        self.samples
            .iter()
            .filter(|s| s.at_s >= from_s && s.at_s < to_s)
            .flat_map(|s| s.imbalance.values().copied())
            .fold(0.0, f64::max)
    }
}

/// Counters of a run in progress.
pub(crate) struct Meter {
    pub packets: u64,
    pub packets_lost: u64,
    pub refused: u64,
    pub relayed_packets: u64,
    pub relayed_bytes: u64,
    pub late_new_flows: u64,
    pub versions_fallen: u64,
    pub broken: BTreeMap<BreakCause, u64>,
    pub broken_at_s: BTreeMap<u64, u64>,
    pub broken_flows: Vec<usize>,
    pub control_by_kind: BTreeMap<String, u64>,
    /// Control bytes of the current second, by balancer.
    pub control_current_second: Vec<u64>,
    /// Control bytes of each past second, by balancer.
    pub control_by_second: Vec<Vec<u64>>,
    pub decision_ns: Histogram<u64>,
    pub samples: Vec<Sample>,
    packets_sampled: u64,
    relayed_sampled: u64,
}

/// Upper bound of the decision-time histogram, in nanoseconds.
const MAX_DECISION_NS: u64 = 10_000_000;
/// Max broken flows that a report lists.
const MAX_BROKEN_LISTED: usize = 20;
/// Window for the peak of a balancer's control traffic, in seconds.
const PEAK_WINDOW_S: usize = 10;

impl Meter {
    pub fn new() -> Self {
        Self {
            packets: 0,
            packets_lost: 0,
            refused: 0,
            relayed_packets: 0,
            relayed_bytes: 0,
            late_new_flows: 0,
            versions_fallen: 0,
            broken: BTreeMap::new(),
            broken_at_s: BTreeMap::new(),
            broken_flows: Vec::new(),
            control_by_kind: BTreeMap::new(),
            control_current_second: Vec::new(),
            control_by_second: Vec::new(),
            decision_ns: Histogram::new_with_bounds(1, MAX_DECISION_NS, 2)
                .expect("the bounds are valid"),
            samples: Vec::new(),
            packets_sampled: 0,
            relayed_sampled: 0,
        }
    }

    /// Counts control bytes that a balancer sent.
    pub fn control(&mut self, balancer: usize, kind: &str, bytes: u64) {
        if self.control_current_second.len() <= balancer {
            self.control_current_second.resize(balancer + 1, 0);
        }
        self.control_current_second[balancer] += bytes;
        match self.control_by_kind.get_mut(kind) {
            Some(sum) => *sum += bytes,
            None => {
                self.control_by_kind.insert(kind.to_owned(), bytes);
            }
        }
    }

    /// Counts a broken flow.
    pub fn record_break(&mut self, flow: usize, cause: BreakCause, second: u64) {
        if self.broken_flows.len() < MAX_BROKEN_LISTED {
            self.broken_flows.push(flow);
        }
        *self.broken.entry(cause).or_default() += 1;
        *self.broken_at_s.entry(second).or_default() += 1;
    }

    /// Records the sample of a second and starts the next.
    pub fn sample(&mut self, at_s: f64, open_flows: usize, imbalance: BTreeMap<String, f64>) {
        let bytes = std::mem::take(&mut self.control_current_second);
        self.samples.push(Sample {
            at_s,
            open_flows,
            imbalance,
            control_bytes_max: bytes.iter().copied().max().unwrap_or(0),
            control_bytes: bytes.iter().sum(),
            relayed_bytes: self.relayed_bytes - self.relayed_sampled,
            packets: self.packets - self.packets_sampled,
        });
        self.relayed_sampled = self.relayed_bytes;
        self.packets_sampled = self.packets;
        self.control_by_second.push(bytes);
    }

    /// Max control bytes per second of one balancer, averaged over a window.
    pub fn control_peak(&self) -> f64 {
        let balancers = self
            .control_by_second
            .iter()
            .map(Vec::len)
            .max()
            .unwrap_or(0);
        let peak = (0..balancers)
            .flat_map(|balancer| {
                self.control_by_second
                    .windows(PEAK_WINDOW_S)
                    .map(move |window| window_sum(window, balancer))
            })
            .max()
            .unwrap_or(0);
        peak as f64 / PEAK_WINDOW_S as f64
    }
}

fn window_sum(window: &[Vec<u64>], balancer: usize) -> u64 {
    window
        .iter()
        .map(|second| second.get(balancer).copied().unwrap_or(0))
        .sum()
}
