//! What is applied of one kind of object, whoever read it.
//!
//! The follower reads replicas, and the verifier the store itself. Each change is applied
//! once: a replica tells of it later than the store does, and by then the object may have
//! changed again.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sequoiatrail_adapter::{Kind, Object, ObjectEvent, WatchPage};
use sequoiatrail_cookie::{Balancer, Registration};
use sequoiatrail_events::Event;
use sequoiatrail_platform::{Error, Result, Verification, VerificationConfig};
use sequoiatrail_types::StoreRevision;

use super::changes::{
    apply_manifest, change_evacuations, log_registrations, registration, replace_evacuations,
};
use super::reader::{Reader, Source};
use super::shared::Shared;

/// Time from the first list for which a balancer that starts waits until it has been compared
/// with the store, which may not answer.
const FIRST_CHECK_LIMIT: Duration = Duration::from_millis(500);

/// The objects of one kind.
pub(super) struct Feed {
    kind: Kind,
    state: Mutex<State>,
}

struct State {
    /// Revision up to which all changes are applied; `None` before the first list.
    applied: Option<StoreRevision>,
    /// When the first list was applied.
    first_listed_at: Option<Duration>,
    /// Revision of the last change, or one between it and `applied`.
    last_change: StoreRevision,
    /// Revision of the whole store at the last comparison of this balancer.
    checked: Option<StoreRevision>,
    verification: Verification<StoreRevision>,
}

impl Feed {
    pub fn new(kind: Kind) -> Feed {
        let cfg = VerificationConfig::default();
        Feed {
            kind,
            state: Mutex::new(State {
                applied: None,
                first_listed_at: None,
                last_change: StoreRevision::default(),
                checked: None,
                verification: Verification::new(cfg, rand::random()),
            }),
        }
    }

    /// The kind of object.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Starts over, as another store is used.
    pub fn reset(&self) {
        let mut state = self.lock();
        state.applied = None;
        state.last_change = StoreRevision::default();
        state.checked = None;
        state.verification = Verification::new(VerificationConfig::default(), rand::random());
    }

    /// Reads a complete list and applies it. One that is older than what is applied changes
    /// nothing. One that is older than the list in use, which may be another balancer's, is
    /// read again from the store itself, unless it came from there after that list. Returns
    /// the revision to watch from.
    ///
    /// # Errors
    ///
    /// If a page can't be read; nothing has changed then.
    pub fn read_list(
        &self,
        shared: &Shared,
        reader: &Reader,
        source: Source,
    ) -> Result<StoreRevision> {
        let store = shared.store_number();
        let known_before = known_revision(&shared.lock(), self.kind);
        let mut listed = Listed::default();
        let revision = reader.list(source, |page| listed.add(shared, self.kind, page))?;
        let mut state = self.lock();
        if shared.store_number() != store {
            return Err(Error::Outdated);
        }
        state.first_listed_at.get_or_insert(shared.clock.now());
        let balancer = shared.lock();
        let known = known_revision(&balancer, self.kind);
        let may_be_older = source == Source::Replica || known > known_before;
        if let Some(known) = known.filter(|known| may_be_older && revision < *known) {
            drop((state, balancer));
            shared.log.emit(Event::ListOutdated {
                kind: self.kind.name(),
                revision: revision.number,
                known: known.number,
            });
            return self.read_list(shared, reader, Source::Store);
        }
        if let Some(applied) = state.applied.filter(|applied| revision < *applied) {
            return Ok(applied);
        }
        let stable = shared.is_store_stable(shared.clock.now());
        match self.kind {
            Kind::Manifest => {
                drop(balancer);
                let manifest = listed.manifest.iter();
                manifest.for_each(|o| apply_manifest(shared, o, "list"));
            }
            Kind::Targets => {
                replace_targets(shared, balancer, listed.registrations, revision, stable);
            }
            Kind::Evacuations => replace_evacuations(shared, balancer, listed.domains, revision),
            // Nothing follows them.
            Kind::Balancers => {}
        }
        // A list doesn't tell of deletions: the last one may be as new as the list.
        state.record_applied(revision, Some(revision));
        Ok(revision)
    }

