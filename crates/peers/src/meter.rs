//! Counters of sent, received and rejected messages.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use sequoiatrail_wire::message::{Body, FlowMessage, PeerSocket};
use strum::{EnumCount, IntoEnumIterator};

/// Size of an IPv4 header without options plus a UDP header, in bytes.
const IPV4_UDP_HEADER_BYTES: usize = 28;
/// Size of an IPv6 header without extensions plus a UDP header, in bytes.
const IPV6_UDP_HEADER_BYTES: usize = 48;

/// Traffic class of a message. Among the rate-limited kinds, earlier variants
/// have priority.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Failure detection, including plan and table versions; never delayed.
    Membership,
    /// Owners' decisions on single flows.
    Answer,
    /// Reports to owners of flows that deviate from the plan, and requests for lost parts.
    Report,
    /// Filters over flows that deviate from the plan, sent to all members.
    Filter,
    /// Control datagrams forwarded between members that cannot reach each other.
    Forward,
    /// Health and load of targets.
    Load,
    /// Relayed client packets; not rate-limited.
    Relay,
    /// Tables, plans and state over TCP; not rate-limited. Counts payload bytes only.
    Bulk,
}

impl Kind {
    /// Classifies a message.
    pub fn of(body: &Body) -> Self {
        match body {
            Body::Membership(_) => Self::Membership,
            Body::Flow(FlowMessage::Relay(..)) => Self::Relay,
            Body::Flow(FlowMessage::Placed { .. }) => Self::Answer,
            Body::Flow(
                FlowMessage::Report(_) | FlowMessage::Missing(_) | FlowMessage::Gathered(_),
            ) => Self::Report,
            Body::Flow(FlowMessage::Offer(_) | FlowMessage::Settled(_)) => Self::Filter,
            Body::Target(_) => Self::Load,
            Body::Forward(f) if f.socket == PeerSocket::Relay => Self::Relay,
            Body::Forward(_) => Self::Forward,
        }
    }
}

/// Why a received datagram or bulk connection was rejected.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumCount, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The authentication tag did not match.
    Stranger,
    /// Malformed, or a message type that is not valid on this socket.
    Malformed,
    /// Duplicate serial number, or one too far behind the newest.
    Replayed,
    /// A bulk connection that did not authenticate before the timeout.
    BulkStranger,
    /// A bulk connection above the limit of concurrent ones.
    BulkBusy,
}

/// Messages and bytes of one kind. Bytes of datagrams include IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindStats {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Messages dropped because the send queue was full or sending failed.
    pub dropped: u64,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Counters by kind, in the order of [`Kind`].
    pub kinds: Vec<(Kind, KindStats)>,
    /// Rejected datagrams and connections, by reason.
    pub refused: Vec<(RejectReason, u64)>,
}

impl Stats {
    /// Counters of a kind.
    pub fn kind(&self, kind: Kind) -> KindStats {
        let found = self.kinds.iter().find(|(k, _)| *k == kind);
        found.map_or(KindStats::default(), |(_, count)| *count)
    }

    /// Number of rejections for a reason.
    pub fn refused(&self, reason: RejectReason) -> u64 {
        let found = self.refused.iter().find(|(r, _)| *r == reason);
        found.map_or(0, |(_, count)| *count)
    }

    /// Control bytes sent: membership and all rate-limited kinds.
    pub fn control_bytes_sent(&self) -> u64 {
        let control = self.kinds.iter().filter(|(k, _)| *k < Kind::Relay);
        control.map(|(_, count)| count.sent_bytes).sum()
    }
}

#[derive(Debug, Default)]
struct KindCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    dropped: AtomicU64,
}

/// Counters shared by all threads.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    kinds: [KindCounters; Kind::COUNT],
    refused: [AtomicU64; RejectReason::COUNT],
}

impl Meter {
    pub(crate) fn sent(&self, kind: Kind, bytes: usize) {
        let counters = &self.kinds[kind as usize];
        counters.sent.fetch_add(1, Ordering::Relaxed);
        counters
            .sent_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, kind: Kind, bytes: usize) {
        let counters = &self.kinds[kind as usize];
        counters.received.fetch_add(1, Ordering::Relaxed);
        counters
            .received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn dropped(&self, kind: Kind) {
        self.kinds[kind as usize]
            .dropped
            .fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn refused(&self, reason: RejectReason) {
        self.refused[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn stats(&self) -> Stats {
        let kinds = Kind::iter().map(|kind| (kind, self.kind_stats(kind)));
        let refused = RejectReason::iter().map(|r| (r, load(&self.refused[r as usize])));
        Stats {
            kinds: kinds.collect(),
            refused: refused.collect(),
        }
    }

    fn kind_stats(&self, kind: Kind) -> KindStats {
        let counters = &self.kinds[kind as usize];
        KindStats {
            sent: load(&counters.sent),
            sent_bytes: load(&counters.sent_bytes),
            received: load(&counters.received),
            received_bytes: load(&counters.received_bytes),
            dropped: load(&counters.dropped),
        }
    }
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Size of a datagram including IP and UDP headers, in bytes.
pub(crate) fn wire_bytes(payload: usize, peer: SocketAddr) -> usize {
    let headers = if peer.is_ipv4() {
        IPV4_UDP_HEADER_BYTES
    } else {
        IPV6_UDP_HEADER_BYTES
    };
    payload + headers
}
