//! The balancer for packets that carry a flow cookie.
//!
//! One thread forwards packets, one per object kind lists and watches the store,
//! one probes targets and one polls peer balancers. HTTP servers handle peer
//! requests, readiness checks and metrics. Forwarding decisions are made by
//! `sequoiatrail_cookie`; `sequoiatrail_adapter` defines the platform's names
//! and formats.

mod changes;
mod config;
mod egress;
mod feed;
mod follower;
mod http;
mod metrics;
mod packets;
mod peers;
mod probe_queue;
mod prober;
mod reader;
mod readiness;
mod reload;
mod shared;
mod start;
mod verifier;

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

/// Time until the routers detect that a balancer is not ready: two failed checks
/// at half-second intervals, plus a margin.
const ROUTER_DETECTION_TIME: Duration = Duration::from_millis(1_600);
/// Time without a packet after which no flow depends on this balancer any more.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Part of the time until SIGKILL kept as a safety margin.
const STOP_RESERVE: Duration = Duration::from_millis(1_200);
/// Interval between checks for remaining traffic while stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running balancer. Dropping it stops forwarding without draining, like a crash;
/// use [`CookieDaemon::stop`] for a graceful stop.
pub struct CookieDaemon {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    /// Threads that use the socket for reports.
    report_threads: Vec<JoinHandle<()>>,
    /// Error of the first thread that failed.
    failure: Arc<Mutex<Option<String>>>,
    /// Servers for readiness and metrics.
    http: Vec<HttpServer>,
    /// Server for requests from peer balancers.
    peers: Option<HttpServer>,
    listen: SocketAddr,
    reloader: Reloader,
    stop_grace: Duration,
}

impl CookieDaemon {
    /// Starts a balancer. It reports ready once it has a manifest and targets.
    pub fn start(file: &Path, settings: Settings, log: Log) -> Result<CookieDaemon> {
        start::start(PathBuf::from(file), settings, log)
    }

    /// Error of the first thread that failed, if any.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.clone()
    }

    /// Listen address for readiness and metrics.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http.first().map(HttpServer::addr)
    }

    /// Listen address for requests from peer balancers.
    pub fn peers_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(HttpServer::addr)
    }

    /// Listen address for packets.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Whether this balancer reports ready to the routers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Reloads the settings after a SIGHUP or a change of the file, and checks whether
    /// the process was paused. Call this several times a second.
    pub fn tick(&mut self, sighup: bool) {
        self.shared.detect_pause();
        self.reloader.tick(&self.shared, sighup);
    }

    /// Stops gracefully: reports not ready at once, then keeps forwarding until the
    /// routers have detected it and packets no longer arrive.
    pub fn stop(mut self) {
        let shared = Arc::clone(&self.shared);
        shared.log.emit(Event::StopBegun {
            limit_ms: self.stop_grace.as_millis() as u64,
        });
        shared.begin_stop();
        let started = shared.clock.now();
        let limit = self.stop_grace.saturating_sub(STOP_RESERVE);
        let mut last = (shared.counters.sum(Count::Received), started);
        let mut quiet = false;
        while !quiet && shared.clock.now() < started + limit {
            std::thread::sleep(STOP_POLL_INTERVAL);
            let now = shared.clock.now();
            let received = shared.counters.sum(Count::Received);
            if received != last.0 {
                last = (received, now);
            }
            quiet = now >= started + ROUTER_DETECTION_TIME && now >= last.1 + QUIET_PERIOD;
        }
        self.shut_down();
        shared.log.emit(Event::Stopped {
            forwarded: shared.counters.forwarded(),
            quiet,
        });
    }

    fn shut_down(&mut self) {
        self.shared.shutdown.store(true, Ordering::Release);
        self.http.clear();
        self.peers = None;
        for thread in self.report_threads.drain(..) {
            // Frees the port. A panic of the thread was already reported.
            let _ = thread.join();
        }
        // Detaches the threads; one blocked on a store call exits when it returns.
        self.threads.clear();
    }
}

impl Drop for CookieDaemon {
    fn drop(&mut self) {
        self.shut_down();
    }
}
