//! Readiness of the balancer as reported to the routers.

use std::sync::atomic::Ordering;
use std::time::Duration;

use sequoiatrail_events::Event;

use super::shared::Shared;

/// Time to get the manifest and targets from the store after startup before peer
/// balancers are asked instead; many round trips to the store.
const STARTUP_GRACE: Duration = Duration::from_millis(400);
/// Reason for being ready.
const READY: &str = "manifest and targets are known";
/// Reason for not being ready right after the start.
const NOT_COMPARED: &str = "what was listed is not compared with the store yet";
/// Reason for not being ready although packets could be forwarded.
const IN_MINORITY: &str = "most balancers of the failure domain are down";

impl Shared {
    /// Whether the routers should send packets here. Logs each change.
    pub fn is_ready(&self) -> bool {
        let reason = self.readiness();
        let ready = reason == READY;
        if self.reported_ready.swap(ready, Ordering::AcqRel) != ready {
            self.log.emit(Event::ReadinessChanged { ready, reason });
        }
        ready
    }

    /// The reason for being ready or not; ready only if it is [`READY`].
    fn readiness(&self) -> &'static str {
        if self.stopping.load(Ordering::Acquire) {
            return "stopping";
        }
        if self.awaits_first_check(self.clock.now()) {
            return NOT_COMPARED;
        }
        let balancer = self.lock();
        if !balancer.is_ready() {
            return "manifest or targets are not known";
        }
        if balancer.is_isolated() {
            return "no target can be reached";
        }
        if self.minority.load(Ordering::Acquire) {
            return IN_MINORITY;
        }
        self.has_been_ready.store(true, Ordering::Relaxed);
        READY
    }

    /// Whether this balancer is ready, apart from being in the minority of its
    /// failure domain.
    pub fn could_serve(&self) -> bool {
        matches!(self.readiness(), READY | IN_MINORITY)
    }

    /// Sets whether most balancers of the failure domain are down. This balancer
    /// reports not ready then, so that routers use other failure domains.
    pub fn set_minority(&self, minority: bool) {
        self.minority.store(minority, Ordering::Release);
    }

    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether snapshots are requested from peers: the store does not respond, or
    /// this balancer is not ready in time after startup.
    pub fn needs_peer_snapshot(&self, now: Duration) -> bool {
        let startup_overdue = now >= self.started + STARTUP_GRACE && !self.lock().is_ready();
        startup_overdue || self.unreachable_followers.load(Ordering::Acquire) > 0
    }
}
