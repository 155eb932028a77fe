//! Bounds on messages. A message beyond one of them is refused whole.

/// Bytes of a control datagram that pass every usual path in one piece.
pub const CONTROL_BYTES: usize = 1_400;
/// Bytes of the longest datagram that is decoded, relayed packets included.
pub const DATAGRAM_BYTES: usize = 16 * 1_024;
/// Bytes of the longest packet that is relayed.
pub const PACKET_BYTES: usize = 9_216;
/// Bytes of the longest datagram that is passed on for another balancer.
pub const FORWARD_BYTES: usize = 12 * 1_024;
/// Words of a decoded message.
pub(crate) const MESSAGE_WORDS: usize = 4 * 1_024;
/// Depth of pointers in a message.
pub(crate) const POINTER_DEPTH: i32 = 8;
/// News of members in one message.
pub const UPDATES: usize = 32;
/// Plan versions in one message.
pub const PLANS: usize = 64;
/// Flow hashes in one part of a set.
pub const HASHES: usize = 1_024;
/// Fingerprints in one part of a filter.
pub const FINGERPRINTS: usize = 4_096;
/// Parts of a sender's set for one plan.
pub const PARTS: u16 = 8_192;
/// Buckets in one part of a set.
pub const BUCKETS: usize = 512;
/// Parts that one message asks for again.
pub const MISSING_PARTS: usize = 256;
/// Length of a segment of a filter, in fingerprints.
pub const SEGMENT_LENGTH: u32 = 1 << 18;
/// Positions of a filter that start a triple.
pub const SEGMENT_COUNT_LENGTH: u32 = 1 << 26;
/// Observations, or shares, in one message.
pub const TARGETS: usize = 128;
/// Times that one packet is relayed.
pub const HOPS: u8 = 4;
