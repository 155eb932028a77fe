//! Directory of current and recently removed targets.

mod changes;

use std::sync::Arc;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};
use sequoiatrail_types::StoreRevision;

pub(crate) use changes::changed_id;

use changes::Update;

use crate::targets::list_revision::{AcceptedList, ListRevision};
use crate::targets::presence::{Presence, Target};
use crate::{Cookie, TargetEntry, TargetEvent, TargetId};

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

/// Targets indexed by identity, cookie and service.
///
/// If several targets share a cookie, the one with the lowest identity that is not
/// gone owns it; the others get no new flows. Every balancer picks the same owner.
#[derive(Debug, Default)]
pub struct Directory {
    revision: ListRevision,
    /// Whether any entry told when its target started: such targets may start again under
    /// their identity.
    tells_starts: bool,
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

    /// Whether the list in use is another balancer's.
    pub(crate) fn is_from_peer(&self) -> bool {
        self.revision.is_from_peer()
    }

    /// Whether a target that is gone may start again under its identity.
    pub(crate) fn may_start_again(&self) -> bool {
        self.tells_starts
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

    /// Marks missing entries as gone after their grace period and removes targets that
    /// are gone for longer than `retention`. The list was last compared with the store at
    /// `compared_at`.
    pub fn sweep(
        &mut self,
        now: Duration,
        compared_at: Option<Duration>,
        retention: Duration,
    ) -> Vec<(TargetId, TargetEvent)> {
        let mut events = Vec::new();
        let mut forgotten = false;
        for (index, slot) in self.targets.iter_mut().enumerate() {
            let Some(target) = slot else { continue };
            match target.presence {
                missing if missing.has_expired(now, compared_at) => {
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
