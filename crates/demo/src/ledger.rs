//! What the targets saw of each flow.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sequoiatrail_packet::Packet;
use sequoiatrail_types::FlowKey;

/// What the targets saw of one flow.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Index of the first target that got a packet of it.
    target: usize,
    /// When that was.
    first: Instant,
    /// Packets at that target.
    packets: u64,
}

#[derive(Debug, Default)]
struct State {
    flows: HashMap<FlowKey, Seen>,
    moved: BTreeMap<FlowId, Move>,
    reset: HashSet<FlowKey>,
    misdelivered: u64,
    packets: u64,
}

/// A flow by its ends, in an order for reports.
type FlowId = (SocketAddr, SocketAddr);

fn id(flow: &FlowKey) -> FlowId {
    (flow.src, flow.dst)
}

/// The first packet of a flow that reached another target than the flow's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The flow.
    pub flow: FlowKey,
    /// Index of the flow's target.
    pub from: usize,
    /// Index of the target that got the packet.
    pub to: usize,
    /// Whether it was a first packet, sent again.
    pub opens: bool,
    /// Time since the flow's target had first seen it.
    pub age: Duration,
}

/// Records of all targets and of the caller's side.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<State>,
}

/// Totals of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Flows that a target saw.
    pub flows: usize,
    /// Packets that reached a target.
    pub packets: u64,
    /// Flows with packets at more than one target.
    pub moved: usize,
    /// Flows that a target had seen and that were reset towards the caller.
    pub reset: usize,
    /// Packets that reached a target of another service.
    pub misdelivered: u64,
}

impl Tally {
    /// Flows that were broken.
    pub fn broken(&self) -> usize {
        self.moved + self.reset
    }
}

impl Ledger {
    /// Notes a packet at a target; `own` says whether it is of the target's service.
    pub fn arrived(&self, target: usize, packet: &Packet, own: bool) {
        let mut state = self.lock();
        state.packets += 1;
        if !own {
            state.misdelivered += 1;
        }
        let seen = state.flows.entry(packet.flow).or_insert(Seen {
            target,
            first: Instant::now(),
            packets: 0,
        });
        if seen.target == target {
            seen.packets += 1;
            return;
        }
        let (from, opened) = (seen.target, seen.first);
        let moved = Move {
            flow: packet.flow,
            from,
            to: target,
            opens: packet.opens_connection(),
            age: opened.elapsed(),
        };
        state.moved.entry(id(&packet.flow)).or_insert(moved);
    }

    /// Notes that the caller got a reset for a flow. A flow that no target has
    /// seen was refused, not broken.
    pub fn was_reset(&self, flow: FlowKey) {
        let mut state = self.lock();
        if state.flows.contains_key(&flow) {
            state.reset.insert(flow);
        }
    }

    /// Whether a target has seen the flow.
    pub fn knows(&self, flow: &FlowKey) -> bool {
        self.lock().flows.contains_key(flow)
    }

    /// Flows first seen at each target from `from` to `to`.
    pub fn opened(&self, targets: usize, from: Instant, to: Instant) -> Vec<usize> {
        let mut counts = vec![0; targets];
        for seen in self.lock().flows.values() {
            if seen.first >= from && seen.first < to {
                counts[seen.target] += 1;
            }
        }
        counts
    }

    /// Flows and packets at each target.
    pub fn per_target(&self, targets: usize) -> Vec<(usize, u64)> {
        let mut counts = vec![(0, 0); targets];
        for seen in self.lock().flows.values() {
            counts[seen.target].0 += 1;
            counts[seen.target].1 += seen.packets;
        }
        counts
    }

    /// The flows with packets at more than one target.
    pub fn moves(&self) -> Vec<Move> {
        self.lock().moved.values().copied().collect()
    }

    /// Totals.
    pub fn tally(&self) -> Tally {
        let state = self.lock();
        let moved = |flow: &FlowKey| state.moved.contains_key(&id(flow));
        Tally {
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
