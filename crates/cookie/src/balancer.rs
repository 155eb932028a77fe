//! The decision on each packet.

use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use foldhash::quality::FixedState;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::attempts::Attempts;
use crate::decision::{Decision, DropReason, PlaceReason, ResetReason};
use crate::directory::{Target, TargetChange, TargetNews};
use crate::effects::Pending;
use crate::flows::Flow;
use crate::routes::Taken;
use crate::unknown::UnknownCookies;
use crate::{
    Candidate, Config, Cookie, Directory, Effects, FlowId, FlowReset, Flows, Manifest, ProbeOrder,
    Route, Routes, Segment, Suspicion, TargetEntry, TargetId, TargetKey, choose,
};

/// Silent targets of a failure domain from which the whole of it is doubted.
const SILENT_OF_DOMAIN: usize = 2;
/// Seed of the hash that splits a route's flows among services; the same on
/// every balancer, so that copies of an opening packet go to one service.
const SPLIT_SEED: u64 = 0x5e71;

/// Everything that a balancer decides from; enough to start another one.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// Revision of the store that the targets are from.
    pub revision: u64,
    /// Listed targets.
    pub targets: Vec<TargetEntry>,
    /// The manifest.
    pub manifest: Manifest,
}

/// The state of the data path of one process.
pub struct Balancer {
    cfg: Config,
    routes: Routes,
    manifest: Option<Arc<Manifest>>,
    directory: Directory,
    flows: Flows,
    attempts: Attempts,
    unknown: UnknownCookies,
    pending: Pending,
    split: FixedState,
    rng: ChaCha8Rng,
}

