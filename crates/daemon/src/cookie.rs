//! A balancer whose packets carry a flow cookie.
//!
//! One thread forwards packets; one follows each kind of object in the store;
//! one asks other balancers while the store does not answer; servers answer them,
//! readiness and metrics. The decisions are those of
//! `sequoiatrail_cookie`; names and formats are those of `sequoiatrail_adapter`.

mod changes;
mod follower;
mod http;
mod metrics;
mod outlet;
mod packets;
mod peers;
mod prober;
mod readiness;
mod reload;
mod shared;
mod start;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use sequoiatrail_events::{Event, Log};
use sequoiatrail_platform::HttpServer;
use sequoiatrail_settings::Settings;

use crate::Result;
use crate::counters::Count;
use reload::Reloader;
use shared::Shared;

/// Time in which the routers notice that a balancer is not ready: two misses of
/// a check every half second, and a little.
const ROUTERS_NOTICE: Duration = Duration::from_millis(1_600);
/// Time without a packet after which no flow needs this balancer any more.
const QUIET: Duration = Duration::from_millis(700);
/// Part of the time until SIGKILL that is kept in reserve.
const STOP_RESERVE: Duration = Duration::from_millis(1_200);
/// Time between two looks while stopping.
const STOP_POLL: Duration = Duration::from_millis(50);

/// A running balancer. Dropping it ends it at once, as a crash would; use
/// [`CookieDaemon::stop`] for a graceful stop.
pub struct CookieDaemon {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    /// Error of the first thread that ended by one.
    failure: Arc<Mutex<Option<String>>>,
    /// Servers of readiness and metrics.
    http: Vec<HttpServer>,
    /// Server of questions from other balancers.
    peers: Option<HttpServer>,
    listen: SocketAddr,
    reloader: Reloader,
    stop_grace: Duration,
}

impl CookieDaemon {
    /// Starts a balancer; it asks for packets once it has a manifest and targets.
    pub fn start(file: &Path, settings: Settings, log: Log) -> Result<CookieDaemon> {
        start::start(PathBuf::from(file), settings, log)
    }

    /// The error of a thread that ended by one.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.clone()
    }

    /// Address of readiness and metrics.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http.first().map(HttpServer::addr)
    }

    /// Address that other balancers ask at.
    pub fn peers_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(HttpServer::addr)
    }

    /// Address that packets are received at.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Whether this balancer asks the routers for packets.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Looks at what changes outside: the settings file, after a signal or by
    /// itself, and whether the process stood still. To be called often.
    pub fn tick(&mut self, hung_up: bool) {
        self.shared.look_for_pause();
        self.reloader.tick(&self.shared, hung_up);
    }

    /// Stops gracefully: tells the routers at once, and forwards until they have
    /// noticed and packets no longer come.
    pub fn stop(mut self) {
        let shared = Arc::clone(&self.shared);
        shared.log.emit(Event::StopBegun {
            limit_ms: self.stop_grace.as_millis() as u64,
        });
        shared.begin_stop();
        let begun = shared.clock.now();
        let limit = self.stop_grace.saturating_sub(STOP_RESERVE);
        let mut last = (shared.counters.sum(Count::Received), begun);
        let mut quiet = false;
        while !quiet && shared.clock.now() < begun + limit {
            std::thread::sleep(STOP_POLL);
            let now = shared.clock.now();
            let received = shared.counters.sum(Count::Received);
            if received != last.0 {
                last = (received, now);
            }
            quiet = now >= begun + ROUTERS_NOTICE && now >= last.1 + QUIET;
        }
        self.end();
        shared.log.emit(Event::Stopped {
            forwarded: shared.counters.forwarded(),
            quiet,
        });
    }

    fn end(&mut self) {
        self.shared.ended.store(true, Ordering::Release);
        self.http.clear();
        self.peers = None;
        // Threads that wait for the store end after their call.
        self.threads.clear();
    }
}

impl Drop for CookieDaemon {
    fn drop(&mut self) {
        self.end();
    }
}
