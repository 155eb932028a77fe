//! Which object in the store speaks for a target.
//!
//! Fault: another writer leaves objects among the registrations of targets. A target's
//! identity is a part of its object's name, so that two names may hold the same one. The
//! first object that can be read speaks for the identity for as long as the target is
//! known here; what becomes of the others changes nothing. Only an object that tells of a
//! later start takes the identity over: what spoke for it was a copy that outlived its target.

use std::cmp::Reverse;
use std::sync::Arc;

use hashbrown::HashMap;

use crate::targets::directory::{TargetChange, changed_id};
use crate::{Directory, TargetEntry, TargetEvent, TargetId};

/// Change of one object among the registrations in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Full name of the object.
    pub name: Arc<str>,
    /// Store revision at which the object was created.
    pub created: u64,
    /// What it says of the target whose identity its name holds.
    pub change: TargetChange,
}

/// Result of applying registrations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegistrationOutcome {
    /// Changes to targets.
    pub events: Vec<(TargetId, TargetEvent)>,
    /// Names of the objects that don't speak for the identity in their name.
    pub passed_over: Vec<Arc<str>>,
}

/// Object that speaks for a target.
#[derive(Clone, Debug)]
struct Speaker {
    name: Arc<str>,
    /// The start that it told of last; `None` if it told none.
    born_ms: Option<u64>,
}

/// The objects that speak for targets.
#[derive(Debug, Default)]
pub(crate) struct Registrations {
    /// Holds no target that the directory has forgotten for longer than a sweep.
    objects: HashMap<TargetId, Speaker>,
}

impl Registrations {
    /// Splits a complete list into the changes that apply and the names passed over. Of
    /// several readable objects for an identity that is new here, the one of the latest start
    /// speaks for it, and the oldest one of these.
    pub fn select_list(
        &mut self,
        mut list: Vec<Registration>,
    ) -> (Vec<TargetChange>, Vec<Arc<str>>) {
        list.sort_by_cached_key(|r| {
            let entry = present(&r.change);
            let born = Reverse(entry.and_then(|entry| entry.born_ms));
            (entry.is_none(), born, r.created, Arc::clone(&r.name))
        });
        self.select_changes(list)
    }

    /// Splits changes into those that apply and the names passed over.
    pub fn select_changes(
        &mut self,
        changes: Vec<Registration>,
    ) -> (Vec<TargetChange>, Vec<Arc<str>>) {
        let mut selected = Vec::with_capacity(changes.len());
        let mut passed_over = Vec::new();
        for registration in changes {
            match self.speaks(&registration) {
                true => selected.push(registration.change),
                false => passed_over.push(registration.name),
            }
        }
        (selected, passed_over)
    }

    /// Forgets the names of targets that are not in the directory.
    pub fn sweep(&mut self, directory: &Directory) {
        self.objects.retain(|id, _| directory.key_of(*id).is_some());
    }

    /// Forgets all names, as another store is used.
    pub fn forget(&mut self) {
        self.objects.clear();
    }

    /// Whether the object speaks for the identity in its name. One that can't be read takes
    /// no identity, but counts while no name is known, as for targets that peers told of.
    fn speaks(&mut self, registration: &Registration) -> bool {
        let id = changed_id(&registration.change);
        let entry = present(&registration.change);
        let born_ms = entry.and_then(|entry| entry.born_ms);
        let known = self.objects.get(&id);
        let is_other = known.is_some_and(|known| known.name != registration.name);
        if is_other && born_ms <= known.and_then(|known| known.born_ms) {
            return false;
        }
        if entry.is_some() {
            let name = Arc::clone(&registration.name);
            self.objects.insert(id, Speaker { name, born_ms });
        }
        true
    }
}

fn present(change: &TargetChange) -> Option<&TargetEntry> {
    match change {
        TargetChange::Present(entry) => Some(entry),
        _ => None,
    }
}
