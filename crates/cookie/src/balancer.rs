//! Data path state of one process, and its updates.

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhash::quality::FixedState;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiatrail_types::StoreRevision;

use crate::admission::overload::Overload;
use crate::effects::Pending;
use crate::exchange::load_exchange::OwnLoad;
use crate::liveness::attempts::RecentAttempts;
use crate::liveness::evidence::Evidence;
use crate::liveness::reports::Reports;
use crate::liveness::silence::probe_if_suspect;
use crate::packets::lost::LostFlows;
use crate::packets::routes::ManifestOutcome;
use crate::packets::unknown::UnknownCookies;
use crate::placement::pace::Paces;
use crate::placement::warmup::WarmupQuota;
use crate::targets::corrections::HeardCorrections;
use crate::targets::directory::TargetChange;
use crate::targets::registrations::{Registration, RegistrationOutcome, Registrations};
use crate::{
    Config, Directory, DomainLoad, Effects, EvacuationChange, EvacuationEvent, EvacuationList,
    Evacuations, FlowTable, Manifest, Routes, TargetEvent, TargetId,
};

/// Hash seed for splitting a route's flows among services. It is the same on every
/// balancer, so that retransmitted SYNs go to the same service.
const SPLIT_SEED: u64 = 0x5e71;

/// Hash seed for the number of the process, which must not depend on other uses of the
/// random number generator.
const PROCESS_SEED: u64 = 0x10ad;

/// Data path state of one process.
pub struct Balancer {
    pub(crate) cfg: Config,
    pub(crate) routes: Routes,
    pub(crate) manifest: Option<Arc<Manifest>>,
    pub(crate) directory: Directory,
    pub(crate) registrations: Registrations,
    pub(crate) heard_corrections: HeardCorrections,
    pub(crate) evacuations: Evacuations,
    pub(crate) warmup: WarmupQuota,
    pub(crate) flows: FlowTable,
    pub(crate) attempts: RecentAttempts,
    pub(crate) unknown: UnknownCookies,
    pub(crate) lost_flows: LostFlows,
    /// When the directory was last known to have all changes of targets.
    pub(crate) targets_current_at: Duration,
    pub(crate) overload: Overload,
    pub(crate) paces: Paces,
    pub(crate) reports: Reports,
    pub(crate) evidence: Evidence,
    pub(crate) domain_load: DomainLoad,
    /// Load through the balancers of the other failure domains.
    pub(crate) remote_load: DomainLoad,
    pub(crate) own_load: OwnLoad,
    pub(crate) pending: Pending,
    pub(crate) service_hasher: FixedState,
    /// SYNs are dropped until then because a pause of this process delayed them.
    pub(crate) drop_syns_until: Duration,
    pub(crate) rng: ChaCha8Rng,
}

