//! The thread that fetches from other balancers what this one lacks.

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
use crate::board::Board;
use crate::control::Input;

/// Time between two looks at what others have.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time that the platform gets to bring what another balancer has already.
const PLATFORM_FIRST: Duration = Duration::from_millis(600);
/// Time to the next attempt after a failed one.
const AFTER_FAILURE: Duration = Duration::from_secs(1);

/// What the thread works with.
pub(crate) struct Fetcher {
    pub net: Arc<PeerNet>,
    pub core: Arc<Core>,
    pub board: Arc<Board>,
    pub clock: Arc<dyn Clock>,
    pub log: Log,
    pub inputs: Sender<Input>,
    /// Since when others have something newer.
    pub behind_since: Option<Duration>,
}

impl Fetcher {
    /// Works until told to end.
    pub fn run(mut self, stop: &StopFlag) {
        while !stop.is_set() {
            let view = self.net.members();
            let fetched = self
                .fetch_state(&view)
                .and_then(|()| self.fetch_newer(&view));
            let pause = match fetched {
                Ok(()) => INTERVAL,
                Err((object, error)) => {
                    self.log.emit(Event::FetchFailed { object, error });
                    AFTER_FAILURE
                }
            };
            thread::sleep(pause);
        }
    }

    /// What this balancer needs to know before it can own flows.
    fn fetch_state(&self, view: &View) -> Result<(), (String, String)> {
        if !self.board.wants_state.load(Ordering::Acquire) {
            return Ok(());
        }
        let Some(peer) = view.peers.iter().find(|p| p.ready && !p.suspect) else {
            return Ok(());
        };
        let messages = self
            .net
            .fetch_state(peer.node)
            .map_err(|e| ("state".to_owned(), e.to_string()))?;
        self.board.wants_state.store(false, Ordering::Release);
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
        let wait = self.board.platform_reachable.load(Ordering::Relaxed);
        if wait && now < since + PLATFORM_FIRST {
            return Ok(());
        }
        let failed = |what: &str, e: &dyn ToString| Err((what.to_owned(), e.to_string()));
        if let Some(peer) = newer_table {
            match self.net.fetch_table(peer.node, table.version) {
                Ok(Some((_, body))) => self.pass_on(&body, "table", Input::PeerTable)?,
                Ok(None) => {}
                Err(e) => return failed("table", &e),
            }
        }
        if let Some((service, peer)) = newer_plan {
            let than = self.plan_version(service);
            match self.net.fetch_plan(peer.node, service, than) {
                Ok(Some((_, body))) => self.pass_on(&body, "plan", Input::PeerPlan)?,
                Ok(None) => {}
                Err(e) => return failed("plan", &e),
            }
        }
        Ok(())
    }

    fn plan_version(&self, service: ServiceId) -> PlanVersion {
        let facts = self.board.facts();
        let plan: Option<&Arc<Plan>> = facts.plans.get(&service);
        plan.map_or(PlanVersion(0), |plan| plan.version)
    }

    fn pass_on<T: DeserializeOwned>(
        &self,
        body: &[u8],
        what: &str,
        input: impl Fn(Arc<T>) -> Input,
    ) -> Result<(), (String, String)> {
        let value = serde_json::from_slice(body).map_err(|e| (what.to_owned(), e.to_string()))?;
        // A closed queue means that the balancer ends.
        let _ = self.inputs.send(input(Arc::new(value)));
        Ok(())
    }
}
