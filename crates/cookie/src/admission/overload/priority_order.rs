//! Order among priorities within an interval.

use std::cmp::Ordering;

/// Ensures that within an interval no flow is refused after or before a less urgent
/// one of the same service was accepted by admission. A flow that finds no target is
/// refused later, whatever its priority.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PriorityOrder {
    /// Least urgent priority that was accepted.
    accepted: Option<u32>,
    /// Most urgent priority that was refused.
    refused: Option<u32>,
}

impl PriorityOrder {
    /// The decision that keeps the order, given the one that is wanted.
    pub fn enforce(&mut self, priority: u32, wanted: bool) -> bool {
        let after_refused = self.refused.map(|refused| priority.cmp(&refused));
        let after_accepted = self.accepted.map(|accepted| priority.cmp(&accepted));
        let admitted = match (after_accepted, after_refused) {
            (Some(Ordering::Less), _) => true,
            (_, Some(Ordering::Greater)) => false,
            _ => wanted,
        };
        match admitted {
            true => self.accepted = self.accepted.max(Some(priority)),
            false => self.refused = Some(self.refused.map_or(priority, |r| r.min(priority))),
        }
        admitted
    }
}
