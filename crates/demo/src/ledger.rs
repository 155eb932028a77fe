//! Record of the packets of each flow that reached a target.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sequoiatrail_packet::Packet;
use sequoiatrail_types::FlowKey;

/// Packets of one flow that reached a target.
#[derive(Clone, Copy, Debug)]
struct FlowRecord {
    /// Index of the target that received the flow's first packet.
    target: usize,
    /// Arrival time of that packet.
    first: Instant,
    /// Number of packets at that target.
    packets: u64,
}

#[derive(Debug, Default)]
struct State {
    flows: HashMap<FlowKey, FlowRecord>,
    moved: BTreeMap<FlowId, Move>,
    reset: HashSet<FlowKey>,
    misdelivered: u64,
    packets: u64,
}

/// Source and destination of a flow; ordered, for reports.
type FlowId = (SocketAddr, SocketAddr);

fn id(flow: &FlowKey) -> FlowId {
    (flow.src, flow.dst)
}

/// The first packet of a flow that reached a different target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The flow.
    pub flow: FlowKey,
    /// Index of the flow's target.
    pub from: usize,
    /// Index of the target that received the packet.
    pub to: usize,
    /// Whether it was a retransmitted first packet.
    pub opens: bool,
    /// Time since the flow's first packet reached its target.
    pub age: Duration,
}

/// Packets at all targets, and resets at the client side.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<State>,
}

/// Totals of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Flows that reached a target.
    pub flows: usize,
    /// Packets that reached a target.
    pub packets: u64,
    /// Flows with packets at more than one target.
    pub moved: usize,
    /// Flows that had reached a target and were reset towards the client.
    pub reset: usize,
    /// Packets that reached a target of another service.
    pub misdelivered: u64,
}

impl Totals {
    /// Number of broken flows.
    pub fn broken(&self) -> usize {
        self.moved + self.reset
    }
}

impl Ledger {
    /// Records a packet at a target; `own_service` is false for a packet of another
    /// service.
    pub fn record_packet(&self, target: usize, packet: &Packet, own_service: bool) {
        let mut state = self.lock();
        state.packets += 1;
        if !own_service {
            state.misdelivered += 1;
        }
        let record = state.flows.entry(packet.flow).or_insert(FlowRecord {
            target,
            first: Instant::now(),
            packets: 0,
        });
        if record.target == target {
            record.packets += 1;
            return;
        }
        let (from, opened) = (record.target, record.first);
        let moved = Move {
            flow: packet.flow,
            from,
            to: target,
            opens: packet.opens_connection(),
            age: opened.elapsed(),
        };
        state.moved.entry(id(&packet.flow)).or_insert(moved);
    }

    /// Records a reset that the client received. A flow that never reached a target
    /// was refused, not broken.
    pub fn record_reset(&self, flow: FlowKey) {
        let mut state = self.lock();
        if state.flows.contains_key(&flow) {
            state.reset.insert(flow);
        }
    }

    /// Whether a packet of the flow has reached a target.
    pub fn has_seen(&self, flow: &FlowKey) -> bool {
        self.lock().flows.contains_key(flow)
    }

    /// Number of flows first seen at each target from `from` (inclusive) to `to` (exclusive).
    pub fn opened(&self, targets: usize, from: Instant, to: Instant) -> Vec<usize> {
        let mut counts = vec![0; targets];
        for record in self.lock().flows.values() {
            if record.first >= from && record.first < to {
                counts[record.target] += 1;
            }
        }
        counts
    }

    /// Number of flows and packets at each target.
    pub fn per_target(&self, targets: usize) -> Vec<(usize, u64)> {
        let mut counts = vec![(0, 0); targets];
        for record in self.lock().flows.values() {
            counts[record.target].0 += 1;
            counts[record.target].1 += record.packets;
        }
        counts
    }

    /// The flows with packets at more than one target.
    pub fn moves(&self) -> Vec<Move> {
        self.lock().moved.values().copied().collect()
    }

    /// Totals.
    pub fn totals(&self) -> Totals {
        let state = self.lock();
        let moved = |flow: &FlowKey| state.moved.contains_key(&id(flow));
        Totals {
            flows: state.flows.len(),
            packets: state.packets,
            moved: state.moved.len(),
            reset: state.reset.iter().filter(|f| !moved(f)).count(),
            misdelivered: state.misdelivered,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
