//! Quota of new flows for targets that are warming up.
//!
//! Load pattern: targets start, or their failure domain is taken back, under load. A
//! cold target bears a small rate of new flows, summed over all balancers, and each of
//! many balancers decides on its own, also while it is cut off from the others.
//!
//! Only balancers of the target's failure domain send it flows while it is cold, and
//! among them only its holders: the first ones in the rendezvous order of target and
//! balancer. Each holder has an equal whole number of flows per sliding second, the first
//! holders one more if some are left over.

use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::time::Duration;

use foldhash::quality::FixedState;
use hashbrown::HashMap;

use crate::TargetId;

/// Hash seed of the rendezvous order; the same on every balancer.
const RENDEZVOUS_SEED: u64 = 0xc01d;
/// Span in which flows are counted: a second, and the variation of the time that packets
/// take to a target.
const WINDOW: Duration = Duration::from_millis(1_100);
/// Fraction of the bound that is shared out. The rest is for balancers that know only
/// some of the others and so count themselves among the holders too often.
const SHARED_FRACTION: f64 = 0.65;
/// Time for which a balancer counts after it was last heard of: longer than a cut or a
/// restart, so that those that are cut off from each other keep their shares.
const MEMBER_RETENTION: Duration = Duration::from_secs(120);
/// Time without notably more peers after which cold targets are used. A balancer that has
/// just started knows few of the others, and its previous process may have used its share.
const LEARNING_TIME: Duration = Duration::from_secs(10);

/// Factor on the number of known balancers from which more of them change the shares.
const NOTABLE_GROWTH: f64 = 1.1;

/// Settings of [`WarmupQuota`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmupConfig {
    /// Factor on a service's rate for cold targets; 0 turns the quota off.
    pub overload_factor: f64,
    /// Flows per second added to it.
    pub tolerance: f64,
}

impl WarmupConfig {
    /// Flows that a cold target may get in any second over all balancers, at a rate that
    /// it bears; `None` if there is no bound.
    pub fn bound(&self, flows_per_s: Option<f64>) -> Option<u32> {
        let rate = flows_per_s.filter(|_| self.overload_factor > 0.0)?;
        Some((rate * self.overload_factor + self.tolerance) as u32)
    }
}

/// This balancer's share of the flows to cold targets.
#[derive(Debug, Default)]
pub struct WarmupQuota {
    own: Option<SocketAddr>,
    /// When the known balancers last became notably more; `None` before there was contact
    /// with any.
    learning_since: Option<Duration>,
    /// Number of known balancers at that time.
    known_then: usize,
    /// Balancers of the failure domain, this one excluded, by when they were last heard.
    members: HashMap<SocketAddr, Duration>,
    /// Times of the flows that were sent to each cold target, oldest first.
    sent: HashMap<TargetId, VecDeque<Duration>>,
}

impl WarmupQuota {
    /// Records the address of this balancer and the balancers of its failure domain that
    /// respond to it. To be called only while any balancer responds, or if there is no
    /// other: one that has started while it is cut off can't know its share.
    pub fn record_members(&mut self, now: Duration, own: SocketAddr, peers: &[SocketAddr]) {
        self.own = Some(own);
        self.learning_since.get_or_insert(now);
        for peer in peers.iter().filter(|peer| **peer != own) {
            self.members.insert(*peer, now);
        }
        if self.members.len() as f64 > self.known_then as f64 * NOTABLE_GROWTH {
            self.learning_since = Some(now);
            self.known_then = self.members.len();
        }
        self.members
            .retain(|_, heard| now < *heard + MEMBER_RETENTION);
        self.known_then = self.known_then.min(self.members.len());
    }

    /// Whether a flow may be sent to a cold target that may get `bound` flows per second
    /// over all balancers.
    pub fn has_room(&mut self, now: Duration, target: TargetId, bound: u32) -> bool {
        let share = self.share(now, target, bound);
        if share == 0 {
            return false;
        }
        let Some(sent) = self.sent.get_mut(&target) else {
            return true;
        };
        while sent.front().is_some_and(|at| now >= *at + WINDOW) {
            sent.pop_front();
        }
        sent.len() < share as usize
    }

    /// Records that a flow was sent to a cold target.
    pub fn record_sent(&mut self, now: Duration, target: TargetId) {
        self.sent.entry(target).or_default().push_back(now);
    }

    /// Removes what is no longer counted.
    pub fn sweep(&mut self, now: Duration) {
        self.sent
            .retain(|_, sent| sent.back().is_some_and(|at| now < *at + WINDOW));
    }

    /// Flows per window that this balancer may send to a cold target.
    fn share(&self, now: Duration, target: TargetId, bound: u32) -> u32 {
        let learned = self
            .learning_since
            .is_some_and(|since| now >= since + LEARNING_TIME);
        let Some(own) = self.own.filter(|_| learned) else {
            return 0;
        };
        let shared = (f64::from(bound) * SHARED_FRACTION) as u32;
        let members = self.members.len() as u32 + 1;
        let holders = shared.min(members);
        let rank = self.rank(own, target);
        if rank >= holders {
            return 0;
        }
        shared / holders + u32::from(rank < shared % holders)
    }

    /// Number of known balancers before this one in the order for a target.
    fn rank(&self, own: SocketAddr, target: TargetId) -> u32 {
        let hasher = FixedState::with_seed(RENDEZVOUS_SEED);
        let weight = |address: SocketAddr| (hasher.hash_one((address, target.0)), address);
        let own = weight(own);
        let before = self.members.keys().filter(|peer| weight(**peer) < own);
        before.count() as u32
    }
}
