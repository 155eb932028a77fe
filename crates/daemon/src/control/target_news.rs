//! Health and counts of the targets.

use std::time::Duration;

use sequoiatrail_core::Event as CoreEvent;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{Body, TargetMessage};

use super::Control;

impl Control {
    pub(super) fn take_target_message(&mut self, from: NodeId, message: TargetMessage) {
        let now = self.links.clock.now();
        self.targets.take_message(now, from, &message);
        if !message.shares.is_empty() {
            let shares = message.shares;
            self.tell_core(CoreEvent::Shares { from, shares });
        }
    }

    /// Probes targets, judges them, and tells the other balancers what is new.
    pub(super) fn tick_targets(&mut self, now: Duration) {
        let table = self.links.core.table();
        let evidence = self.links.core.take_flow_evidence();
        self.targets.take_evidence(now, &evidence);
        let mut found = self.targets.tick(now, &table);
        if !found.events.is_empty() {
            self.links.board.facts().down = self.targets.down();
        }
        for event in found.events {
            self.tell_core(event);
        }
        if self.targets.wants_shares(now) {
            let open = self.links.core.open_flows();
            let changed = self.links.core.take_changed_shares();
            found.message.shares = self.targets.take_counts(now, &open, changed);
            self.links.board.facts().open_flows = open.into_iter().collect();
        }
        if found.message == TargetMessage::default() {
            return;
        }
        let Some(net) = &self.links.net else { return };
        for peer in &self.members.peers {
            // A member that has just gone needs no news.
            let _ = net.send(peer.node, Body::Target(found.message.clone()));
        }
    }
}
