//! Directory of current and recently removed targets.

use std::sync::Arc;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};
use sequoiatrail_types::StoreRevision;

use crate::list_revision::{AcceptedList, ListRevision};
use crate::presence::{Presence, Target};
use crate::{Cookie, Health, Lifecycle, TargetEntry, TargetEvent, TargetId};

/// Index of a target in the directory; reused after the target was removed from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(u32);

/// Change of one entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetChange {
    /// The entry was created or updated.
    Present(TargetEntry),
    /// The entry can't be decoded; its target gets no new flows.
    Unreadable(TargetId),
    /// The entry was deleted.
    Gone(TargetId),
    /// Another balancer knows the target, which a restored store lacks.
    Unconfirmed(TargetEntry),
}

/// Circumstances of an update.
#[derive(Clone, Copy)]
struct Update {
    now: Duration,
    /// Whether the store had no failures lately.
    store_stable: bool,
    /// Whether it is the first list since the store was restored from a copy.
    restored: bool,
}

/// Targets indexed by identity, cookie and service.
///
/// If several targets share a cookie, the one with the lowest identity that is not
/// gone owns it; the others get no new flows. Every balancer picks the same owner.
#[derive(Debug, Default)]
pub struct Directory {
    revision: ListRevision,
    /// Failure domains whose targets accept no new flows.
    evacuated: HashSet<Arc<str>>,
    /// Unused indexes hold `None` and are listed in `free_keys`.
    targets: Vec<Option<Target>>,
    free_keys: Vec<TargetKey>,
    by_id: HashMap<TargetId, TargetKey>,
    by_cookie: HashMap<Cookie, TargetKey>,
    /// Targets that accept new flows, own their cookie and are not evacuated.
    by_service: HashMap<Arc<str>, Vec<TargetKey>>,
}

impl Directory {
    /// Store revision up to which changes were applied.
    pub fn revision(&self) -> StoreRevision {
        self.revision.current()
    }

    /// Whether a complete list was ever applied.
    pub fn is_loaded(&self) -> bool {
        self.revision.is_loaded()
    }

    /// Entries of targets that are listed in the store.
    pub fn listed(&self) -> impl Iterator<Item = &TargetEntry> {
        let targets = self.targets.iter().flatten();
        let listed = targets.filter(|t| t.presence == Presence::Listed);
        listed.map(|t| &t.entry)
    }

    /// Entries of targets that a restored store lacks.
    pub(crate) fn unconfirmed(&self) -> impl Iterator<Item = &TargetEntry> {
        let targets = self.targets.iter().flatten();
        let unconfirmed = targets.filter(|t| matches!(t.presence, Presence::Unconfirmed { .. }));
        unconfirmed.map(|t| &t.entry)
    }

    /// Targets whose entry can't be decoded.
    pub(crate) fn unreadable_entries(&self) -> impl Iterator<Item = TargetId> {
        let targets = self.targets.iter().flatten();
        let unreadable = targets.filter(|t| t.presence == Presence::Unreadable);
        unreadable.map(|t| t.entry.id)
    }

    /// Resets the revision and keeps the targets.
    pub(crate) fn forget_revision(&mut self) {
        self.revision.forget();
    }

    /// Changes the failure domains whose targets accept no new flows; open ones go on.
    pub(crate) fn set_evacuated(&mut self, domains: HashSet<Arc<str>>) {
        self.evacuated = domains;
        self.rebuild_indexes();
    }

    /// Applies the list of another balancer, which follows the store independently, if
    /// no list is loaded yet or the revision is newer.
    pub(crate) fn replace_from_peer(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        list: Vec<TargetChange>,
    ) -> Vec<(TargetId, TargetEvent)> {
        let Some(accepted) = self.revision.accept_peer_list(revision) else {
            return Vec::new();
        };
        self.replace_accepted(now, accepted, list, false)
    }

    /// Applies a complete list as of `revision`; an older list changes nothing.
    /// `store_stable` says that the store had no failures lately.
    ///
    /// The first list of a new era comes from a store that was restored from a copy.
    /// What it lacks may only be lost there, and what it has may be out of date.
    pub fn replace(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        list: Vec<TargetChange>,
        store_stable: bool,
    ) -> Vec<(TargetId, TargetEvent)> {
        let Some(accepted) = self.revision.accept_list(revision) else {
            return Vec::new();
        };
        self.replace_accepted(now, accepted, list, store_stable)
    }

