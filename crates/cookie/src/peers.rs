//! Polling of other balancers and detection of a failed local majority.
//!
//! While the store is unreachable, a balancer queries its peers for snapshots: one
//! that just started can then serve, and one that is cut off learns of target
//! changes.
//!
//! [`Peers::is_minority`] covers the case that most balancers of a failure domain
//! are dead or paused. Routers that see fewer than half of them ready send packets
//! to all of them, so most packets are lost; if none is ready, they use other
//! failure domains. The remaining few should therefore report not ready.

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
    /// Mean time between two queries across all failure domains.
    pub poll_interval: Duration,
    /// Time between two queries to peers of the own failure domain if it is
    /// monitored, see `max_monitored_peers`.
    pub local_poll_interval: Duration,
    /// Time between two queries while the store is down, or until each seed was
    /// queried once.
    pub urgent_poll_interval: Duration,
    /// Time between two queries while a peer of the own failure domain is failing.
    pub degraded_poll_interval: Duration,
    /// Maximum number of known peers, unless there are more seeds.
    pub max_peers: usize,
    /// Consecutive failures from which a peer is down.
    pub down_after: u32,
    /// Maximum number of peers of the own failure domain for which the domain is
    /// monitored: all of them must reach the same conclusion within a second or two.
    pub max_monitored_peers: usize,
    /// Time without a response after which a peer that is not a seed is removed:
    /// it was taken out of service, and the routers have dropped it too.
    pub forget_after: Duration,
    /// Maximum number of peers per response that are outside of the querying balancer's
    /// failure domain.
    pub sample_size: usize,
    /// Maximum number of peers per response that are in its failure domain. More make
    /// all balancers of a domain known sooner.
    pub local_sample_size: usize,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(5),
            local_poll_interval: Duration::from_millis(500),
            urgent_poll_interval: Duration::from_millis(300),
            degraded_poll_interval: Duration::from_millis(50),
            max_peers: 64,
            down_after: 2,
            max_monitored_peers: 6,
            forget_after: Duration::from_secs(20),
            sample_size: 4,
            local_sample_size: 4,
        }
    }
}

/// Maximum time to the next query across all failure domains while a peer of the own
/// one is failing.
const MAX_POLL_DELAY_DEGRADED: Duration = Duration::from_millis(400);

/// Change of a peer's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// The peer stopped responding.
    Lost,
    /// The peer responds again.
    Recovered,
}

/// Address and failure domain of a balancer, as exchanged between balancers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct PeerInfo {
    /// Address that accepts queries.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// Configured in the settings; never removed.
    seed: bool,
    /// Its failure domain, once known.
    domain: Option<Arc<str>>,
    /// When it was last queried.
    last_queried: Option<Duration>,
    /// Whether it could serve packets at its last response, if there was one.
    serves: Option<bool>,
    /// Consecutive queries without a response.
    failures: u32,
    /// When the first of them was sent.
    failing_since: Duration,
}

impl Peer {
    fn is_in(&self, domain: &str) -> bool {
        self.domain.as_deref() == Some(domain)
    }
}

/// The known peers: other balancers.
#[derive(Debug)]
pub struct Peers {
    cfg: PeersConfig,
    /// This balancer; never queried.
    own: PeerInfo,
    /// At most `cfg.max_peers`, unless there are more seeds.
    known: BTreeMap<SocketAddr, Peer>,
    last_query: Option<Duration>,
    /// When the next query across all failure domains is due.
    next_poll: Duration,
    rng: ChaCha8Rng,
}

impl Peers {
    /// Starts with the seeds; `random` seeds the random number generator.
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

