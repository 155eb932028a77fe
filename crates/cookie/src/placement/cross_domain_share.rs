//! Share of new flows that leave the failure domain because its targets lack room.
//!
//! The load pattern covered is demand that differs from the room of its failure domain:
//! clients move there, or targets are lost. Bytes between failure domains are dear, so
//! no flow leaves while the local targets have room, and beyond that only the excess.
//!
//! Room is measured in requests in flight per usable slot, summed over the balancers of
//! the failure domain. By Little's law these stand for the slots that the demand takes,
//! wherever the requests run. All balancers see about the same sums, so each lets the
//! same share of its flows leave, selected at random. The share rises from zero with
//! the excess and so needs no hysteresis.

use crate::{Candidate, PlacementConfig};

/// Share of a service's new flows to place in other failure domains, between 0 and 1,
/// while the other balancers of this one have `others` requests of it in flight.
pub(crate) fn cross_domain_share(
    cfg: &PlacementConfig,
    candidates: &[Candidate],
    others: f64,
) -> f64 {
    // Requests that run for long no longer count as in flight, but as busy.
    let own = candidates.iter().map(|c| c.load.busy.max(c.load.in_flight));
    let in_flight = f64::from(own.sum::<u32>()) + others;
    let usable = candidates.iter().filter(|c| c.local && !c.avoid);
    // A domain that was just taken back offers its room step by step.
    let slots: f64 = usable.map(|c| c.usable_slots() * (1.0 - c.returning)).sum();
    let room = slots * cfg.spill_load;
    match room > 0.0 {
        true => (1.0 - room / in_flight.max(room)).max(0.0),
        false => 1.0,
    }
}
