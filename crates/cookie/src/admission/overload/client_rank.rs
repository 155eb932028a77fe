//! Which clients of a priority are admitted while not all can be.
//!
//! Load pattern: a refused client tries again within milliseconds, mostly through
//! another balancer. If each attempt were decided anew, the third one of most clients
//! would be admitted and displace others that are served. A client's rank is a keyed
//! hash of its address and of an epoch instead, as users have in DAGOR, so that every
//! balancer gives all attempts the same answer without remembering them, and the order
//! changes with each epoch, so that nobody is refused for long.

use std::hash::BuildHasher;
use std::net::Ipv4Addr;
use std::time::Duration;

use foldhash::quality::FixedState;

/// Number of the epoch at `wall`, the time since the Unix epoch: balancers share it
/// as far as their clocks agree.
pub(super) fn epoch_at(wall: Duration, epoch: Duration) -> u64 {
    (wall.as_nanos() / epoch.as_nanos().max(1)) as u64
}

/// Rank of a client in an epoch, in [0, 1); clients below the admitted fraction are
/// admitted.
pub(super) fn rank(key: u64, client: Ipv4Addr, epoch: u64) -> f64 {
    let hash = FixedState::with_seed(key).hash_one((client, epoch));
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
