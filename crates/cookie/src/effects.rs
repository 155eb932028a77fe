//! What follows from a decision beside the packet itself.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::{FlowId, OverloadChange, ResetReason, TargetId};

/// Most resets that are handed out at once; the others follow.
const MAX_RESETS_PER_BATCH: usize = 256;

/// A target that began to be avoided; told in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The target.
    pub target: TargetId,
    /// Doubts in a row, without an answer between them.
    pub consecutive: u32,
    /// Flows here that go to it.
    pub flows: u32,
}

/// A probe to make: a plain connection to the target's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRequest {
    /// The target.
    pub target: TargetId,
    /// Where to connect.
    pub address: SocketAddrV4,
    /// When it was asked for.
    pub requested_at: Duration,
}

/// A flow to reset although its caller sent nothing just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowId,
    /// The caller's last acknowledgement.
    pub acked: u32,
    /// Why.
    pub reason: ResetReason,
}

/// What is to be done now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effects {
    /// Targets that began to be avoided.
    pub suspicions: Vec<Suspicion>,
    /// Services whose new flows began or ceased to be refused.
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
            && self.overloads.is_empty()
            && self.probes.is_empty()
            && self.resets.is_empty()
    }
}

/// Effects that wait to be taken.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    pub suspicions: Vec<Suspicion>,
    pub overloads: Vec<OverloadChange>,
    pub probes: Vec<ProbeRequest>,
    pub resets: VecDeque<FlowReset>,
}

impl Pending {
    /// Takes what is to be done now; of many resets only some.
    pub fn take(&mut self) -> Effects {
        let resets = self.resets.len().min(MAX_RESETS_PER_BATCH);
        Effects {
            suspicions: std::mem::take(&mut self.suspicions),
            overloads: std::mem::take(&mut self.overloads),
            probes: std::mem::take(&mut self.probes),
            resets: self.resets.drain(..resets).collect(),
        }
    }
}
