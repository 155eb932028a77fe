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
    pub calm: Duration,
    /// Time between two questions to balancers of the own failure domain, if they
    /// are few.
    pub watch: Duration,
    /// Time between two questions while the store does not answer, or while a seed
    /// was never asked.
    pub urgent: Duration,
    /// Time between two questions while a balancer of the own failure domain does
    /// not answer.
    pub alarm: Duration,
    /// Most peers that are remembered.
    pub most: usize,
    /// Failures in a row from which a peer is down.
    pub down_after: u32,
    /// Most peers of the own failure domain with which it is watched whether most
    /// are down: all have to find out, and the same, within a second or two.
    pub few: usize,
    /// Time without an answer after which a peer that is no seed is forgotten: it
    /// was removed, and the routers have forgotten it too.
    pub forget_after: Duration,
    /// Most peers of each kind that one answer names: of the asking balancer's
    /// failure domain, and others.
    pub told: usize,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            calm: Duration::from_secs(5),
            watch: Duration::from_millis(500),
            urgent: Duration::from_millis(300),
            alarm: Duration::from_millis(50),
            most: 64,
            down_after: 2,
            few: 6,
            forget_after: Duration::from_secs(20),
            told: 4,
        }
    }
}

/// Longest time to the next question to another failure domain while a balancer
/// of the own one does not answer.
const FAR_IN_ALARM: Duration = Duration::from_millis(400);

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
    asked: Option<Duration>,
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
    last_asked: Option<Duration>,
    /// When a peer of another failure domain is to be asked next.
    calm_at: Duration,
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
            last_asked: None,
            calm_at: Duration::ZERO,
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

    /// Whom to ask now, if anybody. `urgent` says that the store does not answer:
    /// peers that answered last time are asked first then, each in turn.
    pub fn next_to_query(&mut self, now: Duration, urgent: bool) -> Option<SocketAddr> {
        let first_contact = self.known.values().any(|p| p.seed && p.asked.is_none());
        let alarmed = self.is_alarmed(now);
        let wait = if alarmed {
            self.cfg.alarm
        } else if urgent || first_contact {
            self.cfg.urgent
        } else {
            self.cfg.watch
        };
        if self.last_asked.is_some_and(|last| now < last + wait) {
            return None;
        }
        let address = if urgent {
            self.pick(|_| true, |peer| (peer.failures, peer.asked))
        } else if first_contact {
            self.pick(|peer| peer.seed && peer.asked.is_none(), |_| ())
        } else if now >= self.calm_at {
            let calm = self.cfg.calm;
            self.calm_at = now + calm / 2 + calm.mul_f64(self.rng.random());
            self.pick(|_| true, |peer| peer.asked)
        } else if !self.watches_domain() {
            None
        } else {
            let own = Arc::clone(&self.own.domain);
            self.pick(|peer| peer.is_in(&own), |peer| peer.asked)
        }?;
        if alarmed {
            // The others are asked as well, for one of them has to take over.
            self.calm_at = self.calm_at.min(now + FAR_IN_ALARM);
        }
        self.last_asked = Some(now);
        if let Some(peer) = self.known.get_mut(&address) {
            peer.asked = Some(now);
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
                self.learn(name);
            }
        }
        change
    }

    /// Takes in a sign of life: the peer asked, or answered.
    pub fn record_contact(&mut self, name: &PeerInfo) -> Option<PeerChange> {
        if !self.known.contains_key(&name.address) {
            self.learn(name);
        }
        let peer = self.known.get_mut(&name.address)?;
        peer.domain = Some(Arc::clone(&name.domain));
        let failures = std::mem::take(&mut peer.failures);
        (failures > 0).then_some(PeerChange::Recovered)
    }

    /// Takes in that a peer did not answer a question of `asked`.
    pub fn record_failure(
        &mut self,
        now: Duration,
        address: SocketAddr,
        asked: Duration,
    ) -> Option<PeerChange> {
        let peer = self.known.get_mut(&address)?;
        if peer.failures == 0 {
            peer.failing_since = asked;
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
        let told = self.cfg.told;
        let answering = self.known.iter().filter(|(_, p)| p.failures == 0);
        let named = answering.filter_map(|(address, peer)| {
            let domain = Arc::clone(peer.domain.as_ref()?);
            let address = *address;
            Some(PeerInfo { address, domain })
        });
        let (near, far): (Vec<_>, Vec<_>) = named.partition(|n| *n.domain == *domain);
        let mut sample = near.into_iter().sample(&mut self.rng, told);
        sample.extend(far.into_iter().sample(&mut self.rng, told));
        sample
    }

    /// Whether fewer than half of the balancers of the own failure domain can take
    /// packets, this one included, while at least half of another one's can.
    pub fn is_minority(&self, now: Duration) -> bool {
        if !self.watches_domain() {
            return false;
        }
        let known = self.known.values();
        let known = known.filter(|p| p.serves.is_some() && !self.is_forgotten(now, p));
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = known.partition(|p| p.is_in(&self.own.domain));
        let serves = |p: &&Peer| p.serves == Some(true) && p.failures < self.cfg.down_after;
        let serving = near.iter().copied().filter(serves).count() + 1;
        2 * serving < near.len() + 1 && has_majority(&far)
    }

    /// Whether the peer is down for so long that it was removed.
    fn is_forgotten(&self, now: Duration, peer: &Peer) -> bool {
        peer.failures > 0 && now >= peer.failing_since + self.cfg.forget_after
    }

    /// Whether it matters who of the own failure domain is down: of two balancers
    /// one is half, and of many too few would step aside at the same time.
    fn watches_domain(&self) -> bool {
        let near = self.known.values().filter(|p| p.is_in(&self.own.domain));
        (2..=self.cfg.few).contains(&near.count())
    }

    /// Whether a peer of the own failure domain did not answer lately.
    fn is_alarmed(&self, now: Duration) -> bool {
        if !self.watches_domain() {
            return false;
        }
        let near = self.known.values().filter(|p| p.is_in(&self.own.domain));
        let mut failing = near.filter(|p| p.failures > 0 && !self.is_forgotten(now, p));
        failing.next().is_some()
    }

    /// The peer of the lowest rank among those that fit; among equals any.
    fn pick<R: Ord>(
        &mut self,
        fits: impl Fn(&Peer) -> bool,
        rank: impl Fn(&Peer) -> R,
    ) -> Option<SocketAddr> {
        let fitting = self.known.iter().filter(|(_, peer)| fits(peer));
        let best = fitting.clone().map(|(_, peer)| rank(peer)).min()?;
        let equals = fitting.filter(|(_, peer)| rank(peer) == best);
        equals.map(|(address, _)| *address).choose(&mut self.rng)
    }

    /// Remembers a new peer; in the place of one that fails if there is no room.
    fn learn(&mut self, name: &PeerInfo) {
        if name.address == self.own.address {
            return;
        }
        if self.known.len() >= self.cfg.most {
            let failing = self.known.iter().find(|(_, p)| !p.seed && p.failures > 0);
            let near = *name.domain == *self.own.domain;
            let far = self.known.iter().filter(|(_, p)| !p.seed && near);
            let mut far = far.filter(|(_, p)| !p.is_in(&self.own.domain));
            let Some((place, _)) = failing.or_else(|| far.next()) else {
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
fn has_majority(peers: &[&Peer]) -> bool {
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
