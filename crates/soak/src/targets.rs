//! Targets that join and leave, and the manifest with the routes to their services.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use sequoiatrail_cookie::{Lifecycle, TargetId};
use sequoiatrail_stand_in::{ExecutionLog, RouteSpec, Store, StoreCopy, Target};
use serde_json::json;
use snafu::ResultExt;

use crate::error::{Result, SocketSnafu};

/// Name and route port of each service; requests to the second are not idempotent
/// and must not run twice.
pub(crate) const SERVICES: [(&str, u16); 2] = [("app", 443), ("orders", 8_080)];
/// Number of targets of each service.
const TARGETS: usize = 4;
/// Time that a draining target keeps serving.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);
/// Time until the lease of a crashed target expires and its entry is removed.
const LEASE_TIMEOUT: Duration = Duration::from_millis(3_600);
/// Heartbeat interval of targets: they write to a restored store again after it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Prefixes of the names of other writers' entries, before the digits of a target.
const FOREIGN_PREFIXES: [&str; 3] = ["copy-", "notes.of-", ""];
/// Content of these entries in turn with those that can't be read.
const NOTE: &[u8] = br#"{"note":"of last night"}"#;
/// Contents that can't be read.
const ODD_CONTENTS: [&[u8]; 4] = [
    br#"{"service":"\ud83d"}"#,
    b"\"\xff\xfe\"",
    b"[1e999]",
    br#"{"service":"app"#,
];

/// Failure domain that is evacuated; its targets have odd identities.
pub(crate) const EVACUATED_DOMAIN: &str = "b";

/// Address of a service's route.
pub(crate) fn route(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), SERVICES[service].1)
}

/// Whether a target is in [`EVACUATED_DOMAIN`] if there are two failure domains.
pub(crate) fn is_evacuated(target: TargetId) -> bool {
    !target.0.is_multiple_of(2)
}

/// All targets.
pub(crate) struct Targets {
    live: Vec<(usize, Target)>,
    leaving: VecDeque<(Instant, Target)>,
    /// Targets that drain and start again with the same id, and when.
    restarting: VecDeque<(Instant, usize, Target)>,
    /// Names of other writers' entries.
    foreign: Vec<String>,
    /// Whether the next such entries can be read.
    notes_next: bool,
    /// Names of entries of crashed targets, and when they expire.
    expiring: VecDeque<(Instant, String)>,
    /// When the operator and the targets write to the restored store again.
    write_again_at: Option<Instant>,
    /// Whether there are targets in [`EVACUATED_DOMAIN`] too.
    two_domains: bool,
    next_id: u64,
    version: u64,
    caller_port: u16,
    execution_log: ExecutionLog,
}

impl Targets {
    /// Starts the first targets of all services.
    pub fn start(
        store: &Store,
        caller_port: u16,
        execution_log: &ExecutionLog,
        two_domains: bool,
    ) -> Result<Targets> {
        let mut targets = Targets {
            live: Vec::new(),
            leaving: VecDeque::new(),
            restarting: VecDeque::new(),
            foreign: Vec::new(),
            notes_next: true,
            expiring: VecDeque::new(),
            write_again_at: None,
            two_domains,
            next_id: 0x1000,
            version: 0,
            caller_port,
            execution_log: execution_log.clone(),
        };
        targets.put_manifest(store);
        for service in 0..SERVICES.len() {
            for _ in 0..TARGETS {
                targets.add(store, service)?;
            }
        }
        Ok(targets)
    }

    /// Stores a manifest with a higher version and one unused extra route.
    pub fn put_manifest(&mut self, store: &Store) {
        self.version += 3;
        self.write_manifest(store);
    }

