//! Flow table, sharded by flow hash with one lock per shard.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hashbrown::HashMap;
use sequoiatrail_packet::Packet;
use sequoiatrail_types::{FlowHash, FlowHashBuilder, ServiceId, TargetId};
use serde::Serialize;

use crate::CoreConfig;

/// Packets after which a flow counts as known to every balancer. With two
/// balancers each packet reaches either one with equal chance, so the
/// probability that the other one has seen none is 1 in 65,536.
pub(crate) const KNOWN_EVERYWHERE_PACKETS: u8 = 16;

/// Packets after which the owner of a flow almost certainly knows it too. Every
/// other balancer that saw fewer packets reports the flow to its owner.
pub(crate) const REPORT_BELOW_PACKETS: u8 = 8;

/// Converts to tenths of a second, the unit of times in flow entries.
pub(crate) fn deciseconds(time: Duration) -> u32 {
    (time.as_millis() / 100) as u32
}

/// Flag bits of a flow entry.
pub(crate) mod flag {
    /// The client sent FIN or RST.
    pub const CLOSED: u8 = 1;
    /// Only first packets of the flow have been seen.
    pub const OPENING: u8 = 2;
    /// This balancer owns the flow and counts it as open.
    pub const OWNED: u8 = 4;
    /// Sent to the other balancers in a set; they may have no entry for it.
    pub const LISTED: u8 = 8;
    /// The owner has seen the first packet, so the flow need not be reported to
    /// it.
    pub const OWNER_KNOWS: u8 = 16;
    /// Owned since the last change of the owners but not counted, because the
    /// flow may have ended at another balancer. Its next packet here counts it.
    pub const UNCOUNTED: u8 = 32;
}

/// State of a flow, 16 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowEntry {
    /// Target; must not change once data may have been sent to it.
    pub target: TargetId,
    /// Time of the last packet that made progress, in tenths of a second.
    pub last_seen: u32,
    /// Sequence number of the last packet with payload; 0 means none.
    pub sequence: u32,
    /// Low 16 bits of the service ID; an entry of another service is ignored.
    pub service_tag: u16,
    /// Low five bits: packets received from the fabric, saturating at
    /// [`KNOWN_EVERYWHERE_PACKETS`]. High three bits: retransmissions of
    /// `sequence`, saturating at 7.
    counts: u8,
    /// Bits of [`flag`].
    flags: u8,
}

const PACKETS_BITS: u8 = 5;
const PACKETS_MASK: u8 = (1 << PACKETS_BITS) - 1;
const MAX_RETRANSMITS: u8 = 7;

impl FlowEntry {
    /// Creates an entry for a flow that is sent to `target`.
    pub fn new(now: Duration, service: ServiceId, target: TargetId) -> Self {
        Self {
            target,
            last_seen: deciseconds(now),
            sequence: 0,
            service_tag: service.0 as u16,
            counts: 0,
            flags: 0,
        }
    }

    /// Whether the entry belongs to a flow of this service.
    pub fn belongs_to(&self, service: ServiceId) -> bool {
        self.service_tag == service.0 as u16
    }

    /// Whether a flag is set.
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Sets or clears a flag.
    pub fn set(&mut self, flag: u8, on: bool) {
        self.flags = if on {
            self.flags | flag
        } else {
            self.flags & !flag
        };
    }

    /// Packets received from the fabric, saturating at
    /// [`KNOWN_EVERYWHERE_PACKETS`].
    pub fn packets(&self) -> u8 {
        self.counts & PACKETS_MASK
    }

    /// Retransmissions of the last payload, saturating.
    pub fn retransmits(&self) -> u8 {
        self.counts >> PACKETS_BITS
    }

    /// Counts a packet that the fabric could also have sent to another
    /// balancer.
    pub fn count_packet(&mut self) {
        if self.packets() < KNOWN_EVERYWHERE_PACKETS {
            self.counts += 1;
        }
    }

    /// Resets the packet count.
    pub fn reset_packets(&mut self) {
        self.counts &= !PACKETS_MASK;
    }

