//! State and interface of the failure detector.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::{MemberState, MemberUpdate, PeerAddress};

use crate::gossip::GossipQueue;
use crate::local::LocalNode;
use crate::member::Member;
use crate::probe::Pings;
use crate::rate_limiter::RateLimiter;
use crate::tombstones::Tombstones;
use crate::watchers::watchers;
use crate::{Event, Output, Settings};

/// Maximum number of candidates, which are probed before they become members.
const MAX_CANDIDATES: usize = 1_024;
/// Number of rounds in which a leave is announced.
const LEAVE_ANNOUNCEMENTS: u8 = 3;

/// Identity of this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Identifier of this process; a restart gets a new one.
    pub node: NodeId,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Addresses for other balancers.
    pub address: PeerAddress,
}

/// A balancer known only from others; it becomes a member with its first own message.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) address: SocketAddr,
    pub(crate) due: Duration,
    pub(crate) attempts: u8,
}

/// The failure detector of one balancer.
///
/// It does no I/O and reads no clock. The caller passes messages to
/// [`Membership::handle`], calls [`Membership::tick`] about every 50 ms, and
/// carries out the outputs that both return.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) local: LocalNode,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) members: BTreeMap<NodeId, Member>,
    pub(crate) tombstones: Tombstones,
    pub(crate) candidates: BTreeMap<NodeId, Candidate>,
    pub(crate) gossip: GossipQueue,
    pub(crate) pings: Pings,
    pub(crate) out: Vec<Output>,
    pub(crate) seeds: Vec<SocketAddr>,
    /// Time of the last call, for detecting pauses of the process.
    last_run: Option<Duration>,
    pub(crate) probe_at: Duration,
    pub(crate) reconnect_at: Duration,
    /// Whether the last periodic probe went to the successor in the ring of identifiers.
    pub(crate) probe_successor: bool,
    pub(crate) notification_limiter: RateLimiter,
    pub(crate) introduction_limiter: RateLimiter,
    /// Remaining rounds in which the leave of this balancer is announced.
    pub(crate) leave_announcements_left: u8,
}

impl Membership {
    /// Creates the detector of the balancer `me`; `rng_seed` determines its random choices.
    pub fn new(settings: Settings, me: Identity, rng_seed: u64) -> Self {
        let update = MemberUpdate {
            node: me.node,
            incarnation: 0,
            state: MemberState::Alive,
            domain: me.domain,
            address: me.address,
            ready: false,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(rng_seed);
        let first_sequence = rng.random();
        Self {
            notification_limiter: RateLimiter::new(settings.notifications_per_second),
            introduction_limiter: RateLimiter::new(settings.introductions_per_second),
            settings,
            local: LocalNode::new(update),
            rng,
            members: BTreeMap::new(),
            tombstones: Tombstones::default(),
            candidates: BTreeMap::new(),
            gossip: GossipQueue::default(),
            pings: Pings::new(first_sequence),
            out: Vec::new(),
            seeds: Vec::new(),
            last_run: None,
            probe_at: Duration::ZERO,
            reconnect_at: Duration::ZERO,
            probe_successor: false,
            leave_announcements_left: 0,
        }
    }

    /// Sets the control addresses at which other balancers may run, from the
    /// settings and the platform's list of VMs. The list may be stale.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) {
        seeds.retain(|s| *s != self.local.update.address.control());
        self.seeds = seeds;
    }

    /// Announces whether this balancer can own flows.
    pub fn set_ready(&mut self, ready: bool) {
        if self.local.set_ready(ready) {
            self.disseminate(self.local.update.node);
        }
    }

    /// Announces that this balancer has prepared a plan.
    pub fn set_prepared(&mut self, service: ServiceId, version: PlanVersion) {
        self.local.set_prepared(service, version);
    }

    /// Announces the table version of this balancer.
    pub fn set_table(&mut self, version: TableVersion) {
        self.local.set_table(version);
    }

