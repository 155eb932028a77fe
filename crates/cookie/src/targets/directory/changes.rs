//! What a change of one entry does to its target.

use std::time::Duration;

use super::{Directory, TargetChange};
use crate::targets::presence::{Presence, Target};
use crate::{Health, Lifecycle, TargetEntry, TargetEvent, TargetId};

/// Circumstances of an update.
#[derive(Clone, Copy)]
pub(super) struct Update {
    pub now: Duration,
    /// Whether the store had no failures lately.
    pub store_stable: bool,
    /// Whether it is the first list since the store was restored from a copy.
    pub restored: bool,
}

impl Directory {
    pub(super) fn apply_changes(
        &mut self,
        update: Update,
        changes: Vec<TargetChange>,
    ) -> Vec<(TargetId, TargetEvent)> {
        let mut events = Vec::new();
        for change in changes {
            let id = changed_id(&change);
            let event = match change {
                TargetChange::Present(entry) => self.on_present(update, entry),
                TargetChange::Unreadable(_) => self.on_unreadable(id),
                TargetChange::Gone(_) => self.on_removed(update, id),
                TargetChange::Unconfirmed(entry) => self.on_unconfirmed(update, entry),
            };
            events.extend(event.map(|event| (id, event)));
        }
        if !events.is_empty() {
            self.rebuild_indexes();
        }
        events
    }

    /// Adds targets that a restored store lacks, unless they are known.
    pub(crate) fn add_unconfirmed(&mut self, now: Duration, entries: Vec<TargetEntry>) {
        let update = Update {
            now,
            store_stable: false,
            restored: false,
        };
        let unknown = entries
            .into_iter()
            .filter(|e| e.slots > 0 && !self.by_id.contains_key(&e.id));
        let changes = unknown.map(TargetChange::Unconfirmed).collect();
        self.apply_changes(update, changes);
    }

    /// Makes new flows avoid a target until it answers one or a probe.
    pub(crate) fn mark_doubtful(&mut self, id: TargetId) {
        if let Some(target) = self.find(id) {
            target.health.mark_doubtful();
        }
    }

    /// Makes a target drain, whatever the store lists it as.
    pub(crate) fn mark_draining(&mut self, id: TargetId) {
        let Some(target) = self.find(id).filter(|t| !t.is_draining()) else {
            return;
        };
        target.entry.lifecycle = Lifecycle::Draining;
        self.rebuild_indexes();
    }

    fn on_present(&mut self, update: Update, entry: TargetEntry) -> Option<TargetEvent> {
        let cold_until = update.now + entry.cold_for;
        self.tells_starts |= entry.born_ms.is_some();
        let Some(target) = self.find(entry.id) else {
            self.insert(Target::new(update.now, entry));
            return Some(TargetEvent::Added);
        };
        let restarted = target.was_restarted(&entry);
        let was_gone = target.is_gone();
        let mut entry = entry;
        if !restarted && target.entry.lifecycle == Lifecycle::Draining {
            // A target that drains never becomes ready again; a restored store may
            // list it as ready until it is written again.
            entry.lifecycle = Lifecycle::Draining;
        }
        let returned = target.presence != Presence::Listed;
        if target.entry == entry && !returned {
            return None;
        }
        target.entry = entry;
        target.presence = Presence::Listed;
        target.cold_until = cold_until;
        if restarted {
            target.health = Health::default();
            return Some(TargetEvent::Reborn);
        }
        if update.restored && was_gone {
            target.health.require_probe();
            return Some(TargetEvent::Relisted);
        }
        Some(TargetEvent::Changed)
    }

    fn on_unreadable(&mut self, id: TargetId) -> Option<TargetEvent> {
        let target = self.find(id)?;
        // An unreadable entry does not revive a target.
        if target.is_gone() || target.presence == Presence::Unreadable {
            return None;
        }
        target.presence = Presence::Unreadable;
        Some(TargetEvent::Unreadable)
    }

    /// A target that is known here keeps its entry, since a restored store may have an
    /// older one.
    fn on_unconfirmed(&mut self, update: Update, entry: TargetEntry) -> Option<TargetEvent> {
        let presence = Presence::Unconfirmed { since: update.now };
        match self.find(entry.id).map(|target| &mut target.presence) {
            None => self.insert(Target {
                presence,
                ..Target::new(update.now, entry)
            }),
            Some(known @ (Presence::Listed | Presence::Lapsed { .. })) => *known = presence,
            Some(_) => return None,
        }
        Some(TargetEvent::Unconfirmed)
    }

    fn on_removed(&mut self, update: Update, id: TargetId) -> Option<TargetEvent> {
        let since = update.now;
        let target = self.find(id)?;
        let (presence, event) = match target.presence {
            Presence::Gone { .. } => return None,
            Presence::Listed | Presence::Unconfirmed { .. } if update.restored => {
                (Presence::Unconfirmed { since }, TargetEvent::Unconfirmed)
            }
            // Its grace period has not passed yet.
            Presence::Unconfirmed { .. } => return None,
            _ if update.store_stable => (Presence::Gone { since }, TargetEvent::Gone),
            Presence::Lapsed { .. } => return None,
            Presence::Listed | Presence::Unreadable => {
                (Presence::Lapsed { since }, TargetEvent::Lapsed)
            }
        };
        target.presence = presence;
        Some(event)
    }
}

/// Identity of the target that a change is about.
pub(crate) fn changed_id(change: &TargetChange) -> TargetId {
    match change {
        TargetChange::Present(entry) | TargetChange::Unconfirmed(entry) => entry.id,
        TargetChange::Unreadable(id) | TargetChange::Gone(id) => *id,
    }
}