    /// Applies the changes of a watch that are not applied yet. `store` is the number of the
    /// store when the watch began; what another store told changes nothing.
    pub fn apply_watch(&self, shared: &Shared, store: u64, page: WatchPage) {
        let mut state = self.lock();
        if shared.store_number() != store {
            return;
        }
        let applied = state.applied.unwrap_or_default();
        let mut events = page.events;
        events.retain(|event| event.object.revision > applied);
        let revision = page.revision.max(applied);
        let stable = shared.is_store_stable(shared.clock.now());
        match self.kind {
            Kind::Manifest => {
                let present = events.iter().filter(|e| !e.deleted);
                present.for_each(|e| apply_manifest(shared, &e.object, "watch"));
            }
            Kind::Targets => change_targets(shared, &events, revision, stable),
            Kind::Evacuations => change_evacuations(shared, &events, revision),
            // Nothing follows them.
            Kind::Balancers => {}
        }
        let last_change = events.iter().map(|e| e.object.revision).max();
        state.record_applied(revision, last_change);
    }

    /// Revision to compare with the store from, if that is due.
    pub fn due_check(&self, now: Duration) -> Option<StoreRevision> {
        let state = self.lock();
        let applied = state.applied?;
        state.verification.is_due(now, applied).then_some(applied)
    }

    /// Whether the first list is still to be compared with the store, by this balancer or
    /// another one; for [`FIRST_CHECK_LIMIT`] at most.
    pub fn awaits_first_check(&self, now: Duration) -> bool {
        let state = self.lock();
        let listed_at = state.first_listed_at;
        listed_at.is_some_and(|at| now < at + FIRST_CHECK_LIMIT)
            && state
                .applied
                .is_some_and(|applied| state.verification.awaits_first(applied))
    }

    /// Records that the store, at `revision`, had no further changes. Returns the last one.
    pub fn record_checked(&self, now: Duration, revision: StoreRevision) -> StoreRevision {
        let mut state = self.lock();
        state.checked = Some(revision);
        state.verification.record_checked(now);
        state.last_change
    }

    /// Whether the objects were compared with the store at this revision already: it counts
    /// the changes of all kinds.
    pub fn is_checked_at(&self, revision: StoreRevision) -> bool {
        self.lock().checked == Some(revision)
    }

    /// Records that a comparison with the store has failed.
    pub fn record_failed_check(&self, now: Duration) {
        self.lock().verification.record_failure(now);
    }

    /// Records the last change that another balancer has read from the store itself.
    /// Returns whether it is applied here, so that nothing is missing.
    pub fn record_heard(&self, now: Duration, last_change: StoreRevision) -> bool {
        let mut state = self.lock();
        let Some(applied) = state.applied else {
            return false;
        };
        state.verification.record_heard(now, last_change, applied);
        last_change <= applied
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record_applied(&mut self, revision: StoreRevision, last_change: Option<StoreRevision>) {
        self.applied = self.applied.max(Some(revision));
        let last_change = last_change.unwrap_or_default();
        self.last_change = self.last_change.max(last_change);
    }
}

/// What is kept of the pages of a list: content of other writers isn't.
#[derive(Default)]
struct Listed {
    registrations: Vec<Registration>,
    domains: Vec<Arc<str>>,
    manifest: Option<Object>,
}

impl Listed {
    fn add(&mut self, shared: &Shared, kind: Kind, page: Vec<Object>) {
        for object in page {
            match kind {
                Kind::Targets => {
                    let registration = registration(shared, &object, false);
                    self.registrations.extend(registration);
                }
                Kind::Evacuations => self.domains.push(Arc::from(object.name)),
                Kind::Manifest if object.name == Kind::MANIFEST_NAME => {
                    self.manifest = Some(object);
                }
                Kind::Manifest | Kind::Balancers => {}
            }
        }
    }
}

/// Revision of the list in use, which may be another balancer's. The manifest has its own
/// order of versions.
fn known_revision(balancer: &Balancer, kind: Kind) -> Option<StoreRevision> {
    match kind {
        Kind::Targets => Some(balancer.directory().revision()),
        Kind::Evacuations => Some(balancer.evacuations().revision()),
        Kind::Manifest | Kind::Balancers => None,
    }
}

fn replace_targets(
    shared: &Shared,
    mut balancer: MutexGuard<'_, Balancer>,
    list: Vec<Registration>,
    revision: StoreRevision,
    stable: bool,
) {
    let now = shared.clock.now();
    let outcome = balancer.replace_registrations(now, revision, list, stable);
    drop(balancer);
    log_registrations(shared, &outcome, revision, "list");
}

fn change_targets(shared: &Shared, events: &[ObjectEvent], revision: StoreRevision, stable: bool) {
    let changes = events
        .iter()
        .filter_map(|e| registration(shared, &e.object, e.deleted));
    let changes = changes.collect();
    let now = shared.clock.now();
    let outcome = shared
        .lock()
        .change_registrations(now, revision, changes, stable);
    log_registrations(shared, &outcome, revision, "watch");
}
