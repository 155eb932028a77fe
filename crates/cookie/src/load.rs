//! What this balancer has sent to each target and not seen ended.

use crate::flows::Flow;

/// Load of one target as this balancer sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Flows that are open or opening.
    pub flows: u32,
    /// Flows with a request that is not answered yet.
    pub busy: u32,
    /// Flows whose caller has sent the waiting request more than once.
    pub stalled: u32,
}

impl Load {
    /// A request of the flow waits for its answer.
    pub(crate) fn mark_busy(&mut self, flow: &mut Flow) {
        if !std::mem::replace(&mut flow.busy, true) {
            self.busy += 1;
        }
    }

    /// The request had to be sent again.
    pub(crate) fn mark_stalled(&mut self, flow: &mut Flow) {
        if !std::mem::replace(&mut flow.stalled, true) {
            self.stalled += 1;
        }
    }

    /// The request was answered, or its flow ended.
    pub(crate) fn clear_request(&mut self, flow: &mut Flow) {
        if std::mem::take(&mut flow.busy) {
            self.busy = self.busy.saturating_sub(1);
        }
        if std::mem::take(&mut flow.stalled) {
            self.stalled = self.stalled.saturating_sub(1);
        }
    }
}
