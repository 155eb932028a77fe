//! Object store of the stand-in, without I/O.

use std::collections::{BTreeMap, VecDeque};

use serde_json::Value;

use crate::{Changes, Listing, Object, ObjectChange, Precondition, Revision};

/// Why a request was refused; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectsError {
    /// The precondition failed; contains the current revision if the object exists.
    Conflict(Option<Revision>),
    /// The history no longer contains all changes after the requested revision.
    HistoryExpired,
}

/// Objects with revisions and a bounded change history.
#[derive(Debug)]
pub struct Objects {
    /// Revision of the last write.
    revision: Revision,
    objects: BTreeMap<String, Object>,
    /// Revision and key of the latest changes, in revision order. Holds no values,
    /// since only the latest change of a key is reported.
    history: VecDeque<(Revision, String)>,
    /// Max number of changes in `history`.
    history_limit: usize,
    /// Changes up to this revision may be missing from `history`.
    expired: Revision,
}

impl Objects {
    /// Creates an empty store with a history of at most `history_limit` changes.
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

    /// Reads an object.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes a value if the precondition holds.
    pub fn put(
        &mut self,
        key: &str,
        value: Value,
        precondition: Precondition,
    ) -> Result<Revision, ObjectsError> {
        self.check(key, precondition)?;
        let revision = self.record_change(key);
        let object = Object {
            key: key.to_owned(),
            revision,
            value,
        };
        self.objects.insert(key.to_owned(), object);
        Ok(revision)
    }

    /// Deletes an object if the precondition holds.
    pub fn delete(
        &mut self,
        key: &str,
        precondition: Precondition,
    ) -> Result<Revision, ObjectsError> {
        self.check(key, precondition)?;
        if self.objects.remove(key).is_none() {
            return Ok(self.revision);
        }
        Ok(self.record_change(key))
    }

    /// Lists the objects under any of the prefixes.
    pub fn list(&self, prefixes: &[String]) -> Listing {
        let matching = self.objects.values().filter(|o| matches(prefixes, &o.key));
        Listing {
            revision: self.revision,
            objects: matching.cloned().collect(),
        }
    }

    /// Returns the latest change after a revision of each key under any of the prefixes.
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

    /// Expires the history, as a real platform does after some time.
    pub fn expire_history(&mut self) {
        self.history.clear();
        // Past the last write, so that even an up-to-date watcher has to list again.
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

    fn record_change(&mut self, key: &str) -> Revision {
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
