//! Targets that come and go, and the manifest that names their services.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use sequoiatrail_cookie::{Lifecycle, TargetId};
use sequoiatrail_stand_in::{ExecutionLog, RouteSpec, Store, Target};
use serde_json::json;
use snafu::ResultExt;

use crate::error::{Result, SocketSnafu};

/// Services with the port of their route; the second one's requests must not run twice.
pub(crate) const SERVICES: [(&str, u16); 2] = [("app", 443), ("orders", 8_080)];
/// Targets of a service.
const TARGETS: usize = 4;
/// Time that a target serves on after it began to drain.
const DRAIN: Duration = Duration::from_millis(4_500);
/// Time until the store notices that a target died.
const LAPSE: Duration = Duration::from_millis(3_600);

/// The address of a service's route.
pub(crate) fn route(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), SERVICES[service].1)
}

/// All targets.
pub(crate) struct Targets {
    live: Vec<(usize, Target)>,
    leaving: VecDeque<(Instant, Target)>,
    /// Names of entries that go, and when.
    lapsing: VecDeque<(Instant, String)>,
    next_id: u64,
    version: u64,
    caller_port: u16,
    runs: ExecutionLog,
}

impl Targets {
    pub fn start(store: &Store, caller_port: u16, runs: &ExecutionLog) -> Result<Targets> {
        let mut targets = Targets {
            live: Vec::new(),
            leaving: VecDeque::new(),
            lapsing: VecDeque::new(),
            next_id: 0x1000,
            version: 0,
            caller_port,
            runs: runs.clone(),
        };
        targets.put_manifest(store);
        for service in 0..SERVICES.len() {
            for _ in 0..TARGETS {
                targets.join(store, service)?;
            }
        }
        Ok(targets)
    }

    /// A manifest with a higher version and one more route that nobody uses.
    pub fn put_manifest(&mut self, store: &Store) {
        self.version += 3;
        let spare = RouteSpec {
            address: SocketAddrV4::new([198, 18, 0, 9].into(), 1_000 + self.version as u16),
            idempotent: true,
            service: SERVICES[0].0.into(),
        };
        let used = (0..SERVICES.len()).map(|service| RouteSpec {
            address: route(service),
            idempotent: service == 0,
            service: SERVICES[service].0.into(),
        });
        let routes: Vec<RouteSpec> = used.chain([spare]).collect();
        store.put_manifest(self.version, &routes);
    }

    /// An entry that can't be read.
    pub fn put_strange_entry(&mut self, store: &Store) {
        self.next_id += 1;
        let spec = json!({ "service": "app", "address": self.next_id });
        store.put_raw_target(&format!("i-{:x}", self.next_id), spec);
    }

    /// One target joins, and another one of its service drains and leaves.
    pub fn replace(&mut self, store: &Store, pick: usize) -> Result<()> {
        let place = pick % self.live.len();
        let service = self.live[place].0;
        self.join(store, service)?;
        let (_, target) = self.live.remove(place);
        store.put_target(&target, Lifecycle::Draining);
        target.drain();
        self.leaving.push_back((Instant::now() + DRAIN, target));
        Ok(())
    }

    /// A target dies for good; its entry lapses, and another one joins.
    pub fn crash(&mut self, store: &Store, pick: usize) -> Result<()> {
        let place = pick % self.live.len();
        let (service, target) = self.live.remove(place);
        let until = Instant::now() + LAPSE;
        self.lapsing.push_back((until, target.name()));
        drop(target);
        self.join(store, service)
    }

    /// A target dies and starts again at once under its identity.
    pub fn reborn(&mut self, store: &Store, pick: usize) -> Result<()> {
        let place = pick % self.live.len();
        let (service, target) = self.live.remove(place);
        let id = target.id();
        drop(target);
        self.begin(store, service, id)
    }

    /// Ends what is due.
    pub fn tick(&mut self, store: &Store) {
        let now = Instant::now();
        while self.leaving.front().is_some_and(|(at, _)| now >= *at) {
            if let Some((_, target)) = self.leaving.pop_front() {
                store.remove_target(&target.name());
            }
        }
        while self.lapsing.front().is_some_and(|(at, _)| now >= *at) {
            if let Some((_, name)) = self.lapsing.pop_front() {
                store.remove_target(&name);
            }
        }
    }

    fn join(&mut self, store: &Store, service: usize) -> Result<()> {
        self.next_id += 1;
        self.begin(store, service, TargetId(self.next_id))
    }

    fn begin(&mut self, store: &Store, service: usize, id: TargetId) -> Result<()> {
        let place = (SERVICES[service].0, "a");
        let target =
            Target::start(id, place, 0, self.caller_port, &self.runs).context(SocketSnafu)?;
        store.put_target(&target, Lifecycle::Ready);
        self.live.push((service, target));
        Ok(())
    }
}
