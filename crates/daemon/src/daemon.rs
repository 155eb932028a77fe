//! A running balancer.

mod start;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sequoiatrail_admin::AdminServer;
use sequoiatrail_core::Core;
use sequoiatrail_events::{Event, Log};
use sequoiatrail_peers::PeerNet;
use sequoiatrail_settings::Settings;
use sequoiatrail_table::Service;
use sequoiatrail_types::{NodeId, TableVersion};
use snafu::ResultExt;

use crate::board::Board;
use crate::control::Input;
use crate::counters::{Count, CounterSet};
use crate::error::ThreadSnafu;
use crate::platform_link::PlatformLink;
use crate::{Result, StopFlag};

/// Time between two looks whether the fabric has stopped sending.
const QUIET_POLL: Duration = Duration::from_millis(20);

/// Time in which the others learn that this balancer owns nothing any more,
/// before it leaves: a packet for an owner that has left could not be relayed.
const UNREADY_BEFORE_LEAVE: Duration = Duration::from_millis(500);
/// Longest wait for the control thread to hand over; it has a limit of its own.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(26);

/// How a graceful stop went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Packets forwarded in the balancer's life.
    pub forwarded: u64,
    /// Whether the fabric had stopped sending before the limit.
    pub quiet: bool,
}

/// A running balancer. Dropping it ends it at once, as a crash would; use
/// [`Daemon::stop`] for a graceful stop.
pub struct Daemon {
    settings: Settings,
    log: Log,
    core: Arc<Core>,
    counters: Arc<CounterSet>,
    listen: SocketAddr,
    stop: StopFlag,
    threads: Vec<JoinHandle<()>>,
    /// Error of the first thread that ended by one.
    failure: Arc<Mutex<Option<String>>>,
    /// Keeps the control thread's queue open.
    _inputs: Sender<Input>,
    platform: Option<PlatformLink>,
    board: Arc<Board>,
    net: Option<Arc<PeerNet>>,
    admin: Option<AdminServer>,
}

impl Daemon {
    /// Starts a balancer; it forwards packets once it has a table and plans.
    pub fn start(settings: Settings, log: Log) -> Result<Daemon> {
        start::start(settings, log)
    }

    /// Address that packets are received at.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// This balancer.
    pub fn node(&self) -> NodeId {
        self.core.node()
    }

    /// Name of the VM.
    pub fn name(&self) -> &str {
        &self.settings.node.name
    }

    /// Address for other balancers, if this one speaks to any.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.net.as_ref().map(|net| net.address().control())
    }

    /// Balancers that this one believes live, itself included.
    pub fn live_balancers(&self) -> usize {
        1 + self.net.as_ref().map_or(0, |net| net.members().peers.len())
    }

    /// Whether this balancer can own flows.
    pub fn is_ready(&self) -> bool {
        self.board.ready.load(Ordering::Relaxed)
    }

    /// Targets that this balancer takes for dead.
    pub fn targets_down(&self) -> usize {
        self.board.facts().down.len()
    }

    /// Whether this table, or a newer one, is in force here and every service has a plan.
    pub fn has_applied(&self, version: TableVersion) -> bool {
        let table = self.core.table();
        let has_plan = |s: &Service| self.core.plan_version(s.id).is_some();
        table.version >= version && table.services.iter().all(has_plan)
    }

    /// The decision core.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Counts of the data path.
    pub fn counters(&self) -> &Arc<CounterSet> {
        &self.counters
    }

    /// Address of the administration API.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::addr)
    }

    /// Whether a graceful stop was asked for over the administration API.
    pub fn drain_requested(&self) -> bool {
        self.board.draining.load(Ordering::Acquire)
    }

    /// The error of a thread that ended by one; the balancer should be stopped then.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.clone()
    }

    /// Stops gracefully: goes on forwarding until the fabric has stopped sending
    /// or the limit of the settings has passed.
    pub fn stop(mut self) -> StopReport {
        let limit = Duration::from_millis(self.settings.stop.limit_ms);
        self.board.draining.store(true, Ordering::Release);
        self.log.emit(Event::StopBegun {
            limit_ms: self.settings.stop.limit_ms,
        });
        self.announce_leave();
        let quiet = self.wait_until_quiet(limit);
        self.end();
        let report = StopReport {
            forwarded: self.counters.forwarded(),
            quiet,
        };
        self.log.emit(Event::Stopped {
            forwarded: report.forwarded,
            quiet,
        });
        report
    }

    /// Hands over what only this balancer knows, and leaves the others.
    fn announce_leave(&self) {
        let Some(net) = &self.net else { return };
        let start = Instant::now();
        while !self.board.handed_over.load(Ordering::Acquire) && start.elapsed() < HAND_OVER_LIMIT {
            thread::sleep(QUIET_POLL);
        }
        thread::sleep(UNREADY_BEFORE_LEAVE);
        net.leave();
    }

    fn wait_until_quiet(&self, limit: Duration) -> bool {
        let quiet = Duration::from_millis(self.settings.stop.quiet_ms);
        let start = Instant::now();
        let arrived =
            || self.counters.sum(Count::Received) + self.counters.sum(Count::ReceivedFromPeers);
        let mut last = (arrived(), start);
        while start.elapsed() < limit {
            let now = arrived();
            if now != last.0 {
                last = (now, Instant::now());
            }
            if last.1.elapsed() >= quiet {
                return true;
            }
            thread::sleep(QUIET_POLL);
        }
        false
    }

    fn spawn<F>(&mut self, name: String, work: F) -> Result<()>
    where
        F: FnOnce() -> std::io::Result<()> + Send + 'static,
    {
        let failure = Arc::clone(&self.failure);
        let log = self.log.clone();
        let builder = thread::Builder::new().name(name.clone());
        let told = name.clone();
        let thread = builder
            .spawn(move || {
                let Err(e) = work() else { return };
                let error = format!("{told}: {e}");
                log.emit(Event::ThreadFailed {
                    thread: told,
                    error: e.to_string(),
                });
                let mut failure = failure.lock().unwrap_or_else(PoisonError::into_inner);
                failure.get_or_insert(error);
            })
            .context(ThreadSnafu { name })?;
        self.threads.push(thread);
        Ok(())
    }

    fn end(&mut self) {
        self.stop.set();
        self.admin = None;
        if let Some(net) = &self.net {
            net.stop();
        }
        for thread in self.threads.drain(..) {
            // A thread that panicked has told so on standard error.
            let _ = thread.join();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}
