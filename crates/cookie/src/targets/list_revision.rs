//! Revision of a list that is followed in the store.

use sequoiatrail_types::StoreRevision;

/// Revision of a list, and where the list came from.
///
/// Lists and changes of the store apply in the order of their revisions. A list of
/// another balancer, which may use another store, gives way to the next list from the
/// store whatever its revision.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListRevision {
    current: StoreRevision,
    loaded: bool,
    from_peer: bool,
}

/// A list that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AcceptedList {
    /// Whether it is the first one since the store was restored from a copy: what it
    /// lacks may only be lost there.
    pub restored: bool,
}

impl ListRevision {
    /// Revision up to which lists and changes were applied.
    pub fn current(&self) -> StoreRevision {
        self.current
    }

    /// Whether a complete list was ever applied.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether the last complete list was another balancer's.
    pub fn is_from_peer(&self) -> bool {
        self.from_peer
    }

    /// Forgets the revision, so that the next list applies.
    pub fn forget(&mut self) {
        self.current = StoreRevision::default();
    }

    /// Takes note of a list from the store; `None` if it is older than what is known.
    pub fn accept_list(&mut self, revision: StoreRevision) -> Option<AcceptedList> {
        if self.loaded && !self.from_peer && revision < self.current {
            return None;
        }
        let restored = self.loaded && revision.era > self.current.era;
        self.record_list(revision, false);
        Some(AcceptedList { restored })
    }

    /// Takes note of another balancer's list; `None` unless it is newer or the first.
    pub fn accept_peer_list(&mut self, revision: StoreRevision) -> Option<AcceptedList> {
        if self.loaded && revision <= self.current {
            return None;
        }
        let restored = self.loaded && revision.era > self.current.era;
        self.record_list(revision, true);
        Some(AcceptedList { restored })
    }

    /// Takes note of changes up to `revision`. Returns whether they apply: older ones
    /// don't, nor do those of a new era before its list.
    pub fn accept_changes(&mut self, revision: StoreRevision) -> bool {
        if revision < self.current || revision.era > self.current.era {
            return false;
        }
        self.current = revision;
        true
    }

    fn record_list(&mut self, revision: StoreRevision, from_peer: bool) {
        self.current = revision;
        self.loaded = true;
        self.from_peer = from_peer;
    }
}