    /// Stores the current manifest.
    fn write_manifest(&self, store: &Store) {
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

    /// Stores a target entry that can't be decoded.
    pub fn put_unreadable_entry(&mut self, store: &Store) {
        self.next_id += 1;
        let spec = json!({ "service": "app", "address": self.next_id });
        store.put_raw_target(&format!("i-{:x}", self.next_id), spec);
    }

    /// Starts a target, and drains and removes another one of its service.
    pub fn replace(&mut self, store: &Store, pick: usize) -> Result<()> {
        let index = pick % self.live.len();
        let service = self.live[index].0;
        self.add(store, service)?;
        let (_, target) = self.live.remove(index);
        store.put_target(&target, Lifecycle::Draining);
        target.drain();
        self.leaving
            .push_back((Instant::now() + DRAIN_TIME, target));
        Ok(())
    }

    /// Crashes a target for good; its entry expires, and another target starts.
    pub fn crash(&mut self, store: &Store, pick: usize) -> Result<()> {
        let index = pick % self.live.len();
        let (service, target) = self.live.remove(index);
        let until = Instant::now() + LEASE_TIMEOUT;
        self.expiring.push_back((until, target.name()));
        drop(target);
        self.add(store, service)
    }

    /// Crashes a target and restarts it at once with the same id.
    pub fn restart(&mut self, store: &Store, pick: usize) -> Result<()> {
        let index = pick % self.live.len();
        let (service, target) = self.live.remove(index);
        let id = target.id();
        drop(target);
        self.launch(store, service, id)
    }

    /// Drains a target, which starts again with the same id once it has ended; another one
    /// takes its place meanwhile.
    pub fn restart_in_place(&mut self, store: &Store, pick: usize) -> Result<()> {
        // Both of a service's targets may not be away at the same time.
        if !self.restarting.is_empty() {
            return Ok(());
        }
        let index = pick % self.live.len();
        let (service, target) = self.live.remove(index);
        store.put_target(&target, Lifecycle::Draining);
        target.drain();
        let until = Instant::now() + DRAIN_TIME;
        self.restarting.push_back((until, service, target));
        Ok(())
    }

    /// Writes entries of another writer, with the digits of targets and of none.
    pub fn put_foreign_entries(&mut self, store: &Store) {
        let targets = self.live.iter().map(|(_, target)| target.id().0);
        for (n, id) in targets.chain([self.next_id + 0x9_0000]).enumerate() {
            let prefix = FOREIGN_PREFIXES[n % FOREIGN_PREFIXES.len()];
            let name = format!("{prefix}{id:x}");
            let content = match self.notes_next {
                true => NOTE,
                false => ODD_CONTENTS[n % ODD_CONTENTS.len()],
            };
            store.put_target_bytes(&name, content);
            self.foreign.push(name);
        }
        self.notes_next = !self.notes_next;
    }

    /// Removes the entries of the other writer.
    pub fn remove_foreign_entries(&mut self, store: &Store) {
        for name in self.foreign.drain(..) {
            store.remove_target(&name);
        }
    }

    /// Removes entries that are due, and starts targets again.
    ///
    /// # Errors
    ///
    /// If a target can't be started.
    pub fn tick(&mut self, store: &Store) -> Result<()> {
        let now = Instant::now();
        while self.restarting.front().is_some_and(|(at, ..)| now >= *at) {
            if let Some((_, service, target)) = self.restarting.pop_front() {
                let id = target.id();
                drop(target);
                self.launch(store, service, id)?;
            }
        }
        if self.write_again_at.is_some_and(|at| now >= at) {
            self.write_again_at = None;
            self.write_again(store);
        }
        while self.leaving.front().is_some_and(|(at, _)| now >= *at) {
            if let Some((_, target)) = self.leaving.pop_front() {
                store.remove_target(&target.name());
            }
        }
        while self.expiring.front().is_some_and(|(at, _)| now >= *at) {
            if let Some((_, name)) = self.expiring.pop_front() {
                store.remove_target(&name);
            }
        }
        Ok(())
    }

    /// After a restore: the operator and the targets notice it within a heartbeat,
    /// and leases of targets that no longer exist expire again.
    pub fn write_again_soon(&mut self, copy: &StoreCopy) {
        let now = Instant::now();
        self.write_again_at = Some(now + HEARTBEAT_INTERVAL);
        let live = self.live.iter().map(|(_, target)| target);
        let leaving = self.leaving.iter().map(|(_, target)| target);
        let restarting = self.restarting.iter().map(|(_, _, target)| target);
        let present = live.chain(leaving).chain(restarting);
        let present: HashSet<String> = present.map(Target::name).collect();
        let lost = copy.target_names().filter(|name| !present.contains(*name));
        let expired = lost.map(|name| (now + LEASE_TIMEOUT, name.to_owned()));
        self.expiring.extend(expired);
    }

    fn write_again(&self, store: &Store) {
        self.write_manifest(store);
        for (_, target) in &self.live {
            store.put_target(target, Lifecycle::Ready);
        }
        let restarting = self.restarting.iter().map(|(_, _, target)| target);
        for target in self.leaving.iter().map(|(_, t)| t).chain(restarting) {
            store.put_target(target, Lifecycle::Draining);
        }
    }

    fn add(&mut self, store: &Store, service: usize) -> Result<()> {
        self.next_id += 1;
        if self.two_domains && is_evacuated(TargetId(self.next_id)) && self.remaining(service) < 2 {
            self.next_id += 1;
        }
        self.launch(store, service, TargetId(self.next_id))
    }

    /// Number of targets of a service that an evacuation leaves; never 0 between two
    /// planned changes.
    fn remaining(&self, service: usize) -> usize {
        let live = self.live.iter().filter(|(of, _)| *of == service);
        live.filter(|(_, target)| !is_evacuated(target.id()))
            .count()
    }

    fn launch(&mut self, store: &Store, service: usize, id: TargetId) -> Result<()> {
        let domain = match self.two_domains && is_evacuated(id) {
            true => EVACUATED_DOMAIN,
            false => "a",
        };
        let service_and_domain = (SERVICES[service].0, domain);
        let target = Target::start(
            id,
            service_and_domain,
            0,
            self.caller_port,
            &self.execution_log,
        )
        .context(SocketSnafu)?;
        store.put_target(&target, Lifecycle::Ready);
        self.live.push((service, target));
        Ok(())
    }
}
