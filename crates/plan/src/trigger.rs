//! What triggers a new plan of a service.

use sequoiatrail_table::Target;

use crate::{Factor, Factors};

/// Trigger of a new plan, in order of increasing urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Trigger {
    /// No new plan is needed.
    Unchanged,
    /// The factor of a target has changed.
    Load,
    /// A target went down or came back.
    Health,
    /// The table has changed.
    Table,
}

impl Trigger {
    /// The trigger caused by a change of the factors of `targets`.
    pub fn from_factors(targets: &[Target], current: &Factors, next: &Factors) -> Trigger {
        let trigger_of = |t: &Target| match (current.get(t.id), next.get(t.id)) {
            (old, new) if old == new => Trigger::Unchanged,
            (old, new) if old.is_down() || new.is_down() => Trigger::Health,
            _ => Trigger::Load,
        };
        targets
            .iter()
            .map(trigger_of)
            .max()
            .unwrap_or(Trigger::Unchanged)
    }
}

/// Factors of the next plan: the observed factor of a target if it differs from the
/// current one by `threshold` or more, else the current one, so that small changes
/// move no buckets.
pub(crate) fn next_factors(
    targets: &[Target],
    current: &Factors,
    observed: &Factors,
    threshold: f64,
) -> Factors {
    let takers = || targets.iter().filter(|t| t.row.takes_new_flows());
    if takers().all(|t| observed.get(t.id).is_down()) {
        // All down at once is more likely a fault of the observer.
        return current.clone();
    }
    let next_factor = |t: &Target| -> Factor {
        let (old, new) = (current.get(t.id), observed.get(t.id));
        if old.distance(new) >= threshold {
            return new;
        }
        old
    };
    takers().map(|t| (t.id, next_factor(t))).collect()
}
