//! Flows whose target has ended, and how it is known that they were open there.
//!
//! Fault: a target starts again under its identity, and this balancer learns of it later
//! than others. A flow may then be open at a start of which this balancer doesn't know, so
//! that it may not reset it with those of the start that has ended.

use std::time::Duration;

use hashbrown::HashMap;

use crate::packets::flows::Flow;
use crate::{FlowId, TargetEvent};

/// Time for which a reset flow is remembered, since the reset may be lost; longer than a
/// client repeats its packets.
const RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of remembered flows.
const MAX_FLOWS: usize = 32_768;
/// Time from the start of a target, when it may accept flows, to its entry in the store.
const REGISTRATION_TIME: Duration = Duration::from_secs(1);

/// Until when flows that were open belong to the start of a target that was listed at
/// `current_at`, the last time that the list is known to have been up to date.
pub(crate) fn end_of_known_start(current_at: Duration) -> Duration {
    current_at.saturating_sub(REGISTRATION_TIME)
}

/// Whether a flow was open at the start of its target that has ended, given the time from
/// [`end_of_known_start`]. A target whose entry is removed drained before, or is silent:
/// what was placed here is no flow of a later start.
pub(crate) fn was_open_at_ended_start(
    flow: &Flow,
    event: TargetEvent,
    known_until: Duration,
) -> bool {
    let placed_here = !flow.opened_at.is_zero();
    match event {
        TargetEvent::Gone => placed_here || flow.open_since <= known_until,
        TargetEvent::Reborn => flow.open_since <= known_until,
        _ => false,
    }
}

/// Flows that were reset because their target has ended.
#[derive(Debug, Default)]
pub(crate) struct LostFlows {
    reset_at: HashMap<FlowId, Duration>,
}

impl LostFlows {
    /// Records that a flow was reset.
    pub fn record(&mut self, now: Duration, flow: FlowId) {
        if self.reset_at.len() < MAX_FLOWS || self.reset_at.contains_key(&flow) {
            self.reset_at.insert(flow, now);
        }
    }

    /// Whether a flow was reset.
    pub fn contains(&self, flow: &FlowId) -> bool {
        self.reset_at.contains_key(flow)
    }

    /// Forgets a flow, as its client opens another one from the same address.
    pub fn remove(&mut self, flow: &FlowId) {
        self.reset_at.remove(flow);
    }

    /// Forgets flows that were reset long ago.
    pub fn sweep(&mut self, now: Duration) {
        self.reset_at.retain(|_, at| now < *at + RETENTION);
    }
}
