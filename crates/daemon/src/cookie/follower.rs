//! Lists and watches one kind of object in the store, on a dedicated thread.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sequoiatrail_adapter::Kind;
use sequoiatrail_events::Event;
use sequoiatrail_platform::{BackoffConfig, Error, FollowConfig, FollowState, Result, Step};
use sequoiatrail_types::StoreRevision;

use super::feed::Feed;
use super::reader::{Reader, Source};
use super::shared::Shared;
use crate::counters::{Count, Counters};

/// Longest sleep of one step, so that the thread notices a shutdown.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// Backoff after failures; the store's rate limits allow this for all balancers.
const BACKOFF: BackoffConfig = BackoffConfig {
    initial_delay: Duration::from_millis(300),
    max_delay: Duration::from_millis(2_000),
};
/// The same for evacuations, which are rare, and which peers tell while the store is away.
const EVACUATIONS_BACKOFF: BackoffConfig = BackoffConfig {
    initial_delay: Duration::from_millis(1_000),
    max_delay: Duration::from_millis(2_500),
};
/// Mean delay from a change of the manifest or of evacuations to the next watch, to
/// batch consecutive changes; far below the required reaction time.
const MANIFEST_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Batch delay for targets, which change more often; a draining target keeps
/// serving for longer than this.
const TARGETS_BATCH_DELAY: Duration = Duration::from_millis(800);
/// A watch that returns without changes sooner than this is followed by a sleep of
/// the same length, to avoid a busy loop.
const MIN_WATCH_TIME: Duration = Duration::from_millis(200);
/// Time over which balancers spread their relists, to avoid a thundering herd.
const RESYNC_SPREAD: Duration = Duration::from_millis(200);

/// Keeps the balancer in sync with one kind of object.
pub(super) struct Follower {
    shared: Arc<Shared>,
    counters: Arc<Counters>,
    kind: Kind,
    reader: Reader,
    follow: FollowState<StoreRevision>,
    /// Start of the current outage.
    unreachable_since: Option<Duration>,
    relists: u64,
    /// Whether the next list may be stale. Its watch then reports what it lacks, unless
    /// the history in between is gone.
    list_stale: bool,
}

impl Follower {
    pub fn new(shared: Arc<Shared>, kind: Kind, watch_wait: Duration) -> Self {
        let cfg = FollowConfig {
            watch_wait,
            batch_delay: match kind {
                Kind::Targets => TARGETS_BATCH_DELAY,
                Kind::Manifest | Kind::Evacuations | Kind::Balancers => MANIFEST_BATCH_DELAY,
            },
            resync_jitter: RESYNC_SPREAD,
            backoff: match kind {
                Kind::Evacuations => EVACUATIONS_BACKOFF,
                _ => BACKOFF,
            },
            ..FollowConfig::default()
        };
        Follower {
            relists: shared.relists(),
            counters: shared.counters.for_thread(),
            reader: Reader::new(&shared, kind),
            shared,
            kind,
            follow: FollowState::new(cfg, rand::random()),
            unreachable_since: None,
            list_stale: true,
        }
    }

    /// Runs until the balancer shuts down.
    pub fn run(mut self) {
        while !self.shared.is_shut_down() {
            self.step();
        }
    }

    fn step(&mut self) {
        let relists = self.shared.relists();
        if std::mem::replace(&mut self.relists, relists) != relists {
            self.follow.restart();
            // The store may have failed unnoticed during a pause.
            self.shared.record_store_failure(self.shared.clock.now());
        }
        let now = self.shared.clock.now();
        let step = match self.shared.store_breaker().allows(now, self.kind.name()) {
            true => self.follow.next(now),
            false => Step::Wait(MAX_SLEEP),
        };
        let result = match step {
            Step::Wait(wait) => {
                thread::sleep(wait.min(MAX_SLEEP));
                return;
            }
            Step::List => self.list(),
            Step::Watch(after) => self.watch(after),
        };
        match result {
            Ok(revision) => self.record_success(revision),
            Err(e) => self.record_failure(&e),
        }
    }

    fn list(&mut self) -> Result<StoreRevision> {
        let source = match self.list_stale {
            true => Source::Replica,
            false => Source::Store,
        };
        let revision = self.feed().read_list(&self.shared, &self.reader, source)?;
        self.follow.listed(self.shared.clock.now(), revision);
        Ok(revision)
    }

    fn watch(&mut self, after: StoreRevision) -> Result<StoreRevision> {
        let wait = self.follow.config().watch_wait;
        let started = self.shared.clock.now();
        let store = self.shared.store_number();
        let page = self.reader.watch(after, wait, Source::Replica)?;
        // A stale response may have an older revision than requested.
        let revision = page.revision.max(after);
        let changes = page.events.len();
        if changes == 0 && self.shared.clock.now() < started + MIN_WATCH_TIME {
            thread::sleep(MIN_WATCH_TIME);
        }
        self.list_stale = true;
        self.feed().apply_watch(&self.shared, store, page);
        self.follow
            .watched(self.shared.clock.now(), revision, changes);
        Ok(revision)
    }

    fn feed(&self) -> &Feed {
        self.shared.feed(self.kind)
    }

    fn record_success(&mut self, revision: StoreRevision) {
        if self.kind == Kind::Targets {
            self.shared.confirm_targets(self.shared.clock.now());
        }
        if let Some(since) = self.unreachable_since.take() {
            self.shared.store_breaker().record_success(self.kind.name());
            self.shared.mark_store_recovered();
            let now = self.shared.clock.now();
            self.shared.log.emit(Event::StoreBack {
                kind: self.kind.name(),
                after_ms: now.saturating_sub(since).as_millis() as u64,
                revision: revision.number,
            });
        }
    }

    fn record_failure(&mut self, error: &Error) {
        self.counters.add(Count::StoreFailures, 1);
        let now = self.shared.clock.now();
        self.shared.record_store_failure(now);
        self.follow.failed(now, error);
        if matches!(error, Error::HistoryExpired | Error::Outdated) {
            // The store answers, so that no other balancer needs to be asked.
            self.list_stale = false;
            self.shared.log.emit(Event::HistoryDropped {
                kind: self.kind.name(),
                error: error.to_string(),
            });
            return;
        }
        let kind = self.kind.name();
        self.shared.store_breaker().record_failure(now, kind);
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(now);
            self.shared.mark_store_lost();
            self.shared.log.emit(Event::StoreLost {
                kind: self.kind.name(),
                error: error.to_string(),
            });
        }
    }
}
