//! Known flows, in shards by flow hash, each under its own lock.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hashbrown::HashMap;
use sequoiatrail_packet::Packet;
use sequoiatrail_types::{FlowHash, FlowHashBuilder, ServiceId, TargetId};
use serde::Serialize;

use crate::CoreConfig;

/// Packets after which a flow counts as known to every balancer: each packet
/// that reaches one of two balancers is a fair coin, so the other one knows
/// nothing of the flow once in 65,536 times.
pub(crate) const SEEN_ENOUGH: u8 = 16;

/// Packets after which the owner of a flow surely knows it too. Every other
/// balancer that saw the flow less often reports it as well.
pub(crate) const REPORTED_BELOW: u8 = 8;

/// Tenths of a second, the unit of times in flow entries.
pub(crate) fn deciseconds(time: Duration) -> u32 {
    (time.as_millis() / 100) as u32
}

/// Flags of a flow entry.
pub(crate) mod flag {
    /// The caller sent FIN or RST.
    pub const CLOSED: u8 = 1;
    /// Only packets that open the flow were seen.
    pub const OPENING: u8 = 2;
    /// This balancer owns the flow and counts it.
    pub const OWNED: u8 = 4;
    /// Told to the others in a set; they may never have recorded it.
    pub const LISTED: u8 = 8;
    /// The flow's owner has seen it open, so it needs no report to it.
    pub const OWNER_KNOWS: u8 = 16;
    /// Owned here since the owners changed and not counted: it may have ended
    /// elsewhere. Its next packet here counts it.
    pub const UNCOUNTED: u8 = 32;
}

/// What is remembered of a flow: 16 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowEntry {
    /// Target; never changes once data may have been sent to it.
    pub target: TargetId,
    /// Time of the last packet that made progress, in tenths of a second.
    pub last_seen: u32,
    /// Sequence number of the last packet with payload.
    pub sequence: u32,
    /// Low bits of the service; an entry of another service is never used.
    pub service_tag: u16,
    /// Packets seen here from the fabric, saturating at [`SEEN_ENOUGH`], in the
    /// low five bits; above them the repeats of `sequence`, saturating at 7.
    counts: u8,
    /// Bits of [`flag`].
    flags: u8,
}

const PACKETS_BITS: u8 = 5;
const PACKETS_MASK: u8 = (1 << PACKETS_BITS) - 1;
const MOST_REPEATS: u8 = 7;

impl FlowEntry {
    /// An entry of a flow that goes to `target` from now on.
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

    /// Whether the entry was made for a flow of this service.
    pub fn is_of(&self, service: ServiceId) -> bool {
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

    /// Packets seen here from the fabric, saturating at [`SEEN_ENOUGH`].
    pub fn packets(&self) -> u8 {
        self.counts & PACKETS_MASK
    }

    /// Repeats of the last packet with payload, saturating.
    pub fn repeats(&self) -> u8 {
        self.counts >> PACKETS_BITS
    }

    /// Counts a packet that the balancers that lack the flow could have got.
    pub fn count_packet(&mut self) {
        if self.packets() < SEEN_ENOUGH {
            self.counts += 1;
        }
    }

    /// Counts packets from here on.
    pub fn forget_packets(&mut self) {
        self.counts &= !PACKETS_MASK;
    }

    /// Notes what a packet shows. Returns true if it repeats the last payload.
    pub fn note(&mut self, now: Duration, packet: &Packet) -> bool {
        if let Some(tcp) = packet.tcp {
            if tcp.fin || tcp.rst {
                self.set(flag::CLOSED, true);
            }
            if !packet.opens_connection() {
                self.set(flag::OPENING, false);
            }
            if packet.payload_bytes > LONGEST_PROBE_BYTES {
                // A sequence number of 0 stands for none; a flow that really
                // repeats 0 is found by its next payload.
                if tcp.sequence != 0 && self.is_repeat(tcp.sequence) {
                    self.count_repeat();
                    return true;
                }
                self.sequence = tcp.sequence;
                self.counts &= PACKETS_MASK;
            }
        }
        self.last_seen = deciseconds(now);
        false
    }

    /// Whether a payload starts where the last one did.
    fn is_repeat(&self, sequence: u32) -> bool {
        self.sequence == sequence && !self.has(flag::OPENING)
    }

    fn count_repeat(&mut self) {
        if self.repeats() < MOST_REPEATS {
            self.counts += 1 << PACKETS_BITS;
        }
    }
}

/// Longest payload of a keep-alive probe, which repeats a sequence number
/// without any loss.
const LONGEST_PROBE_BYTES: u16 = 1;

/// Counts of the flow table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FlowStats {
    /// Flows known.
    pub flows: usize,
    /// Entries that there is memory for.
    pub capacity: usize,
    /// Bytes allocated for the entries, free ones included.
    pub bytes: usize,
}

pub(crate) type Shard = HashMap<FlowHash, FlowEntry, FlowHashBuilder>;

/// Order in which entries are given up when a shard is full; [`Keep::Always`]
/// ones never are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Keep {
    /// The flow has ended.
    Closed,
    /// Nothing but first packets was seen.
    Opening,
    /// The plan gives the same answer without the entry.
    OnPlan,
    /// Nothing but first packets was seen here, but the flow may go on at
    /// other balancers and is not where the plan says.
    OpeningOffPlan,
    /// Only the entry knows the answer.
    Always,
}

/// Part of a full shard that is given up at once, so that the search for what
/// to give up is paid for by many new flows.
const EVICTED_PART: usize = 32;

/// The flow table.
#[derive(Debug)]
pub(crate) struct FlowTable {
    shards: Vec<Mutex<Shard>>,
    max_per_shard: usize,
}

impl FlowTable {
    /// An empty table.
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

    /// Locks a shard by its number.
    pub fn shard_at(&self, index: usize) -> MutexGuard<'_, Shard> {
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of shards.
    pub fn shards(&self) -> usize {
        self.shards.len()
    }

    /// Makes room for one entry; false if all entries have to be kept.
    ///
    /// Closed flows go first, then those that were only opened, then the
    /// longest idle ones that the plan decides alike.
    pub fn make_room(
        &self,
        shard: &mut Shard,
        keep: impl Fn(FlowHash, &FlowEntry) -> Keep,
        gone: impl Fn(&FlowEntry),
    ) -> bool {
        if shard.len() < self.max_per_shard {
            return true;
        }
        let mut order: Vec<_> = shard
            .iter()
            .map(|(flow, entry)| (keep(*flow, entry), entry.last_seen, *flow))
            .filter(|(keep, ..)| *keep != Keep::Always)
            .collect();
        if order.is_empty() {
            return false;
        }
        let evicted = (self.max_per_shard / EVICTED_PART).clamp(1, order.len());
        order.select_nth_unstable(evicted - 1);
        for (_, _, flow) in &order[..evicted] {
            if let Some(entry) = shard.remove(flow) {
                gone(&entry);
            }
        }
        true
    }

    /// Counts over all shards.
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
