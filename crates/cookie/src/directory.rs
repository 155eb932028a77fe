//! Directory of current and recently removed targets.

use std::sync::Arc;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};

use crate::{Cookie, Health, Lifecycle, Load, TargetEntry, TargetId};

/// Grace period for an entry that vanished while the store was unstable: it may come
/// back, so its flows are kept.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

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
}

/// State of a target's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// The target was removed or has died.
    Gone {
        /// When this balancer learned of it.
        since: Duration,
    },
}

/// A target with its state on this balancer.
#[derive(Debug)]
pub(crate) struct Target {
    pub entry: TargetEntry,
    pub presence: Presence,
    /// End of the warm-up.
    pub cold_until: Duration,
    pub load: Load,
    pub health: Health,
}

impl Target {
    /// Whether it accepts new flows.
    pub fn accepts_new_flows(&self) -> bool {
        self.presence == Presence::Listed && self.entry.lifecycle == Lifecycle::Ready
    }

    /// Whether it is gone, so that its flows can't continue.
    pub fn is_gone(&self) -> bool {
        matches!(self.presence, Presence::Gone { .. })
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
    /// The target was removed or has died.
    Gone,
}

/// Targets indexed by identity, cookie and service.
///
/// If several targets share a cookie, the one with the lowest identity that is not
/// gone owns it; the others get no new flows. Every balancer picks the same owner.
#[derive(Debug, Default)]
pub struct Directory {
    revision: u64,
    loaded: bool,
    /// Whether the targets came from another balancer, which may use another store:
    /// the next list from the store then applies whatever its revision.
    from_peer: bool,
    /// Unused indexes hold `None` and are listed in `free_keys`.
    targets: Vec<Option<Target>>,
    free_keys: Vec<TargetKey>,
    by_id: HashMap<TargetId, TargetKey>,
    by_cookie: HashMap<Cookie, TargetKey>,
    /// Targets that accept new flows and own their cookie.
    by_service: HashMap<Arc<str>, Vec<TargetKey>>,
}

impl Directory {
    /// Store revision up to which changes were applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a complete list was ever applied.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Entries of targets that are listed in the store.
    pub fn listed(&self) -> impl Iterator<Item = &TargetEntry> {
        let targets = self.targets.iter().flatten();
        let listed = targets.filter(|t| t.presence == Presence::Listed);
        listed.map(|t| &t.entry)
    }

    /// Targets whose entry can't be decoded.
    pub(crate) fn unreadable_entries(&self) -> impl Iterator<Item = TargetId> {
        let targets = self.targets.iter().flatten();
        let unreadable = targets.filter(|t| t.presence == Presence::Unreadable);
        unreadable.map(|t| t.entry.id)
    }

    /// Resets the revision and keeps the targets.
    pub(crate) fn forget_revision(&mut self) {
        self.revision = 0;
    }

    /// Applies the list of another balancer, which follows the store independently, if
    /// no list is loaded yet or the revision is newer.
    pub(crate) fn replace_from_peer(
        &mut self,
        now: Duration,
        revision: u64,
        list: Vec<TargetChange>,
    ) -> Vec<(TargetId, TargetEvent)> {
        if self.loaded && revision <= self.revision {
            return Vec::new();
        }
        let events = self.replace(now, revision, list, false);
        self.from_peer = true;
        events
    }

    /// Applies a complete list as of `revision`; an older list changes nothing.
    /// `store_stable` says that the store had no failures lately.
    pub fn replace(
        &mut self,
        now: Duration,
        revision: u64,
        list: Vec<TargetChange>,
        store_stable: bool,
    ) -> Vec<(TargetId, TargetEvent)> {
        if self.loaded && !self.from_peer && revision < self.revision {
            return Vec::new();
        }
        self.from_peer = false;
        self.revision = revision;
        let present: HashSet<TargetId> = list.iter().map(changed_id).collect();
        let known: Vec<TargetId> = self.by_id.keys().copied().collect();
        let removed = known.into_iter().filter(|id| !present.contains(id));
        let mut changes = list;
        changes.extend(removed.map(TargetChange::Gone));
        self.loaded = true;
        self.apply(now, revision, changes, store_stable)
    }

    /// Applies changes up to `revision`; older ones change nothing.
    pub fn apply(
        &mut self,
        now: Duration,
        revision: u64,
        changes: Vec<TargetChange>,
        store_stable: bool,
    ) -> Vec<(TargetId, TargetEvent)> {
        if revision < self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let mut events = Vec::new();
        for change in changes {
            let id = changed_id(&change);
            let event = match change {
                TargetChange::Present(entry) => self.on_present(now, entry),
                TargetChange::Unreadable(_) => self.on_unreadable(id),
                TargetChange::Gone(_) => self.on_removed(now, id, store_stable),
            };
            events.extend(event.map(|event| (id, event)));
        }
        if !events.is_empty() {
            self.rebuild_indexes();
        }
        events
    }

    /// Marks lapsed entries as gone after the grace period and removes targets that
    /// are gone for longer than `retention`.
    pub fn sweep(&mut self, now: Duration, retention: Duration) -> Vec<(TargetId, TargetEvent)> {
        let mut events = Vec::new();
        let mut forgotten = false;
        for (index, slot) in self.targets.iter_mut().enumerate() {
            let Some(target) = slot else { continue };
            match target.presence {
                Presence::Lapsed { since } if now >= since + LAPSE_GRACE => {
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

    fn on_present(&mut self, now: Duration, entry: TargetEntry) -> Option<TargetEvent> {
        let cold_until = now + entry.cold_for;
        let Some(target) = self.find(entry.id) else {
            self.insert(Target {
                entry,
                presence: Presence::Listed,
                cold_until,
                load: Load::default(),
                health: Health::default(),
            });
            return Some(TargetEvent::Added);
        };
        let returned = target.presence != Presence::Listed;
        let restarted = was_restarted(&target.entry, &entry);
        if target.entry == entry && !returned {
            return None;
        }
        target.entry = entry;
        target.presence = Presence::Listed;
        target.cold_until = cold_until;
        if !restarted {
            return Some(TargetEvent::Changed);
        }
        target.health = Health::default();
        Some(TargetEvent::Reborn)
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

    fn on_removed(
        &mut self,
        now: Duration,
        id: TargetId,
        store_stable: bool,
    ) -> Option<TargetEvent> {
        let target = self.find(id)?;
        let lapsed = matches!(target.presence, Presence::Lapsed { .. });
        if target.is_gone() || (lapsed && !store_stable) {
            return None;
        }
        if store_stable {
            target.presence = Presence::Gone { since: now };
            return Some(TargetEvent::Gone);
        }
        target.presence = Presence::Lapsed { since: now };
        Some(TargetEvent::Lapsed)
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
            if owner == key && target.accepts_new_flows() {
                let service = Arc::clone(&target.entry.service);
                self.by_service.entry(service).or_default().push(key);
            }
        }
    }
}

fn changed_id(change: &TargetChange) -> TargetId {
    match change {
        TargetChange::Present(entry) => entry.id,
        TargetChange::Unreadable(id) | TargetChange::Gone(id) => *id,
    }
}

fn was_restarted(old: &TargetEntry, new: &TargetEntry) -> bool {
    match (old.born_ms, new.born_ms) {
        (Some(old), Some(new)) => old != new,
        _ => false,
    }
}
