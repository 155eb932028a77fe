//! News of the platform, and what it is told.

use std::sync::atomic::Ordering;

use sequoiatrail_events::Event;
use sequoiatrail_platform::{BalancerStatus, StoreEvent};
use sequoiatrail_types::NodeId;

use super::Control;
use crate::platform_link::Write;

impl Control {
    pub(super) fn take_store_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Table(table) => self.take_table(table, "platform"),
            StoreEvent::Plan(plan) => self.take_plan(plan, "platform"),
            StoreEvent::Synced(_) => self.platform_answers(),
            StoreEvent::BadObject { key, reason } => self.links.log.emit(Event::ObjectRefused {
                object: key,
                error: reason,
            }),
            StoreEvent::Failed { reason, .. } => self.platform_fails(reason),
            StoreEvent::Balancer(status) => self.take_balancer(&status),
            StoreEvent::BalancerRemoved(node) => self.forget_balancer(node),
            // A plan goes with its service.
            StoreEvent::PlanRemoved(_) => {}
        }
    }

    /// The platform's list lags: it only says where balancers may be found.
    fn take_balancer(&mut self, status: &BalancerStatus) {
        if status.leaving || status.node == self.node() {
            return self.forget_balancer(status.node);
        }
        let vm = status.vm.clone();
        self.links.board.facts().vms.insert(status.node, vm);
        let old = self.listed.insert(status.node, status.peer_address);
        if old != Some(status.peer_address) {
            self.update_seeds();
        }
    }

    fn forget_balancer(&mut self, node: NodeId) {
        self.links.board.facts().vms.remove(&node);
        if self.listed.remove(&node).is_some() {
            self.update_seeds();
        }
    }

    fn update_seeds(&self) {
        let Some(net) = &self.links.net else { return };
        let seeds = self.links.seeds.iter().chain(self.listed.values());
        net.set_seeds(seeds.copied().collect());
    }

    fn platform_answers(&mut self) {
        let board = &self.links.board;
        board.platform_reachable.store(true, Ordering::Relaxed);
        let Some(since) = self.platform_lost.take() else {
            return;
        };
        let after = self.links.clock.now().saturating_sub(since);
        self.links.log.emit(Event::PlatformBack {
            after_ms: after.as_millis() as u64,
        });
    }

    fn platform_fails(&mut self, error: String) {
        if self.platform_lost.is_some() {
            return;
        }
        let board = &self.links.board;
        board.platform_reachable.store(false, Ordering::Relaxed);
        self.platform_lost = Some(self.links.clock.now());
        self.links.log.emit(Event::PlatformLost { error });
    }

    /// Tells the platform of this balancer; a lost write is made up for by the next.
    pub(super) fn write_status(&mut self) {
        self.links.status.table = self.links.core.table().version;
        let write = Write::Status(self.links.status.clone());
        let _ = self.links.writes.try_send(write);
    }
}
