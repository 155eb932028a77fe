//! Whether the routers should send packets here, and what that depends on.

use std::sync::atomic::Ordering;
use std::time::Duration;

use sequoiatrail_events::Event;

use super::shared::Shared;

/// Time after the start without manifest or targets after which other balancers
/// are asked for them; many round trips to the store.
const START_LIMIT: Duration = Duration::from_millis(400);
/// Why packets are asked for.
const READY: &str = "manifest and targets are known";
/// Why no packets are asked for although they could be served.
const ASIDE: &str = "most balancers of the failure domain are down";

impl Shared {
    /// Whether the routers should send packets here.
    pub fn is_ready(&self) -> bool {
        let reason = self.readiness();
        let ready = reason == READY;
        if self.told_ready.swap(ready, Ordering::AcqRel) != ready {
            self.log.emit(Event::ReadinessChanged { ready, reason });
        }
        ready
    }

    /// Why packets are asked for, or not.
    fn readiness(&self) -> &'static str {
        if self.stopping.load(Ordering::Acquire) {
            return "stopping";
        }
        let balancer = self.lock();
        if !balancer.is_ready() {
            return "manifest or targets are not known";
        }
        if balancer.is_isolated() {
            return "no target can be reached";
        }
        if self.aside.load(Ordering::Acquire) {
            return ASIDE;
        }
        READY
    }

    /// Whether packets would be asked for if the other balancers of the failure
    /// domain were there.
    pub fn could_serve(&self) -> bool {
        matches!(self.readiness(), READY | ASIDE)
    }

    /// Asks for no packets while most balancers of the failure domain are down.
    pub fn step_aside(&self, aside: bool) {
        self.aside.store(aside, Ordering::Release);
    }

    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the store does not answer, so that others are to be asked.
    pub fn lacks_store(&self, now: Duration) -> bool {
        let waits = now >= self.started + START_LIMIT && !self.lock().is_ready();
        waits || self.lost.load(Ordering::Acquire) > 0
    }
}