impl Balancer {
    /// Creates a balancer without manifest and targets; `seed` seeds the random
    /// number generator.
    pub fn new(cfg: Config, seed: u64) -> Balancer {
        Balancer {
            cfg,
            routes: Routes::default(),
            manifest: None,
            directory: Directory::default(),
            registrations: Registrations::default(),
            heard_corrections: HeardCorrections::default(),
            evacuations: Evacuations::default(),
            warmup: WarmupQuota::default(),
            flows: FlowTable::default(),
            attempts: RecentAttempts::default(),
            unknown: UnknownCookies::default(),
            lost_flows: LostFlows::default(),
            targets_current_at: Duration::ZERO,
            overload: Overload::default(),
            paces: Paces::default(),
            reports: Reports::default(),
            evidence: Evidence::default(),
            domain_load: DomainLoad::default(),
            remote_load: DomainLoad::default(),
            own_load: OwnLoad::new(FixedState::with_seed(PROCESS_SEED).hash_one(seed) as u32),
            pending: Pending::default(),
            service_hasher: FixedState::with_seed(SPLIT_SEED),
            drop_syns_until: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Changes the settings and keeps all state.
    pub fn configure(&mut self, cfg: Config) {
        self.cfg = cfg;
    }

    /// Resets the revisions of the lists, so that the next ones apply whatever their
    /// revision. Used when switching to another store.
    pub fn forget_revision(&mut self) {
        self.directory.forget_revision();
        self.registrations.forget();
        self.evacuations.forget_revision();
    }

    /// Whether a manifest and a target list are loaded, and the evacuations if they are
    /// followed, so that packets can be served.
    pub fn is_ready(&self) -> bool {
        let evacuations = !self.cfg.follow_evacuations || self.evacuations.is_loaded();
        self.routes.version() > 0 && self.directory.is_loaded() && evacuations
    }

    /// Limit on a service's requests in flight through this balancer; `None` if the
    /// service is not overloaded.
    pub fn in_flight_limit(&self, now: Duration, service: &str) -> Option<u32> {
        self.overload.limit(now, service)
    }

    /// Requests per second that may be sent to the targets of a service through this
    /// balancer; `None` while all fit, or if its routes don't differ in priority.
    pub fn request_budget(&self, now: Duration, service: &str) -> Option<f64> {
        self.overload.budget(now, service)
    }

    /// Sets the wall clock: `wall` is the time since the Unix epoch. Balancers derive
    /// from it whom they refuse, so that they refuse the same clients; a wrong clock
    /// only makes them differ.
    pub fn set_wall_clock(&mut self, now: Duration, wall: Duration) {
        self.overload.set_wall_clock(now, wall);
    }

    /// Whether there are targets that new flows may go to and none can be reached. This
    /// VM is then likely partitioned from them, while other VMs may not be. Targets of
    /// evacuated failure domains don't count, even if only they can be reached.
    pub fn is_isolated(&self) -> bool {
        let mut usable = self.directory.usable().peekable();
        usable.peek().is_some() && usable.all(|t| t.health.is_unreachable())
    }

    /// Failure domain of this VM.
    pub fn domain(&self) -> Arc<str> {
        Arc::clone(&self.cfg.domain)
    }

    /// The routes in force.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    /// The target directory.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Load of the failure domain.
    pub fn domain_load(&self) -> &DomainLoad {
        &self.domain_load
    }

    /// Load of the other failure domains, in a small fleet.
    pub fn remote_load(&self) -> &DomainLoad {
        &self.remote_load
    }

    /// The evacuations in force.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Store revision of the evacuations; `None` if they are not followed.
    pub fn followed_evacuations(&self) -> Option<StoreRevision> {
        let followed = self.cfg.follow_evacuations;
        followed.then(|| self.evacuations.revision())
    }

    /// Flows through this balancer that are still open in a failure domain.
    pub fn flows_in_domain(&self, domain: &str) -> u32 {
        let targets = self.directory.iter();
        let targets = targets.filter(|t| *t.entry.domain == *domain);
        targets.map(|t| t.load.flows).sum()
    }

    /// Records the address of this balancer and its known peers in the failure domain.
    pub fn record_members(&mut self, now: Duration, own: SocketAddr, peers: &[SocketAddr]) {
        self.warmup.record_members(now, own, peers);
    }

    /// The flow table.
    pub fn flows(&self) -> &FlowTable {
        &self.flows
    }

    /// Applies a manifest that was written at `at` if it is newer than the one in
    /// force.
    pub fn apply_manifest(
        &mut self,
        manifest: Arc<Manifest>,
        at: StoreRevision,
    ) -> ManifestOutcome {
        let outcome = self.routes.apply(&manifest, at);
        if outcome != ManifestOutcome::Stale {
            self.overload.apply_manifest(&manifest);
            self.manifest = Some(manifest);
        }
        outcome
    }

    /// Applies a complete target list; see [`Directory::replace`].
    pub fn replace_targets(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        list: Vec<TargetChange>,
        store_stable: bool,
    ) -> Vec<(TargetId, TargetEvent)> {
        let isolated = self.is_isolated();
        let events = self.directory.replace(now, revision, list, store_stable);
        self.handle_target_events(now, isolated, &events);
        events
    }

    /// Applies changes of targets; see [`Directory::apply`].
    pub fn change_targets(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        changes: Vec<TargetChange>,
        store_stable: bool,
    ) -> Vec<(TargetId, TargetEvent)> {
        let isolated = self.is_isolated();
        let events = self.directory.apply(now, revision, changes, store_stable);
        self.handle_target_events(now, isolated, &events);
        events
    }

    /// Applies a complete list of the registrations in the store; see
    /// [`Balancer::replace_targets`].
    pub fn replace_registrations(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        list: Vec<Registration>,
        store_stable: bool,
    ) -> RegistrationOutcome {
        let (list, passed_over) = self.registrations.select_list(list);
        RegistrationOutcome {
            events: self.replace_targets(now, revision, list, store_stable),
            passed_over,
        }
    }

    /// Applies changes of registrations in the store; see [`Balancer::change_targets`].
    pub fn change_registrations(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        changes: Vec<Registration>,
        store_stable: bool,
    ) -> RegistrationOutcome {
        let (changes, passed_over) = self.registrations.select_changes(changes);
        RegistrationOutcome {
            events: self.change_targets(now, revision, changes, store_stable),
            passed_over,
        }
    }

    /// Resets the flows of targets that were lost. If no target could be reached before
    /// the changes (`isolated`), those that joined count as unreachable until they answer.
    pub(crate) fn handle_target_events(
        &mut self,
        now: Duration,
        isolated: bool,
        events: &[(TargetId, TargetEvent)],
    ) {
        self.reset_lost_flows(now, events);
        self.apply_corrections(now, events);
        let joined = events
            .iter()
            .filter(|(_, event)| *event == TargetEvent::Added);
        for (id, _) in joined.filter(|_| isolated) {
            self.directory.mark_unproven(*id);
        }
    }

    /// Applies a complete list of evacuations; see [`Evacuations`].
    pub fn replace_evacuations(
        &mut self,
        now: Duration,
        list: EvacuationList,
    ) -> Vec<(Arc<str>, EvacuationEvent)> {
        let events = self.evacuations.replace(now, list);
        self.enforce_evacuations(&events);
        events
    }

    /// Applies changes of evacuations up to `revision`.
    pub fn change_evacuations(
        &mut self,
        now: Duration,
        revision: StoreRevision,
        changes: Vec<EvacuationChange>,
    ) -> Vec<(Arc<str>, EvacuationEvent)> {
        let events = self.evacuations.apply(now, revision, changes);
        self.enforce_evacuations(&events);
        events
    }

    /// Takes back evacuations that a restored store still lacks after a grace period. To
    /// be called about once per second.
    pub fn sweep_evacuations(&mut self, now: Duration) -> Vec<(Arc<str>, EvacuationEvent)> {
        let events = self.evacuations.sweep(now);
        self.enforce_evacuations(&events);
        events
    }

    pub(crate) fn enforce_evacuations(&mut self, events: &[(Arc<str>, EvacuationEvent)]) {
        if !events.is_empty() {
            self.directory.set_evacuated(self.evacuations.domain_set());
        }
    }

    /// Expires idle flows and targets that are gone for long. To be called about
    /// once per second.
    pub fn sweep(&mut self, now: Duration) -> Vec<(TargetId, TargetEvent)> {
        let idle = self.routes.flow_idle().unwrap_or(self.cfg.flow_idle);
        let ended = self.flows.take_where(|_, flow| flow.is_expired(now, idle));
        for (_, flow) in ended {
            self.release_flow(flow);
        }
        self.expire_requests(now);
        self.attempts.sweep(now);
        self.reports.sweep(now);
        self.warmup.sweep(now);
        self.own_load.rates.sweep(now);
        self.paces.sweep(now);
        let overloads = self.overload.take_changes(&self.cfg.overload, now);
        self.pending.overloads.extend(overloads);
        self.unknown.sweep(now, self.cfg.flow_max_age);
        self.lost_flows.sweep(now);
        let retention = self.cfg.flow_max_age + idle;
        self.heard_corrections.sweep(now, retention);
        let compared_at = Some(self.targets_current_at).filter(|at| !at.is_zero());
        let events = self.directory.sweep(now, compared_at, retention);
        self.registrations.sweep(&self.directory);
        self.reset_lost_flows(now, &events);
        // Silent targets are probed until they answer, even without traffic.
        for target in self.directory.iter_mut().filter(|t| !t.is_gone()) {
            probe_if_suspect(&self.cfg, &mut self.pending, now, target);
        }
        events
    }

    /// Returns the effects since the last call; carry them out.
    pub fn take_effects(&mut self) -> Effects {
        self.pending.take()
    }
}
