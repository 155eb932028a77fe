//! Targets that left, as other balancers know it.
//!
//! Fault: the store is restored from a copy that lists targets which have left since. A
//! balancer that ran all the time knows them, but one that starts afterwards has only the
//! list, and would send them flows. It therefore asks the others once.

use std::time::Duration;

use hashbrown::HashMap;

use crate::{Balancer, TargetEvent, TargetId};

/// Maximum number of targets of each kind that are told.
const MAX_TOLD: usize = 256;

/// Targets that get no new flows although the store may list them as ready.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Departures {
    /// Targets that are about to leave; they never become ready again.
    pub draining: Vec<TargetId>,
    /// Targets that have left or are silent.
    pub gone: Vec<TargetId>,
}

/// How far a target has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Draining,
    Gone,
}

/// What other balancers said of targets that this one doesn't know: their list may come
/// later.
#[derive(Debug, Default)]
pub(crate) struct HeardDepartures {
    targets: HashMap<TargetId, (Departure, Duration)>,
}

impl HeardDepartures {
    /// Forgets what was said longer ago than `retention`.
    pub fn sweep(&mut self, now: Duration, retention: Duration) {
        self.targets.retain(|_, (_, at)| now < *at + retention);
    }
}

impl Balancer {
    /// Targets that have left or are about to, as far as this balancer knows.
    pub fn departures(&self) -> Departures {
        let targets = || self.directory.iter();
        let draining = targets().filter(|t| t.is_draining());
        let gone = targets().filter(|t| t.is_gone() || t.health.is_silent());
        Departures {
            draining: draining.map(|t| t.entry.id).take(MAX_TOLD).collect(),
            gone: gone.map(|t| t.entry.id).take(MAX_TOLD).collect(),
        }
    }

    /// Records what another balancer said. Targets that drain get no new flows, those that
    /// have left only after they answered a probe; open flows go on.
    pub fn record_departures(&mut self, now: Duration, departures: Departures) {
        let gone = departures.gone.into_iter().map(|id| (id, Departure::Gone));
        let draining = departures.draining.into_iter();
        let draining = draining.map(|id| (id, Departure::Draining));
        for (id, departure) in gone.chain(draining) {
            match self.directory.key_of(id) {
                Some(_) => self.apply_departure(id, departure),
                None => {
                    let heard = (departure, now);
                    self.heard_departures.targets.insert(id, heard);
                }
            }
        }
    }

    /// Applies what was said of targets that were listed just now.
    pub(crate) fn apply_departures(&mut self, events: &[(TargetId, TargetEvent)]) {
        for (id, _) in events {
            if let Some((departure, _)) = self.heard_departures.targets.remove(id) {
                self.apply_departure(*id, departure);
            }
        }
    }

    fn apply_departure(&mut self, id: TargetId, departure: Departure) {
        match departure {
            Departure::Draining => self.directory.mark_draining(id),
            Departure::Gone => self.directory.mark_doubtful(id),
        }
    }
}
