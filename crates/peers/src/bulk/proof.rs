//! Proofs that the other side holds the shared key.

use sequoiatrail_types::NodeId;
use sequoiatrail_wire::{Key, Tag};

/// A random number generated for one connection.
pub(super) type Nonce = [u8; 16];

/// Domain-separation prefixes of proofs and tags.
pub(super) const CLIENT: &[u8] = b"client";
pub(super) const SERVER: &[u8] = b"server";
pub(super) const TABLE: &[u8] = b"table";
pub(super) const PLAN: &[u8] = b"plan";
pub(super) const STATE: &[u8] = b"state";

/// The shared key and the nonces of one connection.
#[derive(Clone, Debug)]
pub(super) struct Nonces {
    pub(super) key: Key,
    pub(super) server: Nonce,
    pub(super) client: Nonce,
}

impl Nonces {
    /// Computes the tag of `parts` for a purpose on this connection.
    pub(super) fn tag(&self, purpose: &[u8], parts: &[&[u8]]) -> Tag {
        self.with_encoded_fields(purpose, parts, |fields| self.key.tag(fields))
    }

    pub(super) fn verify(&self, purpose: &[u8], parts: &[&[u8]], tag: &[u8]) -> bool {
        self.with_encoded_fields(purpose, parts, |fields| self.key.verify(fields, tag))
    }

    /// Computes a balancer's proof that it holds the key.
    pub(super) fn prove(&self, role: &[u8], node: NodeId) -> Tag {
        self.tag(role, &[&node.0.to_le_bytes()])
    }

    pub(super) fn verify_proof(&self, role: &[u8], node: NodeId, proof: &[u8]) -> bool {
        self.verify(role, &[&node.0.to_le_bytes()], proof)
    }

    /// Prefixes each field with its length, so that different lists of parts never
    /// encode to the same bytes.
    fn with_encoded_fields<T>(
        &self,
        purpose: &[u8],
        parts: &[&[u8]],
        f: impl Fn(&[&[u8]]) -> T,
    ) -> T {
        let prefix = [purpose, &self.server, &self.client];
        let fields: Vec<&[u8]> = prefix.into_iter().chain(parts.iter().copied()).collect();
        let lengths: Vec<_> = fields
            .iter()
            .map(|p| (p.len() as u64).to_le_bytes())
            .collect();
        let pairs = lengths.iter().zip(&fields);
        let encoded: Vec<&[u8]> = pairs.flat_map(|(len, part)| [&len[..], *part]).collect();
        f(&encoded)
    }
}
