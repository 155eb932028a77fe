//! Which other balancer is asked, when, and what its silence means.
//!
//! A balancer that the store does not answer asks others for what they know: one
//! that just started can serve then, and one that is cut off learns of targets
//! that came and went.
//!
//! Load pattern of [`Peers::is_minority`]: most balancers of a failure domain are
//! dead or stand still. Routers that find fewer than half of them ready send
//! packets to all, so that most are lost; if none is ready, they send them to
//! other failure domains. The few that are left then do better by stepping aside.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Settings of [`Peers`].
#[derive(Clone, Copy, Debug)]
pub struct PeersConfig {
    /// Mean time between two questions to any balancer.
    pub poll_interval: Duration,
    /// Time between two questions to balancers of the own failure domain, if they
    /// are few.
    pub local_poll_interval: Duration,
    /// Time between two questions while the store does not answer, or while a seed
    /// was never asked.
    pub store_down: Duration,
    /// Time between two questions while a balancer of the own failure domain does
    /// not answer.
    pub degraded_poll_interval: Duration,
    /// Most peers that are remembered.
    pub max_peers: usize,
    /// Failures in a row from which a peer is down.
    pub down_after: u32,
    /// Most peers of the own failure domain with which it is watched whether most
    /// are down: all have to find out, and the same, within a second or two.
    pub max_local_peers: usize,
    /// Time without an answer after which a peer that is no seed is forgotten: it
    /// was removed, and the routers have forgotten it too.
    pub forget_after: Duration,
    /// Most peers of each kind that one answer names: of the asking balancer's
    /// failure domain, and others.
    pub sample_size: usize,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(5),
            local_poll_interval: Duration::from_millis(500),
            store_down: Duration::from_millis(300),
            degraded_poll_interval: Duration::from_millis(50),
            max_peers: 64,
            down_after: 2,
            max_local_peers: 6,
            forget_after: Duration::from_secs(20),
            sample_size: 4,
        }
    }
}

/// Longest time to the next question to another failure domain while a balancer
/// of the own one does not answer.
const REMOTE_POLL_INTERVAL_DEGRADED: Duration = Duration::from_millis(400);

/// What became of a peer by an answer or its lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// It answered before, and did not now.
    Lost,
    /// It did not answer before, and did now.
    Recovered,
}

/// A balancer as others name it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct PeerInfo {
    /// Address that it is asked at.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// Named by the settings; never forgotten.
    seed: bool,
    /// Its failure domain, once told.
    domain: Option<Arc<str>>,
    /// When it was last asked.
    last_queried: Option<Duration>,
    /// Whether it could take packets when it last answered, if ever.
    serves: Option<bool>,
    /// Questions in a row without an answer.
    failures: u32,
    /// When the first of them was asked.
    failing_since: Duration,
}

impl Peer {
    fn is_in(&self, domain: &str) -> bool {
        self.domain.as_deref() == Some(domain)
    }
}

/// The other balancers that are known.
#[derive(Debug)]
pub struct Peers {
    cfg: PeersConfig,
    /// This balancer; never asked.
    own: PeerInfo,
    /// At most `cfg.most`, and the seeds.
    known: BTreeMap<SocketAddr, Peer>,
    last_query: Option<Duration>,
    /// When a peer of another failure domain is to be asked next.
    next_poll: Duration,
    rng: ChaCha8Rng,
}

impl Peers {
    /// Knows the seeds; `random` sets its random choices apart.
    pub fn new(cfg: PeersConfig, own: PeerInfo, seeds: &[SocketAddr], random: u64) -> Peers {
        let seed = Peer {
            seed: true,
            ..Peer::default()
        };
        let others = seeds.iter().filter(|a| **a != own.address);
        Peers {
            cfg,
            known: others.map(|a| (*a, seed.clone())).collect(),
            own,
            last_query: None,
            next_poll: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(random),
        }
    }

    /// Number of peers known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whom to ask now, if anybody. `store_down` says that the store does not answer:
    /// peers that answered last time are asked first then, each in turn.
    pub fn next_to_query(&mut self, now: Duration, store_down: bool) -> Option<SocketAddr> {
        let unqueried_seed = self
            .known
            .values()
            .any(|p| p.seed && p.last_queried.is_none());
        let degraded = self.has_failing_local_peer(now);
        let wait = if degraded {
            self.cfg.degraded_poll_interval
        } else if store_down || unqueried_seed {
            self.cfg.store_down
        } else {
            self.cfg.local_poll_interval
        };
        if self.last_query.is_some_and(|last| now < last + wait) {
            return None;
        }
        let address = if store_down {
            self.pick(|_| true, |peer| (peer.failures, peer.last_queried))
        } else if unqueried_seed {
            self.pick(|peer| peer.seed && peer.last_queried.is_none(), |_| ())
        } else if now >= self.next_poll {
            let poll_interval = self.cfg.poll_interval;
            self.next_poll = now + poll_interval / 2 + poll_interval.mul_f64(self.rng.random());
            self.pick(|_| true, |peer| peer.last_queried)
        } else if !self.monitors_domain() {
            None
        } else {
            let own = Arc::clone(&self.own.domain);
            self.pick(|peer| peer.is_in(&own), |peer| peer.last_queried)
        }?;
        if degraded {
            // The others are asked as well, for one of them has to take over.
            self.next_poll = self.next_poll.min(now + REMOTE_POLL_INTERVAL_DEGRADED);
        }
        self.last_query = Some(now);
        if let Some(peer) = self.known.get_mut(&address) {
            peer.last_queried = Some(now);
        }
        Some(address)
    }

