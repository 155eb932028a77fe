//! The identity of a flow and its keyed hash.

use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::ServiceId;

/// Transport protocol of a service.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Protocol {
    /// Transmission Control Protocol.
    Tcp,
    /// User Datagram Protocol.
    Udp,
}

/// Addresses of a flow as seen in the packets of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// Transport protocol.
    pub protocol: Protocol,
    /// Address and port of the client.
    pub src: SocketAddr,
    /// Address and port of the service.
    pub dst: SocketAddr,
}

/// Secret key of the flow hash, shared by all balancers. Clients do not know it, so
/// they cannot choose packets that collide in one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashSeed(pub u64, pub u64);

/// Keyed 64-bit hash of a flow, equal on every balancer with the same seed.
///
/// The service is part of the hash and of each flow entry, so only flows of the
/// same service can share a target through a collision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FlowHash(pub u64);

impl FlowHash {
    /// Bucket index of the flow among `buckets`, a power of two.
    pub fn bucket(self, buckets: usize) -> usize {
        debug_assert!(buckets.is_power_of_two());
        (self.0 as usize) & (buckets - 1)
    }

    /// Shard index of the flow among `shards`, a power of two; independent of the bucket.
    pub fn shard(self, shards: usize) -> usize {
        debug_assert!(shards.is_power_of_two());
        (self.0 >> 40) as usize & (shards - 1)
    }

    /// Score for rendezvous hashing of this flow against `id`.
    ///
    /// The finalizer of SplitMix64: equal inputs give equal scores on every platform.
    pub fn score(self, id: u64) -> u64 {
        let mut z = self.0 ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }
}

/// Computes [`FlowHash`]es with one seed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowHasher {
    seed: HashSeed,
}

impl FlowHasher {
    /// Creates a hasher with `seed`.
    pub fn new(seed: HashSeed) -> Self {
        Self { seed }
    }

    /// Hashes a flow of a service.
    pub fn hash(&self, service: ServiceId, flow: &FlowKey) -> FlowHash {
        let mut h = SipHasher13::new_with_keys(self.seed.0, self.seed.1);
        h.write_u32(service.0);
        h.write_u8(flow.protocol as u8);
        write_address(&mut h, flow.src);
        write_address(&mut h, flow.dst);
        FlowHash(h.finish())
    }
}

fn write_address(h: &mut SipHasher13, addr: SocketAddr) {
    match addr.ip() {
        IpAddr::V4(ip) => h.write_u32(ip.to_bits()),
        IpAddr::V6(ip) => h.write_u128(ip.to_bits()),
    }
    h.write_u16(addr.port());
}
