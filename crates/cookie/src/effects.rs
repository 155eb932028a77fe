//! Side effects of decisions, to be carried out by the caller of this crate.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::{Cookie, FlowId, OverloadChange, ResetReason, SuspectReport, TargetId};

/// Maximum number of resets returned at once; the rest follow with later calls.
const MAX_RESETS_PER_BATCH: usize = 256;

/// A target that became suspect and gets no new flows for now; logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The target.
    pub target: TargetId,
    /// Consecutive suspicions without a response between them.
    pub suspicion_count: u32,
    /// Flows to it tracked by this balancer.
    pub flows: u32,
}

/// Request for a probe, a plain connection to the target's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRequest {
    /// The target.
    pub target: TargetId,
    /// Address to connect to.
    pub address: SocketAddrV4,
    /// When the probe was requested.
    pub requested_at: Duration,
}

/// A flow to reset proactively, without a packet of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowId,
    /// The client's last acknowledgement number.
    pub acked: u32,
    /// The flow's cookie, which identifies its target.
    pub cookie: Cookie,
    /// Why.
    pub reason: ResetReason,
}

/// Side effects to carry out now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Targets that became suspect.
    pub suspicions: Vec<Suspicion>,
    /// What to report to the other balancers of the failure domain.
    pub report: SuspectReport,
    /// Services that started or stopped refusing new flows.
    pub overloads: Vec<OverloadChange>,
    /// Probes to make.
    pub probes: Vec<ProbeRequest>,
    /// Flows to reset.
    pub resets: Vec<FlowReset>,
}

impl Effects {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
            && self.report.is_empty()
            && self.overloads.is_empty()
            && self.probes.is_empty()
            && self.resets.is_empty()
    }
}

/// Effects not yet taken.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    pub suspicions: Vec<Suspicion>,
    pub report: SuspectReport,
    pub overloads: Vec<OverloadChange>,
    pub probes: Vec<ProbeRequest>,
    pub resets: VecDeque<FlowReset>,
}

impl Pending {
    /// Takes the pending effects, with at most [`MAX_RESETS_PER_BATCH`] resets.
    pub fn take(&mut self) -> Effects {
        let resets = self.resets.len().min(MAX_RESETS_PER_BATCH);
        Effects {
            suspicions: std::mem::take(&mut self.suspicions),
            report: std::mem::take(&mut self.report),
            overloads: std::mem::take(&mut self.overloads),
            probes: std::mem::take(&mut self.probes),
            resets: self.resets.drain(..resets).collect(),
        }
    }
}