    /// Updates the entry from a packet. Returns true if the packet retransmits
    /// the last payload.
    pub fn observe(&mut self, now: Duration, packet: &Packet) -> bool {
        if let Some(tcp) = packet.tcp {
            if tcp.fin || tcp.rst {
                self.set(flag::CLOSED, true);
            }
            if !packet.opens_connection() {
                self.set(flag::OPENING, false);
            }
            if packet.payload_bytes > MAX_KEEPALIVE_BYTES {
                // 0 means that no payload has been seen. A flow that really
                // retransmits from 0 is detected at its next payload.
                if tcp.sequence != 0 && self.is_retransmit(tcp.sequence) {
                    self.count_retransmit();
                    return true;
                }
                self.sequence = tcp.sequence;
                self.counts &= PACKETS_MASK;
            }
        }
        self.last_seen = deciseconds(now);
        false
    }

    /// Whether a payload starts at the same sequence number as the last one.
    fn is_retransmit(&self, sequence: u32) -> bool {
        self.sequence == sequence && !self.has(flag::OPENING)
    }

    fn count_retransmit(&mut self) {
        if self.retransmits() < MAX_RETRANSMITS {
            self.counts += 1 << PACKETS_BITS;
        }
    }
}

/// Maximum payload of a TCP keep-alive probe, which reuses a sequence number
/// without any packet loss.
const MAX_KEEPALIVE_BYTES: u16 = 1;

/// Statistics of the flow table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FlowStats {
    /// Number of entries.
    pub flows: usize,
    /// Number of entries that fit into the allocated memory.
    pub capacity: usize,
    /// Bytes allocated for entries, including free ones.
    pub bytes: usize,
}

pub(crate) type Shard = HashMap<FlowHash, FlowEntry, FlowHashBuilder>;

/// Eviction order of the entries of a full shard, lowest first.
/// [`EvictionClass::Pinned`] entries are never evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionClass {
    /// The flow has ended.
    Closed,
    /// Only first packets were seen, and the flow is on the plan.
    Opening,
    /// The plan selects the same target without the entry.
    OnPlan,
    /// Only first packets were seen here, but the flow may continue at other
    /// balancers and its target differs from the plan's.
    OpeningOffPlan,
    /// The target cannot be derived without the entry.
    Pinned,
}

/// Fraction of a full shard that is evicted at once (1/32), so that the cost of
/// the scan is spread over many new flows.
const EVICTION_DIVISOR: usize = 32;

/// Table of all known flows.
#[derive(Debug)]
pub(crate) struct FlowTable {
    shards: Vec<Mutex<Shard>>,
    max_per_shard: usize,
}

impl FlowTable {
    /// Creates an empty table.
    pub fn new(cfg: &CoreConfig) -> Self {
        let shards = cfg.shards.next_power_of_two();
        Self {
            shards: (0..shards).map(|_| Mutex::default()).collect(),
            max_per_shard: cfg.max_flows.div_ceil(shards),
        }
    }

    /// Locks the shard of a flow.
    pub fn shard(&self, flow: FlowHash) -> MutexGuard<'_, Shard> {
        self.shard_at(flow.shard(self.shards.len()))
    }

    /// Locks a shard by index.
    pub fn shard_at(&self, index: usize) -> MutexGuard<'_, Shard> {
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of shards.
    pub fn shards(&self) -> usize {
        self.shards.len()
    }

    /// Makes room for one entry; false if no entry can be evicted.
    ///
    /// Evicts by [`EvictionClass`], within a class the entries that have been
    /// idle longest. Calls `on_evict` for each evicted entry.
    pub fn make_room(
        &self,
        shard: &mut Shard,
        class: impl Fn(FlowHash, &FlowEntry) -> EvictionClass,
        on_evict: impl Fn(&FlowEntry),
    ) -> bool {
        if shard.len() < self.max_per_shard {
            return true;
        }
        let mut order: Vec<_> = shard
            .iter()
            .map(|(flow, entry)| (class(*flow, entry), entry.last_seen, *flow))
            .filter(|(class, ..)| *class != EvictionClass::Pinned)
            .collect();
        if order.is_empty() {
            return false;
        }
        let evicted = (self.max_per_shard / EVICTION_DIVISOR).clamp(1, order.len());
        order.select_nth_unstable(evicted - 1);
        for (_, _, flow) in &order[..evicted] {
            if let Some(entry) = shard.remove(flow) {
                on_evict(&entry);
            }
        }
        true
    }

    /// Statistics over all shards.
    pub fn stats(&self) -> FlowStats {
        let mut stats = FlowStats::default();
        for index in 0..self.shards.len() {
            let shard = self.shard_at(index);
            stats.flows += shard.len();
            stats.capacity += shard.capacity();
            stats.bytes += shard.allocation_size();
        }
        stats
    }
}