impl Balancer {
    /// A balancer that knows nothing; `seed` sets its random choices apart.
    pub fn new(cfg: Config, seed: u64) -> Balancer {
        Balancer {
            cfg,
            routes: Routes::default(),
            manifest: None,
            directory: Directory::default(),
            flows: Flows::default(),
            attempts: Attempts::default(),
            unknown: UnknownCookies::default(),
            pending: Pending::default(),
            split: FixedState::with_seed(SPLIT_SEED),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Changes the settings; what is remembered stays.
    pub fn configure(&mut self, cfg: Config) {
        self.cfg = cfg;
    }

    /// Takes the next list of targets whatever its revision: it is of another store.
    pub fn forget_revision(&mut self) {
        self.directory.forget_revision();
    }

    /// Whether packets can be placed: a manifest and a list of targets are there.
    pub fn is_ready(&self) -> bool {
        self.routes.version() > 0 && self.directory.is_loaded()
    }

    /// Whether every target that could take flows is silent: this VM is cut off
    /// from them, and others may not be.
    pub fn is_isolated(&self) -> bool {
        let mut usable = self.directory.iter().filter(|t| t.takes_flows()).peekable();
        usable.peek().is_some() && usable.all(|t| t.health.is_silent())
    }

    /// The routes in force.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    /// The targets.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The flows observed.
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// Puts a manifest in force if it is newer than the one in force.
    pub fn apply_manifest(&mut self, manifest: Arc<Manifest>) -> Taken {
        let taken = self.routes.apply(&manifest);
        if taken != Taken::Old {
            self.manifest = Some(manifest);
        }
        taken
    }

    /// Takes in a whole list of targets.
    pub fn replace_targets(
        &mut self,
        now: Duration,
        revision: u64,
        list: Vec<TargetChange>,
        settled: bool,
    ) -> Vec<(TargetId, TargetNews)> {
        let news = self.directory.replace(now, revision, list, settled);
        self.end_flows_of(&news);
        news
    }

    /// Takes in changes of targets.
    pub fn change_targets(
        &mut self,
        now: Duration,
        revision: u64,
        changes: Vec<TargetChange>,
        settled: bool,
    ) -> Vec<(TargetId, TargetNews)> {
        let news = self.directory.apply(now, revision, changes, settled);
        self.end_flows_of(&news);
        news
    }

    /// What another balancer needs to start; `None` before this one is ready.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let manifest = self.manifest.as_deref()?.clone();
        if !self.directory.is_loaded() {
            return None;
        }
        Some(Snapshot {
            revision: self.directory.revision(),
            targets: self.directory.listed().cloned().collect(),
            manifest,
        })
    }

    /// Forgets flows that are idle and targets that are long gone. To be called
    /// every second or so.
    pub fn sweep(&mut self, now: Duration) -> Vec<(TargetId, TargetNews)> {
        let idle = self.routes.flow_idle().unwrap_or(self.cfg.flow_idle);
        let ended = self
            .flows
            .take_ended(|_, flow| now >= flow.last_seen + idle);
        for (_, flow) in ended {
            self.unload(flow);
        }
        self.attempts.sweep(now);
        self.unknown.sweep(now, self.cfg.flow_max_age);
        let keep = self.cfg.flow_max_age + idle;
        let news = self.directory.sweep(now, keep);
        self.end_flows_of(&news);
        // A silent target is probed until it answers, also without packets.
        for target in self.directory.iter_mut().filter(|t| !t.is_gone()) {
            doubt(&self.cfg, &mut self.pending, now, target);
        }
        news
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Effects {
        self.pending.take()
    }

    /// Takes in whether something answered a probe. Returns whether the target
    /// has become silent.
    pub fn probed(&mut self, now: Duration, order: &ProbeOrder, answered: bool) -> bool {
        let Some(key) = self.directory.by_cookie(order.target.cookie()) else {
            return false;
        };
        let Some(target) = self.directory.get_mut(key) else {
            return false;
        };
        if target.entry.id != order.target || !target.health.probed(order.asked, answered) {
            return false;
        }
        let domain = Arc::clone(&target.entry.domain);
        self.reset_flows_of(&[key], ResetReason::TargetSilent);
        self.doubt_domain(now, &domain);
        true
    }

    /// Asks for probes of all targets with flows here in a failure domain of
    /// which several are silent: the domain may be cut off as a whole.
    fn doubt_domain(&mut self, now: Duration, domain: &str) {
        let in_domain = |t: &&mut Target| *t.entry.domain == *domain && !t.is_gone();
        let silent = self.directory.iter_mut().filter(in_domain);
        let silent = silent.filter(|t| t.health.is_silent()).count();
        if silent < SILENT_OF_DOMAIN {
            return;
        }
        for target in self.directory.iter_mut().filter(in_domain) {
            if target.load.flows > 0 && target.health.ask_probe(now) {
                self.pending.probes.push(order(target, now));
            }
        }
    }

    /// Takes in that the process stood still: packets that came meanwhile are
    /// only seen now, and tell nothing about targets.
    pub fn forget_evidence(&mut self, now: Duration) {
        for target in self.directory.iter_mut() {
            target.health.forget_evidence(now);
        }
    }

    /// Decides on a caller's packet.
    pub fn decide(&mut self, now: Duration, seg: &Segment) -> Decision {
        if !self.is_ready() {
            return Decision::Drop(DropReason::NotReady);
        }
        if seg.flags.syn {
            return self.decide_opening(now, seg);
        }
        if self.routes.was_removed(seg.flow.route) {
            self.end_flow(&seg.flow);
            return reset(seg, ResetReason::RouteRemoved);
        }
        self.decide_following(now, seg)
    }

    fn decide_opening(&mut self, now: Duration, seg: &Segment) -> Decision {
        let Some(route) = self.routes.get(seg.flow.route) else {
            return reset(seg, ResetReason::NoRoute);
        };
        let service = self.service_of(&seg.flow, route);
        let earlier = self.flows.get(&seg.flow);
        let copy = earlier.is_some_and(|flow| !flow.open && seg.ack > 0);
        if copy && earlier.is_some_and(|flow| seg.ack <= flow.copies) {
            return self.repeat_opening(now, seg, &service, earlier);
        }
        if let Some(flow) = earlier {
            self.end_flow(&seg.flow);
            if copy && let Some(target) = self.directory.get_mut(flow.target) {
                target.health.repeated(now, flow.sent, &self.cfg.health);
                doubt(&self.cfg, &mut self.pending, now, target);
            }
        }
        let avoid = match earlier.filter(|_| copy) {
            Some(flow) => Some(flow.target),
            None => self.attempts.failed(now, &seg.flow),
        };
        let Some(key) = self.place(now, &service, avoid) else {
            return reset(seg, ResetReason::NoTarget);
        };
        self.start_flow(now, seg, key);
        let reason = match copy {
            true => PlaceReason::Moved,
            false => PlaceReason::Placed,
        };
        self.forward(key, Some(seg), reason)
    }

    /// The network delivered the same copy twice.
    fn repeat_opening(
        &mut self,
        now: Duration,
        seg: &Segment,
        service: &str,
        earlier: Option<Flow>,
    ) -> Decision {
        let still = earlier.filter(|f| self.directory.of_service(service).contains(&f.target));
        match still {
            Some(flow) => self.forward(flow.target, Some(seg), PlaceReason::Repeated),
            None => match self.place(now, service, None) {
                Some(key) => self.forward(key, Some(seg), PlaceReason::Moved),
                None => reset(seg, ResetReason::NoTarget),
            },
        }
    }

    fn decide_following(&mut self, now: Duration, seg: &Segment) -> Decision {
        let remembered = self.flows.get(&seg.flow);
        let by_cookie = self.directory.by_cookie(seg.cookie);
        let (key, reason) = match (by_cookie, remembered) {
            (Some(key), _) => (key, PlaceReason::Cookie),
            (None, Some(flow)) if seg.cookie == Cookie(0) => (flow.target, PlaceReason::Remembered),
            (None, _) => return self.unknown_cookie(now, seg),
        };
        if self.directory.get(key).is_none_or(Target::is_gone) {
            self.end_flow(&seg.flow);
            return reset(seg, ResetReason::TargetGone);
        }
        if seg.flags.fin || seg.flags.rst {
            self.end_flow(&seg.flow);
            return self.forward(key, None, reason);
        }
        if self.observe(now, seg, key, remembered) {
            self.end_flow(&seg.flow);
            return reset(seg, ResetReason::TargetSilent);
        }
        self.forward(key, None, reason)
    }

    fn unknown_cookie(&mut self, now: Duration, seg: &Segment) -> Decision {
        if seg.cookie == Cookie(0) {
            return Decision::Drop(DropReason::NoCookie);
        }
        if self.unknown.age(now, seg.cookie) < self.cfg.unknown_grace {
            return Decision::Drop(DropReason::UnknownCookie);
        }
        reset(seg, ResetReason::UnknownTarget)
    }

    /// Takes in what a packet of an open flow tells about its target. Returns
    /// whether the flow is to be ended because the target is silent.
    fn observe(
        &mut self,
        now: Duration,
        seg: &Segment,
        key: TargetKey,
        remembered: Option<Flow>,
    ) -> bool {
        let Some(mut flow) = remembered.filter(|flow| flow.target == key) else {
            self.end_flow(&seg.flow);
            self.adopt(now, seg, key);
            return false;
        };
        let Some(target) = self.directory.get_mut(key) else {
            return false;
        };
        let answered = !flow.open || seg.ack != flow.acked;
        let repeated = !answered && seg.data_len > 0 && seg.seq == flow.seq;
        if answered {
            target.health.progress(now);
            self.attempts.answered(&seg.flow);
        }
        if answered {
            target.load.settle(&mut flow);
        }
        if repeated {
            target.health.repeated(now, flow.sent, &self.cfg.health);
            target.load.stick(&mut flow);
        } else if seg.data_len > 0 {
            self.attempts.sent(now, seg.flow, key);
            flow.seq = seg.seq;
            flow.sent = now;
        }
        if seg.data_len > 0 {
            target.load.occupy(&mut flow);
        }
        doubt(&self.cfg, &mut self.pending, now, target);
        let seems_silent = repeated && target.health.seems_silent(now, &self.cfg.health);
        let silent = target.health.is_silent() || seems_silent;
        flow.open = true;
        flow.acked = seg.ack;
        flow.last_seen = now;
        self.flows.insert(seg.flow, flow);
        let idempotent = self
            .routes
            .get(seg.flow.route)
            .is_some_and(|r| r.idempotent);
        // Repeated data of a request that must not run twice may have run: its
        // answer can still come. New data was never sent to the target.
        silent && seg.data_len > 0 && (idempotent || !repeated)
    }

    /// Observes a flow that another balancer placed.
    fn adopt(&mut self, now: Duration, seg: &Segment, key: TargetKey) {
        if self.flows.len() >= self.cfg.max_flows {
            return;
        }
        let Some(target) = self.directory.get_mut(key) else {
            return;
        };
        target.load.flows += 1;
        let flow = Flow {
            open: true,
            acked: seg.ack,
            seq: seg.seq,
            ..Flow::opening(key, now, 0)
        };
        self.flows.insert(seg.flow, flow);
    }

    fn start_flow(&mut self, now: Duration, seg: &Segment, key: TargetKey) {
        let Some(target) = self.directory.get_mut(key) else {
            return;
        };
        target.health.opening(now);
        self.attempts.sent(now, seg.flow, key);
        if self.flows.len() >= self.cfg.max_flows {
            return;
        }
        target.load.flows += 1;
        self.flows
            .insert(seg.flow, Flow::opening(key, now, seg.ack));
    }

    fn end_flow(&mut self, id: &FlowId) {
        if let Some(flow) = self.flows.remove(id) {
            self.unload(flow);
        }
    }

    fn unload(&mut self, flow: Flow) {
        let Some(target) = self.directory.get_mut(flow.target) else {
            return;
        };
        let mut flow = flow;
        target.load.settle(&mut flow);
        target.load.flows = target.load.flows.saturating_sub(1);
    }

    /// Ends the flows of targets that hold none any more.
    fn end_flows_of(&mut self, news: &[(TargetId, TargetNews)]) {
        let lost = |news: &TargetNews| matches!(news, TargetNews::Gone | TargetNews::Reborn);
        let lost = news.iter().filter(|(_, news)| lost(news));
        let keys: Vec<TargetKey> = lost
            .filter_map(|(id, _)| self.directory.by_cookie(id.cookie()))
            .collect();
        if !keys.is_empty() {
            self.reset_flows_of(&keys, ResetReason::TargetGone);
        }
    }

    /// Resets the flows of targets before their callers use them again: what is
    /// sent on a flow after its target fell silent is lost, and a request that
    /// must not run twice could not be tried again. A flow with such a request
    /// under way stays while the target may still answer it.
    fn reset_flows_of(&mut self, keys: &[TargetKey], reason: ResetReason) {
        let routes = &self.routes;
        let may_answer = reason == ResetReason::TargetSilent;
        let ended = self.flows.take_ended(|id, flow| {
            let idempotent = routes.get(id.route).is_some_and(|r| r.idempotent);
            let waits = may_answer && flow.busy && !idempotent;
            keys.contains(&flow.target) && !waits
        });
        for (flow, state) in ended {
            self.unload(state);
            let acked = state.acked;
            let reset = FlowReset {
                flow,
                acked,
                reason,
            };
            self.pending.resets.push_back(reset);
        }
    }

    fn service_of(&self, flow: &FlowId, route: &Route) -> Arc<str> {
        let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut point = self.split.hash_one(flow) % total.max(1);
        for share in &route.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Arc::clone(&share.service);
            }
            point -= weight;
        }
        let first = route.shares.first();
        first.map_or_else(|| Arc::from(""), |s| Arc::clone(&s.service))
    }

