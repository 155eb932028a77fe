//! Compares what was read from replicas with the store itself, on a dedicated thread.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sequoiatrail_adapter::Kind;
use sequoiatrail_events::Event;
use sequoiatrail_platform::{Error, Result};
use sequoiatrail_types::StoreRevision;

use super::feed::Feed;
use super::peers::StoreCheckSender;
use super::reader::{Reader, Source};
use super::shared::Shared;
use crate::counters::Count;

/// Interval between checks whether a comparison is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same until this balancer can serve, which waits for the first comparisons.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Compares the objects of some kinds with the store.
pub(super) struct Verifier {
    shared: Arc<Shared>,
    readers: Vec<(Kind, Reader)>,
    /// Tells other balancers, if there are any.
    check_sender: Option<StoreCheckSender>,
}

impl Verifier {
    pub fn new(
        shared: &Arc<Shared>,
        kinds: &[Kind],
        check_sender: Option<StoreCheckSender>,
    ) -> Verifier {
        let reader = |kind: &Kind| (*kind, Reader::new(shared, *kind));
        Verifier {
            shared: Arc::clone(shared),
            readers: kinds.iter().map(reader).collect(),
            check_sender,
        }
    }

    /// Runs until the balancer shuts down.
    pub fn run(self) {
        while !self.shared.is_shut_down() {
            let interval = match self.shared.could_serve() {
                true => CHECK_INTERVAL,
                false => START_CHECK_INTERVAL,
            };
            thread::sleep(interval);
            for (kind, reader) in &self.readers {
                self.check_if_due(*kind, reader);
            }
        }
    }

    fn check_if_due(&self, kind: Kind, reader: &Reader) {
        let started = self.shared.clock.now();
        let feed = self.shared.feed(kind);
        // The follower tries a store that fails.
        if self.shared.store_breaker().is_failing(kind.name()) {
            return;
        }
        let Some(applied) = feed.due_check(started) else {
            return;
        };
        match self.check(feed, reader, applied) {
            Ok(revision) => {
                self.record_checked(kind, started, revision);
                // Where nothing has changed in the store, nothing has in other kinds.
                let others = self.readers.iter().map(|(other, _)| *other);
                others
                    .filter(|other| *other != kind)
                    .filter(|other| self.shared.feed(*other).is_checked_at(revision))
                    .for_each(|other| self.record_checked(other, started, revision));
            }
            Err(error) => {
                self.shared.check_counters.add(Count::StoreChecksFailed, 1);
                let now = self.shared.clock.now();
                feed.record_failed_check(now);
                self.shared.record_store_failure(now);
                self.shared.log.emit(Event::CheckFailed {
                    kind: kind.name(),
                    error: error.to_string(),
                });
            }
        }
    }

    fn record_checked(&self, kind: Kind, started: Duration, revision: StoreRevision) {
        let now = self.shared.clock.now();
        let last_change = self.shared.feed(kind).record_checked(now, revision);
        self.shared.record_current(kind, started);
        if let Some(sender) = &self.check_sender {
            sender.send(kind, last_change);
        }
    }

    /// Applies what the store has and the replicas had not yet.
    /// Returns the store's revision.
    fn check(&self, feed: &Feed, reader: &Reader, applied: StoreRevision) -> Result<StoreRevision> {
        self.shared.check_counters.add(Count::StoreChecks, 1);
        let store = self.shared.store_number();
        match reader.watch(applied, Duration::ZERO, Source::Store) {
            Ok(page) => {
                if !page.events.is_empty() {
                    self.shared.check_counters.add(Count::StoreChecksBehind, 1);
                    self.shared.log.emit(Event::ReplicaBehind {
                        kind: feed.kind().name(),
                        changes: page.events.len(),
                        applied: applied.number,
                        revision: page.revision.number,
                    });
                }
                let revision = page.revision;
                feed.apply_watch(&self.shared, store, page);
                match self.shared.store_number() == store {
                    true => Ok(revision),
                    false => Err(Error::Outdated),
                }
            }
            Err(Error::HistoryExpired) => feed.read_list(&self.shared, reader, Source::Store),
            Err(e) => Err(e),
        }
    }
}
