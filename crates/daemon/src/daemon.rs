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

use crate::control_messages::Input;
use crate::counters::{Count, CounterSet};
use crate::error::ThreadSnafu;
use crate::platform_link::PlatformLink;
use crate::shared_state::SharedState;
use crate::{Result, StopFlag};

/// Poll interval while shutting down.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Delay between giving up ownership and leaving, so that the peers learn of it
/// first: packets for an owner that has left cannot be relayed.
const UNREADY_BEFORE_LEAVE: Duration = Duration::from_millis(500);
/// Maximum wait for the control thread, which settles and hands over for up to 25 s.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(26);

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Total packets forwarded.
    pub forwarded: u64,
    /// Whether the fabric stopped sending before the time limit.
    pub quiet: bool,
}

/// A running balancer. Dropping it stops it at once, like a crash; use
/// [`Daemon::stop`] for a graceful shutdown.
pub struct Daemon {
    settings: Settings,
    log: Log,
    core: Arc<Core>,
    counters: Arc<CounterSet>,
    listen: SocketAddr,
    stop: StopFlag,
    threads: Vec<JoinHandle<()>>,
    /// Error of the first thread that failed.
    failure: Arc<Mutex<Option<String>>>,
    /// Keeps the control thread's queue open.
    _inputs: Sender<Input>,
    platform: Option<PlatformLink>,
    shared: Arc<SharedState>,
    net: Option<Arc<PeerNet>>,
    admin: Option<AdminServer>,
}

impl Daemon {
    /// Starts a balancer, which forwards packets once it has a table and plans.
    pub fn start(settings: Settings, log: Log) -> Result<Daemon> {
        start::start(settings, log)
    }

    /// Returns the address on which packets are received.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the node ID.
    pub fn node(&self) -> NodeId {
        self.core.node()
    }

    /// Returns the VM name.
    pub fn name(&self) -> &str {
        &self.settings.node.name
    }

    /// Returns the control address for peers, if peer traffic is enabled.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.net.as_ref().map(|net| net.address().control())
    }

    /// Returns the number of live balancers, including this one.
    pub fn live_balancers(&self) -> usize {
        1 + self.net.as_ref().map_or(0, |net| net.members().peers.len())
    }

    /// Returns whether this balancer can own flows.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Relaxed)
    }

    /// Returns the number of targets that are down.
    pub fn targets_down(&self) -> usize {
        self.shared.details().down.len()
    }

    /// Returns whether this or a newer table version has been applied and every
    /// service has a plan.
    pub fn has_applied(&self, version: TableVersion) -> bool {
        let table = self.core.table();
        let has_plan = |s: &Service| self.core.plan_version(s.id).is_some();
        table.version >= version && table.services.iter().all(has_plan)
    }

    /// Returns the decision core.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Returns the data path counters.
    pub fn counters(&self) -> &Arc<CounterSet> {
        &self.counters
    }

    /// Returns the address of the administration API.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::addr)
    }

    /// Returns whether a drain was requested through the administration API.
    pub fn drain_requested(&self) -> bool {
        self.shared.draining.load(Ordering::Acquire)
    }

    /// Returns the error of the first failed thread; the balancer should then be stopped.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.clone()
    }

    /// Shuts down gracefully: keeps forwarding until the fabric has stopped sending
    /// or `stop.limit_ms` has elapsed.
    pub fn stop(mut self) -> StopReport {
        let limit = Duration::from_millis(self.settings.stop.limit_ms);
        self.shared.draining.store(true, Ordering::Release);
        self.log.emit(Event::StopBegun {
            limit_ms: self.settings.stop.limit_ms,
        });
        self.hand_over_and_leave();
        let quiet = self.wait_until_quiet(limit);
        self.shut_down();
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

    /// Waits for the handover to finish, and leaves the cluster.
    fn hand_over_and_leave(&self) {
        let Some(net) = &self.net else { return };
        let start = Instant::now();
        while !self.shared.handed_over.load(Ordering::Acquire) && start.elapsed() < HAND_OVER_LIMIT
        {
            thread::sleep(STOP_POLL);
        }
        thread::sleep(UNREADY_BEFORE_LEAVE);
        net.leave();
    }

    fn wait_until_quiet(&self, limit: Duration) -> bool {
        let quiet = Duration::from_millis(self.settings.stop.quiet_ms);
        let start = Instant::now();
        let received =
            || self.counters.sum(Count::Received) + self.counters.sum(Count::ReceivedFromPeers);
        let mut last = (received(), start);
        while start.elapsed() < limit {
            let now = received();
            if now != last.0 {
                last = (now, Instant::now());
            }
            if last.1.elapsed() >= quiet {
                return true;
            }
            thread::sleep(STOP_POLL);
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
        let thread_name = name.clone();
        let thread = builder
            .spawn(move || {
                let Err(e) = work() else { return };
                let error = format!("{thread_name}: {e}");
                log.emit(Event::ThreadFailed {
                    thread: thread_name,
                    error: e.to_string(),
                });
                let mut failure = failure.lock().unwrap_or_else(PoisonError::into_inner);
                failure.get_or_insert(error);
            })
            .context(ThreadSnafu { name })?;
        self.threads.push(thread);
        Ok(())
    }

    fn shut_down(&mut self) {
        self.stop.set();
        self.admin = None;
        if let Some(net) = &self.net {
            net.stop();
        }
        for thread in self.threads.drain(..) {
            // A panic was already reported on standard error.
            let _ = thread.join();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.shut_down();
    }
}