    fn replace_accepted(
        &mut self,
        now: Duration,
        accepted: AcceptedList,
        list: Vec<TargetChange>,
        store_stable: bool,
    ) -> Vec<(TargetId, TargetEvent)> {
        let update = Update {
            now,
            store_stable,
            restored: accepted.restored,
        };
        let present: HashSet<TargetId> = list.iter().map(changed_id).collect();
        let known: Vec<TargetId> = self.by_id.keys().copied().collect();
        let removed = known.into_iter().filter(|id| !present.contains(id));
        let mut changes = list;
        changes.extend(removed.map(TargetChange::Gone));
        self.apply_changes(update, changes)
    }

    /// Applies changes up to `revision`; older ones change nothing, nor do changes of
    /// a new era before its list.
    pub fn apply(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        changes: Vec<TargetChange>,
        store_stable: bool,
    ) -> Vec<(TargetId, TargetEvent)> {
        if !self.revision.accept_changes(revision) {
            return Vec::new();
        }
        let update = Update {
            now,
            store_stable,
            restored: false,
        };
        self.apply_changes(update, changes)
    }

    fn apply_changes(
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

    /// Marks missing entries as gone after their grace period and removes targets that
    /// are gone for longer than `retention`.
    pub fn sweep(&mut self, now: Duration, retention: Duration) -> Vec<(TargetId, TargetEvent)> {
        let mut events = Vec::new();
        let mut forgotten = false;
        for (index, slot) in self.targets.iter_mut().enumerate() {
            let Some(target) = slot else { continue };
            match target.presence {
                missing if missing.has_expired(now) => {
                    target.presence = Presence::Gone { since: now };
                    events.push((target.entry.id, TargetEvent::Gone));
                }
                Presence::Gone { since } if now >= since + retention => {
                    self.by_id.remove(&target.entry.id);
                    *slot = None;
                    self.free_keys.push(TargetKey(index as u32));
                    forgotten = true;
                }
                _ => {}
            }
        }
        if forgotten || !events.is_empty() {
            self.rebuild_indexes();
        }
        events
    }

    /// The target that owns a cookie.
    pub fn by_cookie(&self, cookie: Cookie) -> Option<TargetKey> {
        self.by_cookie.get(&cookie).copied()
    }

    /// The key of a target.
    pub(crate) fn key_of(&self, id: TargetId) -> Option<TargetKey> {
        self.by_id.get(&id).copied()
    }

    /// Targets of a service that accept new flows.
    pub fn for_service(&self, service: &str) -> &[TargetKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Makes a target count as unreachable until it answers.
    pub(crate) fn mark_unproven(&mut self, id: TargetId) {
        if let Some(target) = self.find(id) {
            target.health.mark_unproven();
        }
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

    /// Targets that new flows may go to.
    pub(crate) fn usable(&self) -> impl Iterator<Item = &Target> {
        let keys = self.by_service.values().flatten();
        keys.filter_map(|key| self.get(*key))
    }

    pub(crate) fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key.0 as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.targets.get_mut(key.0 as usize)?.as_mut()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().flatten()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.targets.iter_mut().flatten()
    }

    fn on_present(&mut self, update: Update, entry: TargetEntry) -> Option<TargetEvent> {
        let cold_until = update.now + entry.cold_for;
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

    fn find(&mut self, id: TargetId) -> Option<&mut Target> {
        let key = *self.by_id.get(&id)?;
        self.get_mut(key)
    }

    fn insert(&mut self, target: Target) {
        let id = target.entry.id;
        let key = match self.free_keys.pop() {
            Some(key) => key,
            None => {
                self.targets.push(None);
                TargetKey(self.targets.len() as u32 - 1)
            }
        };
        self.targets[key.0 as usize] = Some(target);
        self.by_id.insert(id, key);
    }

    /// Rebuilds the indexes from scratch; the directory is small and rarely changes.
    fn rebuild_indexes(&mut self) {
        self.by_cookie.clear();
        self.by_service.clear();
        let mut order: Vec<(bool, TargetId, TargetKey)> = Vec::with_capacity(self.by_id.len());
        for (index, target) in self.targets.iter().enumerate() {
            let Some(target) = target else { continue };
            order.push((target.is_gone(), target.entry.id, TargetKey(index as u32)));
        }
        order.sort_unstable();
        for (_, id, key) in order {
            let owner = *self.by_cookie.entry(id.cookie()).or_insert(key);
            let Some(target) = self.targets[key.0 as usize].as_ref() else {
                continue;
            };
            let evacuated = self.evacuated.contains(&target.entry.domain);
            if owner == key && target.accepts_new_flows() && !evacuated {
                let service = Arc::clone(&target.entry.service);
                self.by_service.entry(service).or_default().push(key);
            }
        }
    }
}

fn changed_id(change: &TargetChange) -> TargetId {
    match change {
        TargetChange::Present(entry) | TargetChange::Unconfirmed(entry) => entry.id,
        TargetChange::Unreadable(id) | TargetChange::Gone(id) => *id,
    }
}
