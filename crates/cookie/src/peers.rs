//! Which other balancer is asked for news, and when.
//!
//! A balancer that the store does not answer asks others for what they know: one
//! that just started can serve then, and one that is cut off learns of targets
//! that came and went. Otherwise it asks one now and then, so that it knows whom
//! to ask.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Settings of [`Peers`].
#[derive(Clone, Copy, Debug)]
pub struct PeersConfig {
    /// Mean time between two questions while the store answers.
    pub calm: Duration,
    /// Time between two questions while it does not, or while a seed was never asked.
    pub urgent: Duration,
    /// Most peers that are remembered.
    pub most: usize,
    /// Failures in a row after which a peer that is no seed is forgotten.
    pub forget_after: u32,
    /// Most peers that one answer names.
    pub told: usize,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            calm: Duration::from_secs(5),
            urgent: Duration::from_millis(300),
            most: 64,
            forget_after: 3,
            told: 8,
        }
    }
}

/// What became of a peer by an answer or its lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// It answered before, and did not now.
    Lost,
    /// It did not answer before, and did now.
    Back,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Named by the settings; never forgotten.
    seed: bool,
    /// When it was last asked.
    asked: Option<Duration>,
    /// Questions in a row without an answer.
    failures: u32,
}

/// The other balancers that are known.
#[derive(Debug)]
pub struct Peers {
    cfg: PeersConfig,
    /// This balancer's own address; never asked.
    own: SocketAddr,
    /// At most `cfg.most`, and the seeds.
    known: BTreeMap<SocketAddr, Peer>,
    last_asked: Option<Duration>,
    /// Time from the last question to the next in calm times.
    calm: Duration,
    rng: ChaCha8Rng,
}

impl Peers {
    /// Knows the seeds; `random` sets its random choices apart.
    pub fn new(cfg: PeersConfig, own: SocketAddr, seeds: &[SocketAddr], random: u64) -> Peers {
        let seed = Peer {
            seed: true,
            ..Peer::default()
        };
        let others = seeds.iter().filter(|a| **a != own);
        Peers {
            cfg,
            own,
            known: others.map(|a| (*a, seed)).collect(),
            last_asked: None,
            calm: cfg.calm,
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
    pub fn next(&mut self, now: Duration, urgent: bool) -> Option<SocketAddr> {
        let first_contact = self.known.values().any(|p| p.seed && p.asked.is_none());
        let wait = match urgent || first_contact {
            true => self.cfg.urgent,
            false => self.calm,
        };
        if self.last_asked.is_some_and(|last| now < last + wait) {
            return None;
        }
        let rank = |peer: &Peer| (if urgent { peer.failures } else { 0 }, peer.asked);
        let best = self.known.values().map(rank).min()?;
        let equals = self.known.iter_mut().filter(|(_, p)| rank(p) == best);
        let (address, peer) = equals.choose(&mut self.rng)?;
        let address = *address;
        peer.asked = Some(now);
        self.last_asked = Some(now);
        let calm = self.cfg.calm;
        self.calm = calm / 2 + calm.mul_f64(self.rng.random());
        Some(address)
    }

    /// Takes in an answer and the peers that it names.
    pub fn answered(&mut self, from: SocketAddr, named: &[SocketAddr]) -> Option<PeerChange> {
        let change = self.met(from);
        for address in named {
            if !self.known.contains_key(address) {
                self.learn(*address);
            }
        }
        change
    }

    /// Takes in a sign of life: the peer asked, or answered.
    pub fn met(&mut self, address: SocketAddr) -> Option<PeerChange> {
        let Some(peer) = self.known.get_mut(&address) else {
            self.learn(address);
            return None;
        };
        let failures = std::mem::take(&mut peer.failures);
        (failures > 0).then_some(PeerChange::Back)
    }

    /// Takes in that a peer did not answer.
    pub fn failed(&mut self, address: SocketAddr) -> Option<PeerChange> {
        let peer = self.known.get_mut(&address)?;
        peer.failures += 1;
        let first = peer.failures == 1;
        if !peer.seed && peer.failures >= self.cfg.forget_after {
            self.known.remove(&address);
        }
        first.then_some(PeerChange::Lost)
    }

    /// Some peers to name to another one, chosen at random among those that answer.
    pub fn sample(&mut self) -> Vec<SocketAddr> {
        let answering = self.known.iter().filter(|(_, p)| p.failures == 0);
        let addresses = answering.map(|(a, _)| *a);
        addresses.sample(&mut self.rng, self.cfg.told)
    }

    /// Remembers a new peer; in the place of one that fails if there is no room.
    fn learn(&mut self, address: SocketAddr) {
        if address == self.own {
            return;
        }
        if self.known.len() >= self.cfg.most {
            let failing = self.known.iter().find(|(_, p)| !p.seed && p.failures > 0);
            let Some(place) = failing.map(|(a, _)| *a) else {
                return;
            };
            self.known.remove(&place);
        }
        self.known.insert(address, Peer::default());
    }
}
