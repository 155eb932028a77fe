//! Following one kind of object in the store, on a thread of its own.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sequoiatrail_adapter::{
    Kind, ObjectEvent, check_status, decode_list, decode_watch, list_path, watch_path,
};
use sequoiatrail_events::Event;
use sequoiatrail_platform::{
    BackoffConfig, Error, FollowConfig, FollowState, Method, Reply, Result, Revision, Step,
};

use super::changes::{apply_manifest, log_news, target_change};
use super::shared::Shared;
use crate::counters::{Count, Counters};

/// Time without trouble after which an entry that vanishes is really gone:
/// entries that lapse while the store is away may come back.
const SETTLED: Duration = Duration::from_secs(6);
/// Longest sleep of one step, so that the thread can end.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// Waits after failures; the store's rates allow for such waits of all balancers.
const BACKOFF: BackoffConfig = BackoffConfig {
    initial_delay: Duration::from_millis(300),
    max_delay: Duration::from_millis(1_000),
};
/// Mean time from a change of the manifest to the next watch, so that changes in
/// a row come together; far below the bound for manifests.
const SETTLE_MANIFEST: Duration = Duration::from_millis(400);
/// The same for targets, which change more often; a leaving target serves on for
/// longer.
const SETTLE_TARGETS: Duration = Duration::from_millis(800);
/// Longest time of a list, which a slow store may need.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Least time of a watch without changes; a store that answers sooner is not
/// asked again at once.
const LEAST_WATCH: Duration = Duration::from_millis(200);
/// Time over which balancers spread out that must list again.
const RESYNC_SPREAD: Duration = Duration::from_millis(200);

/// Follows one kind of object.
pub(super) struct Follower {
    shared: Arc<Shared>,
    counters: Arc<Counters>,
    kind: Kind,
    follow: FollowState,
    /// When the store last failed to answer.
    last_trouble: Option<Duration>,
    /// When the present trouble began.
    lost_since: Option<Duration>,
    relists: u64,
}

impl Follower {
    pub fn new(shared: Arc<Shared>, kind: Kind, watch_wait: Duration) -> Self {
        let cfg = FollowConfig {
            watch_wait,
            batch_delay: match kind {
                Kind::Targets => SETTLE_TARGETS,
                Kind::Manifest | Kind::Balancers => SETTLE_MANIFEST,
            },
            resync_jitter: RESYNC_SPREAD,
            backoff: BACKOFF,
            ..FollowConfig::default()
        };
        Follower {
            relists: shared.relists(),
            counters: shared.counters.for_thread(),
            shared,
            kind,
            follow: FollowState::new(cfg, rand::random()),
            last_trouble: None,
            lost_since: None,
        }
    }

    /// Follows until the process ends.
    pub fn run(mut self) {
        while !self.shared.has_ended() {
            self.step();
        }
    }

    fn step(&mut self) {
        let relists = self.shared.relists();
        if std::mem::replace(&mut self.relists, relists) != relists {
            self.follow.restart();
            // The store may have had trouble meanwhile, and nobody saw it.
            self.last_trouble = Some(self.shared.clock.now());
        }
        let step = self.follow.next(self.shared.clock.now());
        let done = match step {
            Step::Wait(wait) => {
                thread::sleep(wait.min(MAX_SLEEP));
                return;
            }
            Step::List => self.list(),
            Step::Watch(after) => self.watch(after),
        };
        match done {
            Ok(revision) => self.answered(revision),
            Err(e) => self.failed(&e),
        }
    }

    fn list(&mut self) -> Result<Revision> {
        let mut objects = Vec::new();
        let mut unreadable = 0;
        let mut after = None;
        let mut first_revision = None;
        loop {
            self.counters.add(Count::StoreLists, 1);
            let path = list_path(self.kind, after.as_deref());
            let page = decode_list(&self.get(&path, LIST_TIMEOUT)?)?;
            // Later pages may show later changes; a watch from the first page's
            // revision tells them again.
            let revision = *first_revision.get_or_insert(page.revision);
            unreadable += page.unreadable;
            objects.extend(page.objects);
            after = page.next_after;
            if after.is_none() {
                self.log_unreadable(unreadable);
                self.take_list(objects, revision);
                self.follow.listed(self.shared.clock.now(), revision);
                return Ok(revision);
            }
        }
    }

