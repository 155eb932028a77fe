//! Targets that the other balancers of the failure domain have loaded more than others.
//!
//! The load pattern covered is a target with a queue of which each of many balancers
//! has a request or none. Sums of the failure domain show it, but they are as old as
//! the reports: if all balancers preferred the target with the lowest sum, they would
//! fill it together until the next report. The sums therefore only deter: load above
//! what is usual counts as the balancer's own, and only with a probability such that
//! together the balancers still send the target its share (compare the stale
//! information in Mitzenmacher's "How useful is old information?", 2000).

use rand::Rng;
use rand::RngExt;

use crate::{Candidate, PlacementConfig};

/// Load of the other balancers per slot up to which it costs nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NeighborCost(f64);

impl NeighborCost {
    /// The mean over the local targets, but at least a request for each slot: below that,
    /// none waits.
    pub fn new(cfg: &PlacementConfig, candidates: &[Candidate]) -> NeighborCost {
        let local = || candidates.iter().filter(|c| c.local);
        let load: f64 = local().map(|c| neighbor_load(cfg, c)).sum();
        let slots: f64 = local().map(Candidate::usable_slots).sum();
        let mean = if slots > 0.0 { load / slots } else { 0.0 };
        NeighborCost(mean.max(1.0 + cfg.busy_cost))
    }

    /// Additional cost of a candidate, in flows per slot.
    pub fn cost(self, cfg: &PlacementConfig, c: &Candidate, rng: &mut impl Rng) -> f64 {
        let load = neighbor_load(cfg, c) / c.usable_slots();
        if load <= self.0 || rng.random::<f64>() < self.0 / load {
            return 0.0;
        }
        load - self.0
    }
}

/// Load that the other balancers have at a target, in flows.
fn neighbor_load(cfg: &PlacementConfig, c: &Candidate) -> f64 {
    c.neighbors
        .map_or(0.0, |load| load.flows + load.in_flight * cfg.busy_cost)
}
