//! Flow table: the flows through this balancer, as observed from client packets.

use std::collections::VecDeque;
use std::time::Duration;

use foldhash::fast::RandomState;
use hashbrown::HashMap;

use crate::{FlowId, Segment, TargetKey};

/// Time for which a closed flow is remembered; longer than the client takes to
/// acknowledge what its target still sends.
const CLOSED_RETENTION: Duration = Duration::from_secs(2);
/// Time after which a request counts as no longer in flight: its target has refused
/// it or answered a client that has given up.
const REQUEST_EXPIRY: Duration = Duration::from_millis(500);

/// Observed state of a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// Target that its packets are forwarded to.
    pub target: TargetKey,
    /// When its first packet was forwarded here; zero if it was opened elsewhere.
    pub opened_at: Duration,
    /// Time of the last packet.
    pub last_seen: Duration,
    /// Whether a packet after the SYN was seen.
    pub open: bool,
    /// When the first such packet was seen here; before, when the SYN was forwarded.
    pub open_since: Duration,
    /// Whether the flow counts as one that is about to open.
    pub opening: bool,
    /// Retransmissions of the SYN.
    pub syn_retransmits: u32,
    /// Last acknowledgement number of the client.
    pub acked: u32,
    /// Sequence number of the client's last data.
    pub seq: u32,
    /// When that data was first sent; before any data, when the SYN was sent.
    pub sent_at: Duration,
    /// Whether data was sent and the acknowledgement number has not changed since.
    pub busy: bool,
    /// Whether that data was retransmitted.
    pub stalled: bool,
    /// Whether that data was sent so recently that the target still works on it.
    pub in_flight: bool,
    /// Whether the target had a free slot when that data was sent, as far as is known, so
    /// that the latency shows its pace.
    pub found_free: bool,
    /// Whether that data was the first packet seen of a flow that another process
    /// placed. When it was first sent is then unknown.
    pub adopted: bool,
    /// Whether the client has closed its end. Later packets only acknowledge data, so
    /// the flow no longer counts as load.
    pub closed: bool,
}

impl Flow {
    /// A flow whose SYN is forwarded to `target`.
    pub fn new(target: TargetKey, now: Duration, syn_retransmits: u32) -> Flow {
        Flow {
            target,
            opened_at: now,
            last_seen: now,
            open: false,
            open_since: now,
            opening: false,
            syn_retransmits,
            acked: 0,
            seq: 0,
            sent_at: now,
            busy: false,
            stalled: false,
            in_flight: false,
            found_free: false,
            adopted: false,
            closed: false,
        }
    }

    /// Whether a copy of the SYN tells nothing new: it was forwarded before, or it arrived so
    /// soon after the one that was forwarded that the target had no time to answer.
    pub fn is_duplicate(&self, now: Duration, syn: &Segment, min_rto: Duration) -> bool {
        syn.ack <= self.syn_retransmits || now < self.sent_at + min_rto
    }

    /// Whether the client has sent this data before: that of the last packet, or of an
    /// earlier one of a request that waits.
    pub fn has_sent(&self, seg: &Segment) -> bool {
        let offset = seg.seq.wrapping_sub(self.seq).cast_signed();
        seg.data_len > 0 && (offset == 0 || self.busy && offset < 0)
    }

    /// Whether no packet was seen for `idle`, or for less if the flow is closed.
    pub fn is_expired(&self, now: Duration, idle: Duration) -> bool {
        let retention = match self.closed {
            true => idle.min(CLOSED_RETENTION),
            false => idle,
        };
        now >= self.last_seen + retention
    }
}

/// The tracked flows. Losing an entry only makes the load less accurate.
#[derive(Debug, Default)]
pub struct FlowTable {
    flows: HashMap<FlowId, Flow, RandomState>,
    /// SYNs and requests by the time when they were sent, oldest first.
    requests: VecDeque<(Duration, FlowId)>,
}

impl FlowTable {
    /// Number of tracked flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is tracked.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    pub(crate) fn get(&self, id: &FlowId) -> Option<Flow> {
        self.flows.get(id).copied()
    }

    pub(crate) fn insert(&mut self, id: FlowId, flow: Flow) {
        self.flows.insert(id, flow);
    }

    pub(crate) fn remove(&mut self, id: &FlowId) -> Option<Flow> {
        self.flows.remove(id)
    }

    /// Records that a copy of a flow's SYN was forwarded to the same target; `number` counts
    /// the copies before it.
    pub(crate) fn record_syn_copy(&mut self, id: &FlowId, number: u32) {
        if let Some(flow) = self.flows.get_mut(id) {
            flow.syn_retransmits = flow.syn_retransmits.max(number);
        }
    }

    /// Records that a SYN or a request was sent on a flow, so that it expires in time.
    pub(crate) fn record_request(&mut self, now: Duration, id: FlowId) {
        self.requests.push_back((now, id));
    }

    /// Returns the next flow whose SYN or request has expired, if any.
    pub(crate) fn next_expired(&mut self, now: Duration) -> Option<(FlowId, &mut Flow)> {
        loop {
            let (sent_at, id) = *self.requests.front()?;
            if now < sent_at + REQUEST_EXPIRY {
                return None;
            }
            self.requests.pop_front();
            // Later data on the flow has an entry of its own.
            if self.flows.get(&id).is_some_and(|f| f.sent_at == sent_at) {
                return self.flows.get_mut(&id).map(|flow| (id, flow));
            }
        }
    }

    /// Removes and returns the flows for which `predicate` holds.
    pub(crate) fn take_where(
        &mut self,
        mut predicate: impl FnMut(&FlowId, &Flow) -> bool,
    ) -> Vec<(FlowId, Flow)> {
        let extracted = self.flows.extract_if(|id, flow| predicate(id, flow));
        extracted.collect()
    }
}