    fn watch(&mut self, after: Revision) -> Result<Revision> {
        self.counters.add(Count::StoreWatches, 1);
        let wait = self.follow.config().watch_wait;
        let limit = wait + self.shared.store().config().call_timeout;
        let path = watch_path(self.kind, after, wait, true);
        let begun = self.shared.clock.now();
        let reply = self.get(&path, limit)?;
        let page = decode_watch(&reply)?;
        self.log_unreadable(page.unreadable);
        // A stale answer may show an older revision than was asked for.
        let revision = page.revision.max(after);
        let changes = page.events.len();
        if changes == 0 && self.shared.clock.now() < begun + LEAST_WATCH {
            thread::sleep(LEAST_WATCH);
        }
        self.take_events(page.events, revision);
        self.follow
            .watched(self.shared.clock.now(), revision, changes);
        Ok(revision)
    }

    fn get(&self, path: &str, limit: Duration) -> Result<Reply> {
        let client = self.shared.store();
        let reply = client.exchange(Method::GET, path, &[], limit)?;
        check_status(&reply)?;
        Ok(reply)
    }

    fn take_list(&self, objects: Vec<sequoiatrail_adapter::Object>, revision: Revision) {
        let shared = &self.shared;
        if self.kind == Kind::Manifest {
            objects
                .iter()
                .for_each(|o| apply_manifest(shared, o, "list"));
            return;
        }
        let changes = objects
            .iter()
            .filter_map(|o| target_change(shared, o, false));
        let changes = changes.collect();
        let now = shared.clock.now();
        let settled = self.is_settled(now);
        let news = shared
            .lock()
            .replace_targets(now, revision.0, changes, settled);
        log_news(shared, &news, revision.0, "list");
    }

    fn take_events(&self, events: Vec<ObjectEvent>, revision: Revision) {
        let shared = &self.shared;
        if self.kind == Kind::Manifest {
            let present = events.iter().filter(|e| !e.deleted);
            present.for_each(|e| apply_manifest(shared, &e.object, "watch"));
            return;
        }
        let changes = events
            .iter()
            .filter_map(|e| target_change(shared, &e.object, e.deleted));
        let changes = changes.collect();
        let now = shared.clock.now();
        let settled = self.is_settled(now);
        let news = shared
            .lock()
            .change_targets(now, revision.0, changes, settled);
        log_news(shared, &news, revision.0, "watch");
    }

    fn is_settled(&self, now: Duration) -> bool {
        self.last_trouble.is_none_or(|at| now >= at + SETTLED)
    }

    fn answered(&mut self, revision: Revision) {
        if self.kind == Kind::Targets {
            self.shared.confirm_targets(self.shared.clock.now());
        }
        if let Some(since) = self.lost_since.take() {
            self.shared.store_back();
            let now = self.shared.clock.now();
            self.shared.log.emit(Event::StoreBack {
                kind: self.kind.name(),
                after_ms: now.saturating_sub(since).as_millis() as u64,
                revision: revision.0,
            });
        }
    }

    fn failed(&mut self, error: &Error) {
        self.counters.add(Count::StoreFailures, 1);
        let now = self.shared.clock.now();
        self.last_trouble = Some(now);
        self.follow.failed(now, error);
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            self.shared.store_lost();
            self.shared.log.emit(Event::StoreLost {
                kind: self.kind.name(),
                error: error.to_string(),
            });
        }
    }

    fn log_unreadable(&self, objects: usize) {
        if objects > 0 {
            self.shared.log.emit(Event::EntryUnreadable {
                object: format!("{objects} of {}", self.kind.name()),
                error: "no object with a name".into(),
            });
        }
    }
}
