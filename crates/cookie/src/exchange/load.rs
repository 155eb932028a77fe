//! Load of each target through this balancer.

use crate::packets::flows::Flow;

/// Load of one target through this balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Open flows, including those whose SYN has no response yet.
    pub flows: u32,
    /// Flows whose SYN was forwarded so recently that their first request is still to come.
    pub opening: u32,
    /// Flows with an unanswered request.
    pub busy: u32,
    /// Flows whose unanswered request was retransmitted.
    pub stalled: u32,
    /// Flows with a request sent so recently that its target still works on it.
    pub in_flight: u32,
}

impl Load {
    /// Records that the SYN of the flow was forwarded.
    pub(crate) fn mark_opening(&mut self, flow: &mut Flow) {
        if !std::mem::replace(&mut flow.opening, true) {
            self.opening += 1;
        }
    }

    /// Records that the flow is open, or that its SYN seems lost.
    pub(crate) fn clear_opening(&mut self, flow: &mut Flow) {
        if std::mem::take(&mut flow.opening) {
            self.opening = self.opening.saturating_sub(1);
        }
    }

    /// Records that the flow has an unanswered request.
    pub(crate) fn mark_busy(&mut self, flow: &mut Flow) {
        if !std::mem::replace(&mut flow.busy, true) {
            self.busy += 1;
        }
    }

    /// Records that new data was sent to the target.
    pub(crate) fn mark_in_flight(&mut self, flow: &mut Flow) {
        if !std::mem::replace(&mut flow.in_flight, true) {
            self.in_flight += 1;
        }
    }

    /// Records that the request was retransmitted.
    pub(crate) fn mark_stalled(&mut self, flow: &mut Flow) {
        if !std::mem::replace(&mut flow.stalled, true) {
            self.stalled += 1;
        }
    }

    /// Records that the target no longer works on the request, although its client
    /// got no response.
    pub(crate) fn clear_in_flight(&mut self, flow: &mut Flow) {
        if std::mem::take(&mut flow.in_flight) {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    /// Records that the request was answered or its flow ended.
    pub(crate) fn clear_request(&mut self, flow: &mut Flow) {
        self.clear_in_flight(flow);
        if std::mem::take(&mut flow.busy) {
            self.busy = self.busy.saturating_sub(1);
        }
        if std::mem::take(&mut flow.stalled) {
            self.stalled = self.stalled.saturating_sub(1);
        }
    }
}
