//! Target selection for new flows.
//!
//! Targets have few slots and flows are long, so a single excess flow makes
//! requests queue. Each candidate has a cost in flows per slot; the lowest wins.

use rand::Rng;
use rand::RngExt;

use crate::placement::cross_domain_share::cross_domain_share;
use crate::placement::neighbor_cost::NeighborCost;
use crate::{Load, NeighborLoad, TargetKey};

/// Cost of a target used only as a last resort, in flows per slot.
const AVOID_COST: f64 = 1e9;
/// Cost of a target that is not in the failure domain that a flow is to be placed in, in
/// flows per slot. Above any load, since a target may hold thousands of idle flows.
const WRONG_DOMAIN_COST: f64 = 1e6;

/// Cost settings of the target selection.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConfig {
    /// Cost of a target in another failure domain while the load of this one is unknown,
    /// in flows per slot.
    pub cross_domain_cost: f64,
    /// Requests in flight per usable slot above which flows leave the failure domain.
    pub spill_load: f64,
    /// Cost of a target that is still warming up, in flows per slot.
    pub cold_cost: f64,
    /// Cost of a target whose failure domain was just taken back after an evacuation, in
    /// flows per slot; it falls to 0. Above `cross_domain_cost`, so that flows don't all
    /// return at once while the load of the domain is unknown.
    pub returning_cost: f64,
    /// Additional cost of a flow with an unanswered request, in open flows: it takes a
    /// slot now, an idle flow only may later.
    pub busy_cost: f64,
    /// Additional cost of a flow with a retransmitted request, in open flows: the
    /// target's queue is long, or it hangs on some requests.
    pub stalled_cost: f64,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            cross_domain_cost: 4.0,
            spill_load: 1.0,
            cold_cost: 2.0,
            returning_cost: 8.0,
            busy_cost: 7.0,
            stalled_cost: 4.0,
        }
    }
}

/// A target eligible for the flow.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The target.
    pub key: TargetKey,
    /// Whether it is in the same failure domain as this balancer.
    pub local: bool,
    /// Whether it is still warming up after its start.
    pub cold: bool,
    /// How far its failure domain still is from a full return after an evacuation, from
    /// 1 to 0.
    pub returning: f64,
    /// Whether it is suspect, or did not respond to an earlier attempt of this client.
    pub avoid: bool,
    /// Maximum number of concurrent requests; at least 1.
    pub slots: u32,
    /// Factor by which it takes longer than others of its service; at least 1.
    pub slowness: f64,
    /// Its load as seen by this balancer.
    pub load: Load,
    /// Its load by the other balancers of the failure domain, if known.
    pub neighbors: Option<NeighborLoad>,
}

impl Candidate {
    /// Slots of a target of usual pace that complete as many requests.
    pub(crate) fn usable_slots(&self) -> f64 {
        self.slots_f64() / self.slowness.max(1.0)
    }

    fn slots_f64(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    fn cost(&self, cfg: &PlacementConfig) -> f64 {
        let busy = f64::from(self.load.busy) * cfg.busy_cost;
        let stalled = f64::from(self.load.stalled) * cfg.stalled_cost;
        let flows = f64::from(self.load.flows) + busy + stalled;
        // The request takes as much longer on a slow target as if others waited there.
        let slow = (self.slowness - 1.0).max(0.0) * (1.0 + cfg.busy_cost);
        let mut cost = (flows + 1.0) / self.usable_slots() + slow / self.slots_f64();
        if self.cold {
            cost += cfg.cold_cost;
        }
        cost += self.returning * cfg.returning_cost;
        if self.avoid {
            cost += AVOID_COST;
        }
        cost
    }
}

/// Costs of the failure domains for one flow, in flows per slot.
#[derive(Clone, Copy, Debug)]
struct DomainCosts {
    local: f64,
    remote: f64,
}

impl DomainCosts {
    fn new(
        cfg: &PlacementConfig,
        candidates: &[Candidate],
        others: Option<f64>,
        rng: &mut impl Rng,
    ) -> DomainCosts {
        let Some(others) = others else {
            return DomainCosts {
                local: 0.0,
                remote: cfg.cross_domain_cost,
            };
        };
        let leaves = rng.random::<f64>() < cross_domain_share(cfg, candidates, others);
        let (local, remote) = match leaves {
            true => (WRONG_DOMAIN_COST, 0.0),
            false => (0.0, WRONG_DOMAIN_COST),
        };
        DomainCosts { local, remote }
    }
}

/// Selects the cheapest candidate, with a random part of one flow added to each, so
/// that balancers with the same view of the load do not all select the same target.
/// `others` are the service's requests in flight through the other balancers of the
/// failure domain, if known.
pub fn choose(
    cfg: &PlacementConfig,
    candidates: &[Candidate],
    others: Option<f64>,
    rng: &mut impl Rng,
) -> Option<TargetKey> {
    let domains = DomainCosts::new(cfg, candidates, others, rng);
    let neighbors = NeighborCost::new(cfg, candidates);
    let mut best: Option<(f64, TargetKey)> = None;
    for c in candidates {
        let jitter = rng.random::<f64>() / c.usable_slots();
        let domain = if c.local {
            domains.local
        } else {
            domains.remote
        };
        let cost = c.cost(cfg) + domain + neighbors.cost(cfg, c, rng) + jitter;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, c.key));
        }
    }
    best.map(|(_, key)| key)
}