    /// Takes in an answer: whether the peer could take packets, its failure
    /// domain, and the peers that it names.
    pub fn record_response(
        &mut self,
        from: &PeerInfo,
        serves: bool,
        named: &[PeerInfo],
    ) -> Option<PeerChange> {
        let change = self.record_contact(from);
        if let Some(peer) = self.known.get_mut(&from.address) {
            peer.serves = Some(serves);
        }
        for name in named {
            if !self.known.contains_key(&name.address) {
                self.add(name);
            }
        }
        change
    }

    /// Takes in a sign of life: the peer asked, or answered.
    pub fn record_contact(&mut self, name: &PeerInfo) -> Option<PeerChange> {
        if !self.known.contains_key(&name.address) {
            self.add(name);
        }
        let peer = self.known.get_mut(&name.address)?;
        peer.domain = Some(Arc::clone(&name.domain));
        let failures = std::mem::take(&mut peer.failures);
        (failures > 0).then_some(PeerChange::Recovered)
    }

    /// Takes in that a peer did not answer a question of `last_queried`.
    pub fn record_failure(
        &mut self,
        now: Duration,
        address: SocketAddr,
        last_queried: Duration,
    ) -> Option<PeerChange> {
        let peer = self.known.get_mut(&address)?;
        if peer.failures == 0 {
            peer.failing_since = last_queried;
        }
        peer.failures += 1;
        let first = peer.failures == 1;
        if !peer.seed && now >= peer.failing_since + self.cfg.forget_after {
            self.known.remove(&address);
        }
        first.then_some(PeerChange::Lost)
    }

    /// Some peers to name to another one, chosen at random among those that answer.
    pub fn sample(&mut self, domain: &str) -> Vec<PeerInfo> {
        let sample_size = self.cfg.sample_size;
        let answering = self.known.iter().filter(|(_, p)| p.failures == 0);
        let named = answering.filter_map(|(address, peer)| {
            let domain = Arc::clone(peer.domain.as_ref()?);
            let address = *address;
            Some(PeerInfo { address, domain })
        });
        let (local, remote): (Vec<_>, Vec<_>) = named.partition(|n| *n.domain == *domain);
        let mut sample = local.into_iter().sample(&mut self.rng, sample_size);
        sample.extend(remote.into_iter().sample(&mut self.rng, sample_size));
        sample
    }

    /// Whether fewer than half of the balancers of the own failure domain can take
    /// packets, this one included, while at least half of another one's can.
    pub fn is_minority(&self, now: Duration) -> bool {
        if !self.monitors_domain() {
            return false;
        }
        let known = self.known.values();
        let known = known.filter(|p| p.serves.is_some() && !self.is_expired(now, p));
        let (local, remote): (Vec<&Peer>, Vec<&Peer>) =
            known.partition(|p| p.is_in(&self.own.domain));
        let serves = |p: &&Peer| p.serves == Some(true) && p.failures < self.cfg.down_after;
        let serving = local.iter().copied().filter(serves).count() + 1;
        2 * serving < local.len() + 1 && has_healthy_domain(&remote)
    }

    /// Whether the peer is down for so long that it was removed.
    fn is_expired(&self, now: Duration, peer: &Peer) -> bool {
        peer.failures > 0 && now >= peer.failing_since + self.cfg.forget_after
    }

    /// Whether it matters who of the own failure domain is down: of two balancers
    /// one is half, and of many too few would step aside at the same time.
    fn monitors_domain(&self) -> bool {
        let local = self.known.values().filter(|p| p.is_in(&self.own.domain));
        (2..=self.cfg.max_local_peers).contains(&local.count())
    }

    /// Whether a peer of the own failure domain did not answer lately.
    fn has_failing_local_peer(&self, now: Duration) -> bool {
        if !self.monitors_domain() {
            return false;
        }
        let local = self.known.values().filter(|p| p.is_in(&self.own.domain));
        let mut failing = local.filter(|p| p.failures > 0 && !self.is_expired(now, p));
        failing.next().is_some()
    }

    /// The peer of the lowest rank among those that fit; among equals any.
    fn pick<R: Ord>(
        &mut self,
        eligible: impl Fn(&Peer) -> bool,
        rank: impl Fn(&Peer) -> R,
    ) -> Option<SocketAddr> {
        let eligible_peers = self.known.iter().filter(|(_, peer)| eligible(peer));
        let best = eligible_peers.clone().map(|(_, peer)| rank(peer)).min()?;
        let equals = eligible_peers.filter(|(_, peer)| rank(peer) == best);
        equals.map(|(address, _)| *address).choose(&mut self.rng)
    }

    /// Remembers a new peer; in the place of one that fails if there is no room.
    fn add(&mut self, name: &PeerInfo) {
        if name.address == self.own.address {
            return;
        }
        if self.known.len() >= self.cfg.max_peers {
            let failing = self.known.iter().find(|(_, p)| !p.seed && p.failures > 0);
            let local = *name.domain == *self.own.domain;
            let remote = self.known.iter().filter(|(_, p)| !p.seed && local);
            let mut remote = remote.filter(|(_, p)| !p.is_in(&self.own.domain));
            let Some((place, _)) = failing.or_else(|| remote.next()) else {
                return;
            };
            let place = *place;
            self.known.remove(&place);
        }
        let peer = Peer {
            domain: Some(Arc::clone(&name.domain)),
            ..Peer::default()
        };
        self.known.insert(name.address, peer);
    }
}

/// Whether at least half of the peers of any failure domain serve.
fn has_healthy_domain(peers: &[&Peer]) -> bool {
    let mut domains: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for peer in peers {
        let Some(domain) = peer.domain.as_deref() else {
            continue;
        };
        let (serving, all) = domains.entry(domain).or_default();
        *serving += usize::from(peer.serves == Some(true) && peer.failures == 0);
        *all += 1;
    }
    domains.values().any(|(serving, all)| 2 * serving >= *all)
}
