//! What other balancers know better than the list of a restored store.
//!
//! Fault: the store is restored from a copy that lists targets which have left since, and
//! lacks those that joined. A balancer that ran all the time knows them, but one that
//! starts afterwards has only the list: it would send flows to the former and reset those
//! of the latter. It therefore asks the others once. They also tell which targets are gone
//! whose flows may still be open, so that it ends these instead of dropping their packets.

use std::time::Duration;

use hashbrown::HashMap;

use crate::targets::snapshot::limit_entry_times;
use crate::{Balancer, Cookie, TargetEntry, TargetEvent, TargetId};

/// Maximum number of targets of each kind that are told.
const MAX_TOLD: usize = 256;

/// Targets whose entry in the store may be out of date.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Corrections {
    /// Targets that are about to leave; they never become ready again.
    pub draining: Vec<TargetId>,
    /// Targets that have left or are silent.
    pub gone: Vec<TargetId>,
    /// Targets that the store lacks and that may write their entries again.
    pub unconfirmed: Vec<TargetEntry>,
    /// Those of `gone` that the store no longer lists: their flows can't continue. Missing
    /// in messages of older builds.
    #[serde(default)]
    pub ended: Vec<TargetId>,
    /// Starts that `draining` and `gone` are about, in Unix milliseconds, of targets that
    /// tell them. Missing in messages of older builds, which are then about any start.
    #[serde(default)]
    pub starts: Vec<(TargetId, u64)>,
}

/// How far a target has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Draining,
    Gone,
}

/// What another balancer said of a target.
#[derive(Clone, Copy, Debug)]
struct HeardDeparture {
    departure: Departure,
    /// The start that has left; `None` if it wasn't told.
    born_ms: Option<u64>,
    heard_at: Duration,
}

/// What other balancers said of targets that this one doesn't know: their list may come
/// later.
#[derive(Debug, Default)]
pub(crate) struct HeardCorrections {
    targets: HashMap<TargetId, HeardDeparture>,
    /// Cookies of targets that ended before this process started, and when it heard so.
    ended: HashMap<Cookie, Duration>,
    /// Empty once a list is loaded.
    unconfirmed: Vec<TargetEntry>,
}

impl HeardCorrections {
    /// Forgets what was said longer ago than `retention`.
    pub fn sweep(&mut self, now: Duration, retention: Duration) {
        self.targets
            .retain(|_, heard| now < heard.heard_at + retention);
        self.ended.retain(|_, at| now < *at + retention);
    }

    /// Whether the cookie is that of a target that has ended.
    pub fn has_ended(&self, cookie: Cookie) -> bool {
        self.ended.contains_key(&cookie)
    }
}

impl Balancer {
    /// What this balancer knows better than a restored store.
    pub fn corrections(&self) -> Corrections {
        let targets = || self.directory.iter();
        let draining = targets().filter(|t| t.is_draining());
        let gone = targets().filter(|t| t.is_gone() || t.health.is_silent());
        let left = targets().filter(|t| t.is_draining() || t.is_gone() || t.health.is_silent());
        let starts = left.filter_map(|t| Some((t.entry.id, t.entry.born_ms?)));
        Corrections {
            starts: starts.take(2 * MAX_TOLD).collect(),
            draining: draining.map(|t| t.entry.id).take(MAX_TOLD).collect(),
            gone: gone.map(|t| t.entry.id).take(MAX_TOLD).collect(),
            unconfirmed: self
                .directory
                .unconfirmed()
                .take(MAX_TOLD)
                .cloned()
                .collect(),
            ended: targets()
                .filter(|t| t.is_gone())
                .map(|t| t.entry.id)
                .take(MAX_TOLD)
                .collect(),
        }
    }

    /// Records what another balancer said. Targets that drain get no new flows, those that
    /// have left only after they answered a probe; open flows go on. Unknown targets are
    /// added until the store had time to confirm them.
    pub fn record_corrections(&mut self, now: Duration, mut corrections: Corrections) {
        let told = corrections.unconfirmed.iter_mut();
        told.for_each(limit_entry_times);
        let unconfirmed = &mut self.heard_corrections.unconfirmed;
        unconfirmed.extend(corrections.unconfirmed);
        self.apply_unconfirmed(now);
        let ended = corrections.ended.iter().map(|id| (id.cookie(), now));
        self.heard_corrections.ended.extend(ended);
        let gone = corrections.gone.into_iter().map(|id| (id, Departure::Gone));
        let draining = corrections.draining.into_iter();
        let draining = draining.map(|id| (id, Departure::Draining));
        let starts: HashMap<TargetId, u64> = corrections.starts.into_iter().collect();
        for (id, departure) in gone.chain(draining) {
            let heard = HeardDeparture {
                departure,
                born_ms: starts.get(&id).copied(),
                heard_at: now,
            };
            match self.directory.key_of(id) {
                Some(_) => self.apply_departure(id, heard),
                None => {
                    self.heard_corrections.targets.insert(id, heard);
                }
            }
        }
    }

    /// Applies what was said of targets that were listed just now.
    pub(crate) fn apply_corrections(&mut self, now: Duration, events: &[(TargetId, TargetEvent)]) {
        self.apply_unconfirmed(now);
        for (id, _) in events {
            if let Some(heard) = self.heard_corrections.targets.remove(id) {
                self.apply_departure(*id, heard);
            }
        }
    }

    /// Adds unconfirmed targets that are still unknown, once there is a list.
    fn apply_unconfirmed(&mut self, now: Duration) {
        if self.directory.is_loaded() {
            let unconfirmed = std::mem::take(&mut self.heard_corrections.unconfirmed);
            self.directory.add_unconfirmed(now, unconfirmed);
        }
    }

    /// Applies what was said of the start that is known here; of another one it says nothing.
    fn apply_departure(&mut self, id: TargetId, heard: HeardDeparture) {
        let target = self.directory.key_of(id);
        let target = target.and_then(|key| self.directory.get(key));
        let known = target.and_then(|target| target.entry.born_ms);
        if known.is_some() && heard.born_ms.is_some() && known != heard.born_ms {
            return;
        }
        match heard.departure {
            Departure::Draining => self.directory.mark_draining(id),
            Departure::Gone => self.directory.mark_doubtful(id),
        }
    }
}
