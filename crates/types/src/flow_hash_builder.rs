//! Hasher for maps keyed by [`FlowHash`](crate::FlowHash).

use std::hash::{BuildHasherDefault, Hasher};

/// Passes a [`FlowHash`](crate::FlowHash) through unchanged: it already is a keyed
/// hash, and maps with equal keys are equal on every balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowHashHasher(u64);

impl Hasher for FlowHashHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write_u64(&mut self, n: u64) {
        self.0 = n;
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }
}

/// Builds [`FlowHashHasher`]s.
pub type FlowHashBuilder = BuildHasherDefault<FlowHashHasher>;