    /// Announces that this balancer leaves. It still replies to messages; keep calling
    /// [`Self::tick`] for half a second, so that the announcement is repeated.
    pub fn leave(&mut self, now: Duration) -> Vec<Output> {
        self.local.update.state = MemberState::Left;
        self.leave_announcements_left = LEAVE_ANNOUNCEMENTS;
        self.tick(now)
    }

    /// Identifier of this balancer.
    pub fn local_id(&self) -> NodeId {
        self.local.update.node
    }

    /// State of this balancer as announced to others.
    pub fn local(&self) -> &MemberUpdate {
        &self.local.update
    }

    /// Latest plan of a service that this balancer has prepared.
    pub fn local_prepared(&self, service: ServiceId) -> PlanVersion {
        self.local.prepared(service)
    }

    /// The other members, alive or suspected, ordered by identifier.
    pub fn members(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.members.values()
    }

    /// Looks up another member, alive or suspected.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// Whether this balancer is one of the `count` platform watchers of its failure domain.
    pub fn is_watcher(&self, count: usize) -> bool {
        let me = self.local.update;
        self.watchers(me.domain, count).contains(&me.node)
    }

    /// The balancers of a failure domain that watch the platform; see [`watchers`].
    pub fn watchers(&self, domain: FailureDomain, count: usize) -> Vec<NodeId> {
        let me = self.local.update;
        let others = self.members.values().map(|m| (m.node(), m.domain()));
        let me = (me.state == MemberState::Alive).then_some((me.node, me.domain));
        watchers(others.chain(me), domain, count)
    }

    pub(crate) fn emit(&mut self, event: Event) {
        self.out.push(Output::Event(event));
    }

    /// Disseminates the update of a balancer: immediately to a few members, to the
    /// others piggybacked on probes.
    pub(crate) fn disseminate(&mut self, node: NodeId) {
        let log2_members = (self.members.len() + 2).next_power_of_two().ilog2();
        self.gossip
            .add(node, self.settings.retransmit_factor * log2_members);
        self.gossip.request_flush();
    }

    /// Restarts all timeouts after a pause of the process, since replies may have been lost
    /// in the meantime.
    pub(crate) fn detect_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_run.unwrap_or(now));
        self.last_run = Some(now);
        if pause < self.settings.pause_threshold {
            return;
        }
        self.pings.clear();
        for member in self.members.values_mut() {
            member.state_since = now;
            member.suspect_probe_at = now;
        }
        self.emit(Event::Woke { pause });
    }

    pub(crate) fn suspect(&mut self, now: Duration, node: NodeId, incarnation: u32) {
        let Some(member) = self.members.get_mut(&node) else {
            return;
        };
        if member.is_suspect() && member.update.incarnation >= incarnation {
            return;
        }
        member.update.state = MemberState::Suspect;
        member.update.incarnation = incarnation;
        member.state_since = now;
        member.suspect_probe_at = now;
        self.disseminate(node);
        self.emit(Event::Suspected(node));
    }

    /// Records that a balancer died or left and removes it from the members.
    pub(crate) fn record_departure(&mut self, now: Duration, update: MemberUpdate) {
        let node = update.node;
        self.candidates.remove(&node);
        let was_member = self.members.remove(&node).is_some();
        self.tombstones
            .insert(update, now, self.settings.max_tombstones);
        if !was_member {
            return;
        }
        self.disseminate(node);
        self.emit(match update.state {
            MemberState::Left => Event::Left(node),
            _ => Event::Died(node),
        });
    }

    pub(crate) fn add_candidate(&mut self, now: Duration, update: &MemberUpdate) {
        let known = self.candidates.contains_key(&update.node);
        if known || self.candidates.len() >= MAX_CANDIDATES {
            return;
        }
        // Random delay, so that not all members probe a joining balancer at once.
        let window = Duration::from_millis(20 * self.members.len() as u64);
        let due = now + window.mul_f64(self.rng.random());
        let candidate = Candidate {
            address: update.address.control(),
            due,
            attempts: 0,
        };
        self.candidates.insert(update.node, candidate);
    }
}
