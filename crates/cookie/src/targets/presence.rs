//! State of one target in the directory.

use std::time::Duration;

use crate::{Balancer, Cookie, Health, Lifecycle, Load, NeighborLoad, TargetEntry, TargetId};

/// Grace period for an entry that vanished while the store was unstable: it may come
/// back, so its flows are kept.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);
/// Time from the return of the store within which it has the entries of living targets again.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Grace period for an entry that is missing from a restored store: three heartbeat
/// intervals of its target, after which the store drops silent targets too.
const RESTORE_GRACE: Duration = Duration::from_secs(4);

/// State of a target's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Presence {
    /// The entry exists.
    Listed,
    /// The entry can't be decoded.
    Unreadable,
    /// The entry vanished while the store was unstable and may come back.
    Lapsed {
        /// When it vanished.
        since: Duration,
    },
    /// The entry was written after the copy that the store was restored from; the
    /// target is expected to write it again.
    Unconfirmed {
        /// When this balancer learned of the restore.
        since: Duration,
    },
    /// The target was removed or has died.
    Gone {
        /// When this balancer learned of it.
        since: Duration,
    },
}

impl Presence {
    /// Whether the entry is missing for so long that its target counts as gone. One that
    /// lapsed may have returned since the list was last compared with the store, at
    /// `compared_at`; before the first comparison, time alone decides.
    pub fn has_expired(self, now: Duration, compared_at: Option<Duration>) -> bool {
        match self {
            Presence::Lapsed { since } => {
                let still_missing = compared_at.is_none_or(|at| at >= since + RETURN_TIME);
                now >= since + LAPSE_GRACE && still_missing
            }
            Presence::Unconfirmed { since } => now >= since + RESTORE_GRACE,
            Presence::Listed | Presence::Unreadable | Presence::Gone { .. } => false,
        }
    }
}

/// A target with its state on this balancer.
#[derive(Debug)]
pub(crate) struct Target {
    pub entry: TargetEntry,
    pub presence: Presence,
    /// When its last event was `Gone` or `Reborn`: flows open here since then or longer were
    /// open at the start that ended. Zero before.
    pub start_known_until: Duration,
    /// End of the warm-up.
    pub cold_until: Duration,
    pub load: Load,
    pub health: Health,
}

impl Target {
    /// A listed target without flows.
    pub fn new(now: Duration, entry: TargetEntry) -> Target {
        Target {
            cold_until: now + entry.cold_for,
            entry,
            presence: Presence::Listed,
            start_known_until: Duration::ZERO,
            load: Load::default(),
            health: Health::default(),
        }
    }

    /// Whether it accepts new flows.
    pub fn accepts_new_flows(&self) -> bool {
        let present = matches!(
            self.presence,
            Presence::Listed | Presence::Unconfirmed { .. }
        );
        present && self.entry.lifecycle == Lifecycle::Ready
    }

    /// Whether a request is likely to run at once.
    pub fn has_free_slot(&self, neighbors: Option<NeighborLoad>) -> bool {
        let others = neighbors.map_or(0.0, |load| load.in_flight);
        f64::from(self.load.in_flight) + others < f64::from(self.entry.slots)
    }

    /// Whether it is about to leave.
    pub fn is_draining(&self) -> bool {
        !self.is_gone() && self.entry.lifecycle == Lifecycle::Draining
    }

    /// Whether it is gone, so that its flows can't continue.
    pub fn is_gone(&self) -> bool {
        matches!(self.presence, Presence::Gone { .. })
    }

    /// Whether `entry` belongs to another process that took over the identity.
    pub fn was_restarted(&self, entry: &TargetEntry) -> bool {
        match (self.entry.born_ms, entry.born_ms) {
            (Some(old), Some(new)) => old != new,
            _ => false,
        }
    }
}

/// What a balancer knows of a target; logged with each reset of one of its flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// Identity.
    pub id: TargetId,
    /// State of its entry in the store.
    pub entry: &'static str,
    /// Time since it last answered a client through this balancer; `None` if it never did.
    pub answered_ago: Option<Duration>,
}

impl Balancer {
    /// What is known of the target that a cookie identifies; `None` if nothing is.
    pub fn target_state(&self, now: Duration, cookie: Cookie) -> Option<TargetState> {
        let key = self.directory.by_cookie(cookie)?;
        let target = self.directory.get(key)?;
        let answered_at = target.health.last_response();
        Some(TargetState {
            id: target.entry.id,
            entry: target.presence.into(),
            answered_ago: answered_at.map(|at| now.saturating_sub(at)),
        })
    }
}

/// Effect of a change on a target; logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TargetEvent {
    /// The target is new.
    Added,
    /// Its entry changed.
    Changed,
    /// The target restarted under the same identity; its flows are lost.
    Reborn,
    /// Its entry can't be decoded.
    Unreadable,
    /// Its entry vanished while the store was unstable.
    Lapsed,
    /// Its entry is missing from a restored store.
    Unconfirmed,
    /// A restored store lists it although it was gone; it gets no flows until it
    /// answers a probe.
    Relisted,
    /// The target was removed or has died.
    Gone,
}
