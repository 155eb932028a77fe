//! What all threads of a balancer share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime};

use opentelemetry::metrics::Histogram;
use sequoiatrail_cookie::Balancer;
use sequoiatrail_events::{Event, Log, RateLimit};
use sequoiatrail_platform::{Client, ClientConfig};
use sequoiatrail_settings::PlatformSettings;
use sequoiatrail_types::Clock;

use crate::counters::CounterSet;

/// Lines a second about new flows, and as many about resets.
const DECISION_LINES_PER_SECOND: u32 = 100;
/// Lines a second for each kind of event that a hostile sender can cause.
const HOSTILE_LINES_PER_SECOND: u32 = 5;
/// Time between two looks from which the process counts as having stood still.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Longest time of a call to the store, without the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time to make a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Limits of log lines.
pub(super) struct Lines {
    pub placements: RateLimit,
    pub resets: RateLimit,
    pub unreadable: RateLimit,
    pub failed_sends: RateLimit,
}

impl Default for Lines {
    fn default() -> Self {
        Self {
            placements: RateLimit::new(DECISION_LINES_PER_SECOND),
            resets: RateLimit::new(DECISION_LINES_PER_SECOND),
            unreadable: RateLimit::new(HOSTILE_LINES_PER_SECOND),
            failed_sends: RateLimit::new(HOSTILE_LINES_PER_SECOND),
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

/// State of one process.
pub(super) struct Shared {
    pub balancer: Mutex<Balancer>,
    pub clock: Arc<dyn Clock>,
    pub log: Log,
    pub counters: Arc<CounterSet>,
    pub lines: Lines,
    /// The client of the store; replaced when the settings change.
    store: Mutex<Arc<Client>>,
    /// Times of handling packets; set once the metrics are served.
    pub handling: OnceLock<Histogram<f64>>,
    /// Whether others can serve the callers of this failure domain better.
    pub(super) aside: AtomicBool,
    /// Set by the first stop signal.
    pub(super) stopping: AtomicBool,
    /// Set when all threads have to end.
    pub ended: AtomicBool,
    /// When the targets were last confirmed by the store, in milliseconds of `clock`.
    targets_confirmed_ms: AtomicU64,
    /// Followers that the store does not answer.
    pub(super) lost: AtomicU32,
    /// When the process started, on `clock`.
    pub(super) started: Duration,
    /// Raised when followers have to begin anew.
    relists: AtomicU64,
    last_look: Mutex<Option<Look>>,
    pub(super) told_ready: AtomicBool,
}

/// Clocks at a look.
#[derive(Clone, Copy)]
struct Look {
    steady: Duration,
    wall: SystemTime,
}

impl Shared {
    pub fn new(balancer: Balancer, clock: Arc<dyn Clock>, log: Log) -> Shared {
        let store = client(&clock, None);
        Shared {
            balancer: Mutex::new(balancer),
            store: Mutex::new(store),
            started: clock.now(),
            lost: AtomicU32::new(0),
            clock,
            log,
            counters: Arc::default(),
            lines: Lines::default(),
            handling: OnceLock::new(),
            aside: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            targets_confirmed_ms: AtomicU64::new(0),
            relists: AtomicU64::new(0),
            last_look: Mutex::new(None),
            told_ready: AtomicBool::new(false),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The client of the store.
    pub fn store(&self) -> Arc<Client> {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&store)
    }

    /// Uses another store from the next call on. Its revisions are not those of
    /// the one before, so that its next list counts whatever it shows.
    pub fn use_store(&self, settings: &PlatformSettings) {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        *store = client(&self.clock, settings.endpoint);
        drop(store);
        self.lock().forget_revision();
        self.list_again();
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Takes in that the store confirmed the targets at a time.
    pub fn confirm_targets(&self, at: Duration) {
        let at = at.as_millis() as u64;
        self.targets_confirmed_ms.fetch_max(at, Ordering::Relaxed);
    }

    /// Takes in that the store stopped answering a follower.
    pub fn store_lost(&self) {
        self.lost.fetch_add(1, Ordering::AcqRel);
    }

    /// Takes in that the store answers a follower again.
    pub fn store_back(&self) {
        self.lost.fetch_sub(1, Ordering::AcqRel);
    }

    /// Time since the store last confirmed the targets.
    pub fn targets_age(&self, now: Duration) -> Duration {
        let confirmed = self.targets_confirmed_ms.load(Ordering::Relaxed);
        now.saturating_sub(Duration::from_millis(confirmed))
    }

    /// Makes all followers begin anew with a list.
    pub fn list_again(&self) {
        self.relists.fetch_add(1, Ordering::AcqRel);
    }

    /// How often followers had to begin anew.
    pub fn relists(&self) -> u64 {
        self.relists.load(Ordering::Acquire)
    }

    /// Notices that the process did not run for a while: the steady clock jumped
    /// between two looks, or stood still while the time of day went on. A time of
    /// day that was set forward looks the same; it only costs a new list.
    pub fn look_for_pause(&self) {
        let look = Look {
            steady: self.clock.now(),
            wall: SystemTime::now(),
        };
        let mut last = self
            .last_look
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(before) = last.replace(look) else {
            return;
        };
        let steady = look.steady.saturating_sub(before.steady);
        let wall = look.wall.duration_since(before.wall).unwrap_or_default();
        let passed = steady.max(wall);
        if passed < PAUSE {
            return;
        }
        self.list_again();
        self.log.emit(Event::Paused {
            paused_ms: passed.as_millis() as u64,
        });
    }
}
