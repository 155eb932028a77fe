//! Upper bounds on messages. A message that exceeds one of them is rejected.

/// Bytes of a control datagram, small enough to avoid IP fragmentation on usual paths.
pub const CONTROL_BYTES: usize = 1_400;
/// Bytes of a datagram, including relayed packets.
pub const DATAGRAM_BYTES: usize = 16 * 1_024;
/// Bytes of a relayed packet.
pub const PACKET_BYTES: usize = 9_216;
/// Bytes of a datagram forwarded for another balancer.
pub const FORWARD_BYTES: usize = 12 * 1_024;
/// Words (8 bytes each) that the reader of a message may traverse.
pub(crate) const MESSAGE_WORDS: usize = 4 * 1_024;
/// Nesting depth of pointers in a message.
pub(crate) const POINTER_DEPTH: i32 = 8;
/// Member updates in one message.
pub const UPDATES: usize = 32;
/// Plan versions in one message.
pub const PLANS: usize = 64;
/// Flow hashes in one part of a flow set.
pub const HASHES: usize = 1_024;
/// Fingerprints of one filter.
pub const FINGERPRINTS: usize = 4_096;
/// Parts of the flow set that one sender has for one plan.
pub const PARTS: u16 = 8_192;
/// Buckets in one part of a flow set.
pub const BUCKETS: usize = 512;
/// Missing parts requested by one message.
pub const MISSING_PARTS: usize = 256;
/// Segment length of a filter, in fingerprints.
pub const SEGMENT_LENGTH: u32 = 1 << 18;
/// Number of start positions of a filter, in fingerprints.
pub const SEGMENT_COUNT_LENGTH: u32 = 1 << 26;
/// Observations, and likewise shares, in one message.
pub const TARGETS: usize = 128;
/// Relay hops of one packet.
pub const HOPS: u8 = 4;