    fn place(
        &mut self,
        now: Duration,
        service: &str,
        avoid: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let keys = self.directory.of_service(service).to_vec();
        let mut candidates = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(target) = self.directory.get_mut(key) else {
                continue;
            };
            let before = target.health.doubts();
            let suspected = target.health.avoided(now, &self.cfg.health);
            if target.health.doubts() > before {
                self.pending.suspicions.push(Suspicion {
                    target: target.entry.id,
                    doubts: target.health.doubts(),
                    flows: target.load.flows,
                });
            }
            doubt(&self.cfg, &mut self.pending, now, target);
            candidates.push(Candidate {
                key,
                local: target.entry.domain == self.cfg.domain,
                cold: now < target.cold_until,
                avoid: suspected || avoid == Some(key),
                slots: target.entry.slots,
                load: target.load,
            });
        }
        choose(&self.cfg.place, candidates.into_iter(), &mut self.rng)
    }

    fn forward(&self, key: TargetKey, opening: Option<&Segment>, reason: PlaceReason) -> Decision {
        let Some(target) = self.directory.get(key) else {
            return Decision::Drop(DropReason::UnknownCookie);
        };
        let id = target.entry.id;
        Decision::Forward {
            target: id,
            to: target.entry.address,
            cookie: opening.map(|_| id.cookie()),
            reason,
        }
    }
}

fn order(target: &Target, now: Duration) -> ProbeOrder {
    ProbeOrder {
        target: target.entry.id,
        address: target.entry.address,
        asked: now,
    }
}

/// Asks for a probe of a target if packets raise a doubt.
fn doubt(cfg: &Config, pending: &mut Pending, now: Duration, target: &mut Target) {
    if target.health.take_probe(now, &cfg.health) {
        pending.probes.push(order(target, now));
    }
}

/// A reset is never answered by a reset.
fn reset(seg: &Segment, reason: ResetReason) -> Decision {
    match seg.flags.rst {
        true => Decision::Drop(DropReason::PointlessReset),
        false => Decision::Reset(reason),
    }
}
