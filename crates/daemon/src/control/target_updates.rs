//! Target health and flow counts.

use std::time::Duration;

use sequoiatrail_core::Event as CoreEvent;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{Body, TargetMessage};

use super::Control;

impl Control {
    pub(super) fn handle_target_message(&mut self, from: NodeId, message: TargetMessage) {
        let now = self.cx.clock.now();
        self.targets.record_message(now, from, &message);
        if !message.shares.is_empty() {
            let shares = message.shares;
            self.update_core(CoreEvent::Shares { from, shares });
        }
    }

    /// Probes and evaluates targets, and sends updates to the other balancers.
    pub(super) fn tick_targets(&mut self, now: Duration) {
        let table = self.cx.core.table();
        let evidence = self.cx.core.take_flow_evidence();
        self.targets.record_evidence(now, &evidence);
        let mut found = self.targets.tick(now, &table);
        if !found.events.is_empty() {
            self.cx.shared.details().down = self.targets.down();
        }
        for event in found.events {
            self.update_core(event);
        }
        if self.targets.shares_due(now) {
            let open = self.cx.core.open_flows();
            let changed = self.cx.core.take_changed_shares();
            found.message.shares = self.targets.update_shares(now, &open, changed);
            self.cx.shared.details().open_flows = open.into_iter().collect();
        }
        if found.message == TargetMessage::default() {
            return;
        }
        let Some(net) = &self.cx.net else { return };
        for peer in &self.members.peers {
            // A member that has just left needs no update.
            let _ = net.send(peer.node, Body::Target(found.message.clone()));
        }
    }
}
