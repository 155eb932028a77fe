//! Counts of what is sent and received.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use sequoiatrail_wire::message::{Body, FlowMessage, PeerSocket};
use strum::{EnumCount, IntoEnumIterator};

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADERS_V4: usize = 28;
/// Bytes of the IPv6 and UDP headers of a datagram.
const HEADERS_V6: usize = 48;

/// What a message is for. Of the kinds that wait for the budget, an earlier one goes first.
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
    /// Failure detection, with the versions of plans and tables; never waits.
    Membership,
    /// Owners' answers on single flows.
    Answer,
    /// Flows off the plan, told to their owners, and requests for lost parts.
    Report,
    /// Filters of flows off the plan, told to everybody.
    Filter,
    /// Control datagrams passed on for others that do not reach each other.
    Forward,
    /// Health and load of targets.
    Load,
    /// Relayed packets: data, outside the budget.
    Relay,
    /// Tables, plans and state over TCP, outside the budget; payload bytes only.
    Bulk,
}

impl Kind {
    /// The kind of a message.
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

/// Why something that arrived was dropped.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumCount, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The authentication tag did not match.
    Stranger,
    /// Malformed, or a message that does not belong on the socket.
    Malformed,
    /// Received before, or too long after later ones.
    Replayed,
    /// A bulk connection that did not prove in time that it holds the key.
    BulkStranger,
    /// A bulk connection beyond the number that is served at once.
    BulkBusy,
}

/// Messages and bytes of one kind, IP and UDP headers included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Messages dropped here because too many waited for the budget, or not sent for an error.
    pub dropped: u64,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Counts by kind, in the order of [`Kind`].
    pub kinds: Vec<(Kind, Count)>,
    /// What arrived and was dropped, by reason.
    pub refused: Vec<(RejectReason, u64)>,
}

impl Stats {
    /// The counts of a kind.
    pub fn kind(&self, kind: Kind) -> Count {
        let found = self.kinds.iter().find(|(k, _)| *k == kind);
        found.map_or(Count::default(), |(_, count)| *count)
    }

    /// How often something was dropped for a reason.
    pub fn refused(&self, reason: RejectReason) -> u64 {
        let found = self.refused.iter().find(|(r, _)| *r == reason);
        found.map_or(0, |(_, count)| *count)
    }

    /// Control bytes sent: all kinds inside the budget.
    pub fn control_bytes_sent(&self) -> u64 {
        let control = self.kinds.iter().filter(|(k, _)| *k < Kind::Relay);
        control.map(|(_, count)| count.sent_bytes).sum()
    }
}

#[derive(Debug, Default)]
struct KindMeter {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    dropped: AtomicU64,
}

/// Counters that all threads share.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    kinds: [KindMeter; Kind::COUNT],
    refused: [AtomicU64; RejectReason::COUNT],
}

impl Meter {
    pub(crate) fn sent(&self, kind: Kind, bytes: usize) {
        let meter = &self.kinds[kind as usize];
        meter.sent.fetch_add(1, Ordering::Relaxed);
        meter.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, kind: Kind, bytes: usize) {
        let meter = &self.kinds[kind as usize];
        meter.received.fetch_add(1, Ordering::Relaxed);
        meter
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
        let kinds = Kind::iter().map(|kind| (kind, self.count(kind)));
        let refused = RejectReason::iter().map(|r| (r, load(&self.refused[r as usize])));
        Stats {
            kinds: kinds.collect(),
            refused: refused.collect(),
        }
    }

    fn count(&self, kind: Kind) -> Count {
        let meter = &self.kinds[kind as usize];
        Count {
            sent: load(&meter.sent),
            sent_bytes: load(&meter.sent_bytes),
            received: load(&meter.received),
            received_bytes: load(&meter.received_bytes),
            dropped: load(&meter.dropped),
        }
    }
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Bytes of a datagram on the network.
pub(crate) fn on_the_wire(payload: usize, peer: SocketAddr) -> usize {
    let headers = if peer.is_ipv4() {
        HEADERS_V4
    } else {
        HEADERS_V6
    };
    payload + headers
}
