//! State shared by all threads of a balancer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime};

use opentelemetry::metrics::Histogram;
use sequoiatrail_adapter::Kind;
use sequoiatrail_cookie::{Balancer, EraOrder, EraTracker};
use sequoiatrail_events::{Event, Log, RateLimit};
use sequoiatrail_platform::{Breaker, Client, ClientConfig};
use sequoiatrail_settings::PlatformSettings;
use sequoiatrail_types::{Clock, Era};

use super::feed::Feed;
use crate::counters::{CounterSet, Counters};

/// Log lines per second about placed flows, and as many about resets.
const DECISION_LINES_PER_SECOND: u32 = 100;
/// Log lines per second for each kind of event that a malicious sender can cause.
const UNTRUSTED_LINES_PER_SECOND: u32 = 5;
/// Gap between two clock samples that counts as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Time without store failures after which a missing entry counts as deleted.
/// Entries that expire during a store outage may reappear.
const STABLE_AFTER: Duration = Duration::from_secs(6);
/// Timeout of a store call, excluding the wait time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Rate limits of log lines.
pub(super) struct LogLimits {
    pub placements: RateLimit,
    pub resets: RateLimit,
    pub unreadable: RateLimit,
    pub passed_over: RateLimit,
    pub failed_sends: RateLimit,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            placements: RateLimit::new(DECISION_LINES_PER_SECOND),
            resets: RateLimit::new(DECISION_LINES_PER_SECOND),
            unreadable: RateLimit::new(UNTRUSTED_LINES_PER_SECOND),
            passed_over: RateLimit::new(UNTRUSTED_LINES_PER_SECOND),
            failed_sends: RateLimit::new(UNTRUSTED_LINES_PER_SECOND),
        }
    }
}

fn client(clock: &Arc<dyn Clock>, endpoint: Option<SocketAddr>) -> Arc<Client> {
    let default = ClientConfig::default();
    Arc::new(Client::new(ClientConfig {
        endpoint: endpoint.unwrap_or(default.endpoint),
        connect_timeout: CONNECT_TIMEOUT,
        call_timeout: CALL_TIMEOUT,
        clock: Arc::clone(clock),
        ..default
    }))
}

/// Shared state of one balancer.
pub(super) struct Shared {
    pub balancer: Mutex<Balancer>,
    pub clock: Arc<dyn Clock>,
    pub log: Log,
    pub counters: Arc<CounterSet>,
    /// Counts entries passed over, of whatever follower.
    pub passed_over: Arc<Counters>,
    /// Counts comparisons with the store.
    pub check_counters: Arc<Counters>,
    /// What is applied, by kind.
    feeds: [Feed; 3],
    pub log_limits: LogLimits,
    /// The store client; replaced when the settings change.
    store: Mutex<Arc<Client>>,
    /// Number of the store in use; rises after the client is replaced.
    store_number: AtomicU64,
    breaker: Mutex<Breaker>,
    era: Mutex<EraTracker>,
    /// Packet handling times; set once metrics are started.
    pub handling: OnceLock<Histogram<f64>>,
    /// Whether most balancers of this failure domain are down, but not of another.
    pub(super) minority: AtomicBool,
    /// Set by the first stop signal.
    pub(super) stopping: AtomicBool,
    /// Tells all threads to exit.
    pub shutdown: AtomicBool,
    /// When the store last confirmed the targets, in milliseconds on `clock`.
    targets_confirmed_ms: AtomicU64,
    /// When a store call of any thread last failed, or may have failed unnoticed, in
    /// milliseconds on `clock`. At first the start, as nothing is known of the time before.
    store_failed_ms: AtomicU64,
    /// Number of followers that get no response from the store.
    pub(super) unreachable_followers: AtomicU32,
    /// When the process started, on `clock`.
    pub(super) started: Duration,
    /// Incremented to make followers start over with a list.
    relists: AtomicU64,
    last_clock_sample: Mutex<Option<ClockSample>>,
    pub(super) reported_ready: AtomicBool,
    /// Whether this balancer was ready at some time.
    pub(super) has_been_ready: AtomicBool,
}

/// Readings of both clocks at one time.
#[derive(Clone, Copy)]
struct ClockSample {
    monotonic: Duration,
    wall: SystemTime,
}

