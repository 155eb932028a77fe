//! The objects of the stand-in, without I/O.

use std::collections::{BTreeMap, VecDeque};

use serde_json::Value;

use crate::{Changes, Listing, Object, ObjectChange, Precondition, Revision};

/// Why the objects refused a request; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectsError {
    /// The condition does not hold; the revision in force, if the object is there.
    Conflict(Option<Revision>),
    /// Changes after that revision are not all kept.
    HistoryExpired,
}

/// Objects with revisions and a bounded history of changes.
#[derive(Debug)]
pub struct Objects {
    /// Revision of the last write.
    revision: Revision,
    objects: BTreeMap<String, Object>,
    /// Revision and key of the last changes, by revision. Values are those in
    /// force, since only the newest change of a key is ever told.
    history: VecDeque<(Revision, String)>,
    /// Most changes kept.
    history_limit: usize,
    /// Changes up to this revision are not all in `history`.
    expired: Revision,
}

impl Objects {
    /// No objects, and a history of at most `history_limit` changes.
    pub fn new(history_limit: usize) -> Self {
        Self {
            revision: Revision(0),
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            expired: Revision(0),
        }
    }

    /// Revision of the last write.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// An object.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes a value if the condition holds.
    pub fn put(
        &mut self,
        key: &str,
        value: Value,
        precondition: Precondition,
    ) -> Result<Revision, ObjectsError> {
        self.check(key, precondition)?;
        let revision = self.record(key);
        let object = Object {
            key: key.to_owned(),
            revision,
            value,
        };
        self.objects.insert(key.to_owned(), object);
        Ok(revision)
    }

    /// Deletes an object if the condition holds.
    pub fn delete(
        &mut self,
        key: &str,
        precondition: Precondition,
    ) -> Result<Revision, ObjectsError> {
        self.check(key, precondition)?;
        if self.objects.remove(key).is_none() {
            return Ok(self.revision);
        }
        Ok(self.record(key))
    }

    /// The objects under any of the prefixes.
    pub fn list(&self, prefixes: &[String]) -> Listing {
        let matching = self.objects.values().filter(|o| matches(prefixes, &o.key));
        Listing {
            revision: self.revision,
            objects: matching.cloned().collect(),
        }
    }

    /// The newest change of each key under any of the prefixes after a revision.
    pub fn changes_after(
        &self,
        prefixes: &[String],
        after: Revision,
    ) -> Result<Changes, ObjectsError> {
        if after < self.expired || after > self.revision {
            return Err(ObjectsError::HistoryExpired);
        }
        let newer = self.history.iter().filter(|(r, _)| *r > after);
        let newest: BTreeMap<&String, Revision> = newer
            .filter(|(_, key)| matches(prefixes, key))
            .map(|(revision, key)| (key, *revision))
            .collect();
        let change = |(key, revision): (&String, Revision)| ObjectChange {
            key: key.clone(),
            revision,
            value: self.get(key).map(|o| o.value.clone()),
        };
        let mut changes: Vec<_> = newest.into_iter().map(change).collect();
        changes.sort_by_key(|c| c.revision);
        Ok(Changes {
            revision: self.revision,
            changes,
        })
    }

    /// Forgets the history, as a platform does after a while.
    pub fn expire_history(&mut self) {
        self.history.clear();
        // One past the last write: also a watcher that missed nothing lists again.
        self.revision = Revision(self.revision.0 + 1);
        self.expired = self.revision;
    }

    fn check(&self, key: &str, precondition: Precondition) -> Result<(), ObjectsError> {
        let current = self.objects.get(key).map(|o| o.revision);
        let holds = match precondition {
            Precondition::Any => true,
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => current == Some(revision),
        };
        if holds {
            return Ok(());
        }
        Err(ObjectsError::Conflict(current))
    }

    fn record(&mut self, key: &str) -> Revision {
        self.revision = Revision(self.revision.0 + 1);
        self.history.push_back((self.revision, key.to_owned()));
        if self.history.len() > self.history_limit
            && let Some((dropped, _)) = self.history.pop_front()
        {
            self.expired = dropped;
        }
        self.revision
    }
}

fn matches(prefixes: &[String], key: &str) -> bool {
    prefixes.iter().any(|p| key.starts_with(p.as_str()))
}