    /// Number of known peers.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the peer to query now, if any. While the store is down, peers that
    /// responded last time go first, in turn.
    pub fn next_to_query(&mut self, now: Duration, store_down: bool) -> Option<SocketAddr> {
        // In a large fleet the first seed lists enough others.
        let needs_seeds = !self.knows_many();
        let unqueried_seed = needs_seeds
            && self
                .known
                .values()
                .any(|p| p.seed && p.last_queried.is_none());
        let degraded = self.has_failing_local_peer(now);
        let wait = if degraded {
            self.cfg.degraded_poll_interval
        } else if store_down || unqueried_seed {
            self.cfg.urgent_poll_interval
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
            // Every balancer knows the seeds, so they would be queried by all of them.
            self.pick(|peer| needs_seeds || !peer.seed, |peer| peer.last_queried)
        } else if !self.monitors_domain() {
            None
        } else {
            let own = Arc::clone(&self.own.domain);
            self.pick(|peer| peer.is_in(&own), |peer| peer.last_queried)
        }?;
        if degraded {
            // Other domains are queried sooner too, since one of them has to take over.
            self.next_poll = self.next_poll.min(now + MAX_POLL_DELAY_DEGRADED);
        }
        self.last_query = Some(now);
        if let Some(peer) = self.known.get_mut(&address) {
            peer.last_queried = Some(now);
        }
        Some(address)
    }

    /// Records a response: the peer's address and failure domain, whether it could
    /// serve packets, and the peers that it lists.
    pub fn record_response(
        &mut self,
        from: &PeerInfo,
        serves: bool,
        listed: &[PeerInfo],
    ) -> Option<PeerChange> {
        let change = self.record_contact(from);
        if let Some(peer) = self.known.get_mut(&from.address) {
            peer.serves = Some(serves);
        }
        for info in listed {
            if !self.known.contains_key(&info.address) {
                self.add(info);
            }
        }
        change
    }

    /// Records a query or a response from a peer.
    pub fn record_contact(&mut self, info: &PeerInfo) -> Option<PeerChange> {
        if !self.known.contains_key(&info.address) {
            self.add(info);
        }
        let peer = self.known.get_mut(&info.address)?;
        peer.domain = Some(Arc::clone(&info.domain));
        let failures = std::mem::take(&mut peer.failures);
        (failures > 0).then_some(PeerChange::Recovered)
    }

    /// Records that a peer did not respond to a query sent at `queried_at`.
    pub fn record_failure(
        &mut self,
        now: Duration,
        address: SocketAddr,
        queried_at: Duration,
    ) -> Option<PeerChange> {
        let peer = self.known.get_mut(&address)?;
        if peer.failures == 0 {
            peer.failing_since = queried_at;
        }
        peer.failures += 1;
        let first = peer.failures == 1;
        if !peer.seed && now >= peer.failing_since + self.cfg.forget_after {
            self.known.remove(&address);
        }
        first.then_some(PeerChange::Lost)
    }

    /// Addresses of the peers of the own failure domain that are not failing.
    pub fn local_peers(&self) -> Vec<SocketAddr> {
        let local = self.known.iter();
        let local = local.filter(|(_, p)| p.failures == 0 && p.is_in(&self.own.domain));
        local.map(|(address, _)| *address).collect()
    }

    /// Addresses of the peers of other failure domains that are not failing; `None` in a
    /// fleet of more balancers than are remembered, whose others are unknown.
    pub fn remote_peers(&self) -> Option<Vec<SocketAddr>> {
        if self.known.len() >= self.cfg.max_peers {
            return None;
        }
        let known = self.known.iter().filter(|(_, p)| p.failures == 0);
        let remote = known.filter(|(_, p)| p.domain.is_some() && !p.is_in(&self.own.domain));
        Some(remote.map(|(address, _)| *address).collect())
    }

    /// Addresses of all known peers that are not failing.
    pub fn responding_peers(&self) -> Vec<SocketAddr> {
        let known = self.known.iter().filter(|(_, p)| p.failures == 0);
        known.map(|(address, _)| *address).collect()
    }