impl Shared {
    pub fn new(balancer: Balancer, clock: Arc<dyn Clock>, log: Log) -> Shared {
        let store = client(&clock, None);
        let counters = Arc::new(CounterSet::default());
        Shared {
            balancer: Mutex::new(balancer),
            store: Mutex::new(store),
            store_number: AtomicU64::new(0),
            breaker: Mutex::default(),
            era: Mutex::default(),
            started: clock.now(),
            store_failed_ms: AtomicU64::new(clock.now().as_millis() as u64),
            unreachable_followers: AtomicU32::new(0),
            clock,
            log,
            passed_over: counters.for_thread(),
            check_counters: counters.for_thread(),
            feeds: [Kind::Manifest, Kind::Targets, Kind::Evacuations].map(Feed::new),
            counters,
            log_limits: LogLimits::default(),
            handling: OnceLock::new(),
            minority: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            shutdown: AtomicBool::new(false),
            targets_confirmed_ms: AtomicU64::new(0),
            relists: AtomicU64::new(0),
            last_clock_sample: Mutex::new(None),
            reported_ready: AtomicBool::new(false),
            has_been_ready: AtomicBool::new(false),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current store client.
    pub fn store(&self) -> Arc<Client> {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&store)
    }

    /// Number of the store in use. What was read while it was another one is discarded.
    pub fn store_number(&self) -> u64 {
        self.store_number.load(Ordering::Acquire)
    }

    /// What is applied of a kind that is followed.
    ///
    /// # Panics
    ///
    /// If the kind is not followed.
    pub fn feed(&self, kind: Kind) -> &Feed {
        let feed = self.feeds.iter().find(|feed| feed.kind() == kind);
        feed.expect("a kind that is followed")
    }

    /// Whether this balancer has started and what it listed is still to be compared with the
    /// store. Don't call this with the balancer locked: lists are applied with a feed locked.
    pub fn awaits_first_check(&self, now: Duration) -> bool {
        let has_been_ready = self.has_been_ready.load(Ordering::Relaxed);
        !has_been_ready && self.feeds.iter().any(|feed| feed.awaits_first_check(now))
    }

    /// Records that all objects of a kind that the store had at `at` are applied.
    pub fn record_current(&self, kind: Kind, at: Duration) {
        if kind == Kind::Targets {
            self.confirm_targets(at);
            self.lock().record_targets_current(at);
        }
    }

    /// Decides which follower tries a store that fails several of them.
    pub fn store_breaker(&self) -> MutexGuard<'_, Breaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Switches to another store from the next call on. Revisions of two stores can't
    /// be compared, so the next list is applied whatever its revision.
    pub fn set_store(&self, settings: &PlatformSettings) {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        *store = client(&self.clock, settings.endpoint);
        drop(store);
        self.store_number.fetch_add(1, Ordering::AcqRel);
        self.store_breaker().reset();
        self.feeds.iter().for_each(Feed::reset);
        self.lock_era().forget();
        self.lock().forget_revision();
        self.request_relist();
    }

    fn lock_era(&self) -> MutexGuard<'_, EraTracker> {
        self.era.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The store's era; 0 before its first response.
    pub fn era(&self) -> Era {
        self.lock_era().current().unwrap_or_default()
    }

    /// Records the era of a response of the store. After a restore, all followers
    /// start over with a list.
    pub fn observe_era(&self, era: Era) -> EraOrder {
        let order = self.lock_era().observe(era);
        if let EraOrder::Restored { previous } = order {
            self.request_relist();
            self.log.emit(Event::StoreRestored {
                previous: previous.0,
                era: era.0,
            });
        }
        order
    }

    pub fn is_shut_down(&self) -> bool {
        self.shutdown.load(Ordering::Acquire)
    }

    /// Records that the store confirmed the targets at `at`.
    pub fn confirm_targets(&self, at: Duration) {
        let at = at.as_millis() as u64;
        self.targets_confirmed_ms.fetch_max(at, Ordering::Relaxed);
    }

    /// Records that a store call failed, or may have failed unnoticed.
    pub fn record_store_failure(&self, now: Duration) {
        let now = now.as_millis() as u64;
        self.store_failed_ms.fetch_max(now, Ordering::AcqRel);
    }

    /// Whether the store had no failures lately, so that a missing entry counts as deleted.
    pub fn is_store_stable(&self, now: Duration) -> bool {
        let failed = Duration::from_millis(self.store_failed_ms.load(Ordering::Acquire));
        now >= failed + STABLE_AFTER
    }

    /// Records that a follower lost the store.
    pub fn mark_store_lost(&self) {
        self.unreachable_followers.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a follower reached the store again.
    pub fn mark_store_recovered(&self) {
        self.unreachable_followers.fetch_sub(1, Ordering::AcqRel);
    }

    /// Time since the store last confirmed the targets.
    pub fn targets_age(&self, now: Duration) -> Duration {
        let confirmed = self.targets_confirmed_ms.load(Ordering::Relaxed);
        now.saturating_sub(Duration::from_millis(confirmed))
    }

    /// Makes all followers start over with a list.
    pub fn request_relist(&self) {
        self.relists.fetch_add(1, Ordering::AcqRel);
    }

    /// Number of relists requested so far.
    pub fn relists(&self) -> u64 {
        self.relists.load(Ordering::Acquire)
    }

    /// Detects a pause of the process and requests a relist: either the monotonic
    /// clock jumped between two samples, or it was suspended while the wall clock
    /// advanced. Setting the wall clock forward looks the same and only costs a list.
    pub fn detect_pause(&self) {
        let sample = ClockSample {
            monotonic: self.clock.now(),
            wall: SystemTime::now(),
        };
        let mut last = self
            .last_clock_sample
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(previous) = last.replace(sample) else {
            return;
        };
        let monotonic = sample.monotonic.saturating_sub(previous.monotonic);
        let wall = sample
            .wall
            .duration_since(previous.wall)
            .unwrap_or_default();
        let elapsed = monotonic.max(wall);
        if elapsed < PAUSE_THRESHOLD {
            return;
        }
        // The store may have failed unnoticed.
        self.record_store_failure(sample.monotonic);
        self.request_relist();
        self.log.emit(Event::Paused {
            paused_ms: elapsed.as_millis() as u64,
        });
    }
}
