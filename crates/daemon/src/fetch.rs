//! Thread that fetches missing objects and state from other balancers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use sequoiatrail_core::Core;
use sequoiatrail_events::{Event, Log};
use sequoiatrail_peers::{PeerNet, View};
use sequoiatrail_plan::Plan;
use sequoiatrail_types::{Clock, PlanVersion, ServiceId};
use serde::de::DeserializeOwned;

use crate::StopFlag;
use crate::control_messages::Input;
use crate::shared_state::SharedState;

/// Interval between checks for newer objects of peers.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time to wait for the platform to deliver an object before fetching it from a
/// peer.
const PLATFORM_GRACE: Duration = Duration::from_millis(600);
/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// State of the fetch thread.
pub(crate) struct Fetcher {
    pub net: Arc<PeerNet>,
    pub core: Arc<Core>,
    pub shared: Arc<SharedState>,
    pub clock: Arc<dyn Clock>,
    pub log: Log,
    pub inputs: Sender<Input>,
    /// Since when peers have had newer objects.
    pub behind_since: Option<Duration>,
}

impl Fetcher {
    /// Runs until `stop` is set.
    pub fn run(mut self, stop: &StopFlag) {
        while !stop.is_set() {
            let view = self.net.members();
            let fetched = self
                .fetch_state(&view)
                .and_then(|()| self.fetch_newer(&view));
            let delay = match fetched {
                Ok(()) => POLL_INTERVAL,
                Err((object, error)) => {
                    self.log.emit(Event::FetchFailed { object, error });
                    RETRY_DELAY
                }
            };
            thread::sleep(delay);
        }
    }

    /// Fetches the state that this balancer needs before it can own flows.
    fn fetch_state(&self, view: &View) -> Result<(), (String, String)> {
        if !self.shared.wants_state.load(Ordering::Acquire) {
            return Ok(());
        }
        let Some(peer) = view.peers.iter().find(|p| p.ready && !p.suspect) else {
            return Ok(());
        };
        let messages = self
            .net
            .fetch_state(peer.node)
            .map_err(|e| ("state".to_owned(), e.to_string()))?;
        self.shared.wants_state.store(false, Ordering::Release);
        let _ = self.inputs.send(Input::State(messages));
        Ok(())
    }

    fn fetch_newer(&mut self, view: &View) -> Result<(), (String, String)> {
        let table = self.core.table();
        let newer_table = view.peer_with_newer_table(table.version);
        let services = table.services.iter().map(|s| s.id);
        let newer_plan = services
            .filter_map(|s| Some((s, view.peer_with_newer_plan(s, self.plan_version(s))?)))
            .next();
        if newer_table.is_none() && newer_plan.is_none() {
            self.behind_since = None;
            return Ok(());
        }
        let now = self.clock.now();
        let since = *self.behind_since.get_or_insert(now);
        let wait = self.shared.platform_reachable.load(Ordering::Relaxed);
        if wait && now < since + PLATFORM_GRACE {
            return Ok(());
        }
        let failed = |what: &str, e: &dyn ToString| Err((what.to_owned(), e.to_string()));
        if let Some(peer) = newer_table {
            match self.net.fetch_table(peer.node, table.version) {
                Ok(Some((_, body))) => self.decode_and_send(&body, "table", Input::PeerTable)?,
                Ok(None) => {}
                Err(e) => return failed("table", &e),
            }
        }
        if let Some((service, peer)) = newer_plan {
            let current = self.plan_version(service);
            match self.net.fetch_plan(peer.node, service, current) {
                Ok(Some((_, body))) => self.decode_and_send(&body, "plan", Input::PeerPlan)?,
                Ok(None) => {}
                Err(e) => return failed("plan", &e),
            }
        }
        Ok(())
    }

    fn plan_version(&self, service: ServiceId) -> PlanVersion {
        let details = self.shared.details();
        let plan: Option<&Arc<Plan>> = details.plans.get(&service);
        plan.map_or(PlanVersion(0), |plan| plan.version)
    }

    fn decode_and_send<T: DeserializeOwned>(
        &self,
        body: &[u8],
        what: &str,
        input: impl Fn(Arc<T>) -> Input,
    ) -> Result<(), (String, String)> {
        let value = serde_json::from_slice(body).map_err(|e| (what.to_owned(), e.to_string()))?;
        // The queue is closed only when the balancer stops.
        let _ = self.inputs.send(input(Arc::new(value)));
        Ok(())
    }
}