    /// Whether any peer responds, or there is none to respond.
    pub fn is_connected(&self) -> bool {
        let responds = |p: &Peer| p.serves.is_some() && p.failures == 0;
        self.known.is_empty() || self.known.values().any(responds)
    }

    /// Random sample of peers that are not failing, to send to a peer in `domain`.
    pub fn sample(&mut self, domain: &str) -> Vec<PeerInfo> {
        let sample_size = self.cfg.sample_size;
        let responding = self.known.iter().filter(|(_, p)| p.failures == 0);
        let candidates = responding.filter_map(|(address, peer)| {
            let domain = Arc::clone(peer.domain.as_ref()?);
            let address = *address;
            Some(PeerInfo { address, domain })
        });
        let (local, remote): (Vec<_>, Vec<_>) = candidates.partition(|n| *n.domain == *domain);
        let local = local.into_iter();
        let mut sample = local.sample(&mut self.rng, self.cfg.local_sample_size);
        sample.extend(remote.into_iter().sample(&mut self.rng, sample_size));
        sample
    }

    /// Whether fewer than half of the balancers of the own failure domain, including
    /// this one, can serve packets while at least half of another domain's can.
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

    /// Whether the peer has been failing for so long that it counts as removed.
    fn is_expired(&self, now: Duration, peer: &Peer) -> bool {
        peer.failures > 0 && now >= peer.failing_since + self.cfg.forget_after
    }

    /// Whether so many peers besides the seeds are known that the seeds are not needed.
    fn knows_many(&self) -> bool {
        let others = self.known.values().filter(|p| !p.seed);
        others.count() > self.cfg.sample_size
    }

    /// Whether failures in the own domain are monitored. With two balancers one is
    /// already half; with many, too few would withdraw at the same time.
    fn monitors_domain(&self) -> bool {
        let local = self.known.values().filter(|p| p.is_in(&self.own.domain));
        (2..=self.cfg.max_monitored_peers).contains(&local.count())
    }

    /// Whether a peer of the own failure domain is failing.
    fn has_failing_local_peer(&self, now: Duration) -> bool {
        if !self.monitors_domain() {
            return false;
        }
        let local = self.known.values().filter(|p| p.is_in(&self.own.domain));
        let mut failing = local.filter(|p| p.failures > 0 && !self.is_expired(now, p));
        failing.next().is_some()
    }

    /// Picks the eligible peer of the lowest rank; ties are broken at random.
    fn pick<R: Ord>(
        &mut self,
        eligible: impl Fn(&Peer) -> bool,
        rank: impl Fn(&Peer) -> R,
    ) -> Option<SocketAddr> {
        let eligible_peers = self.known.iter().filter(|(_, peer)| eligible(peer));
        let best = eligible_peers.clone().map(|(_, peer)| rank(peer)).min()?;
        let tied = eligible_peers.filter(|(_, peer)| rank(peer) == best);
        tied.map(|(address, _)| *address).choose(&mut self.rng)
    }

    /// Adds a new peer. At the limit it replaces a failing peer, or a remote one if
    /// the new peer is local; otherwise it is ignored.
    fn add(&mut self, info: &PeerInfo) {
        if info.address == self.own.address {
            return;
        }
        if self.known.len() >= self.cfg.max_peers {
            let failing = self.known.iter().find(|(_, p)| !p.seed && p.failures > 0);
            let local = *info.domain == *self.own.domain;
            let remote = self.known.iter().filter(|(_, p)| !p.seed && local);
            let mut remote = remote.filter(|(_, p)| !p.is_in(&self.own.domain));
            let Some((evicted, _)) = failing.or_else(|| remote.next()) else {
                return;
            };
            let evicted = *evicted;
            self.known.remove(&evicted);
        }
        let peer = Peer {
            domain: Some(Arc::clone(&info.domain)),
            ..Peer::default()
        };
        self.known.insert(info.address, peer);
    }
}

/// Whether at least half of the peers of any failure domain can serve packets.
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
