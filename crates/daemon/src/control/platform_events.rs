//! Platform events, and status reports to the platform.

use std::sync::atomic::Ordering;

use sequoiatrail_events::Event;
use sequoiatrail_platform::{BalancerStatus, StoreEvent};
use sequoiatrail_types::NodeId;

use super::Control;
use crate::control_messages::Write;

impl Control {
    pub(super) fn handle_store_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Table(table) => self.apply_table(table, "platform"),
            StoreEvent::Plan(plan) => self.apply_plan(plan, "platform"),
            StoreEvent::Synced(_) => self.platform_recovered(),
            StoreEvent::BadObject { key, reason } => self.cx.log.emit(Event::ObjectRefused {
                object: key,
                error: reason,
            }),
            StoreEvent::Failed { reason, .. } => self.platform_failed(reason),
            StoreEvent::Balancer(status) => self.update_listed_balancer(&status),
            StoreEvent::BalancerRemoved(node) => self.remove_listed_balancer(node),
            // A plan is removed together with its service.
            StoreEvent::PlanRemoved(_) => {}
        }
    }

    /// Updates the seeds. The platform's list lags, so it only provides addresses to
    /// contact, not liveness.
    fn update_listed_balancer(&mut self, status: &BalancerStatus) {
        if status.leaving || status.node == self.node() {
            return self.remove_listed_balancer(status.node);
        }
        let vm = status.vm.clone();
        self.cx.shared.details().vms.insert(status.node, vm);
        let old = self.listed.insert(status.node, status.peer_address);
        if old != Some(status.peer_address) {
            self.update_seeds();
        }
    }

    fn remove_listed_balancer(&mut self, node: NodeId) {
        self.cx.shared.details().vms.remove(&node);
        if self.listed.remove(&node).is_some() {
            self.update_seeds();
        }
    }

    fn update_seeds(&self) {
        let Some(net) = &self.cx.net else { return };
        let seeds = self.cx.seeds.iter().chain(self.listed.values());
        net.set_seeds(seeds.copied().collect());
    }

    fn platform_recovered(&mut self) {
        let shared = &self.cx.shared;
        shared.platform_reachable.store(true, Ordering::Relaxed);
        let Some(since) = self.platform_lost.take() else {
            return;
        };
        let after = self.cx.clock.now().saturating_sub(since);
        self.cx.log.emit(Event::PlatformBack {
            after_ms: after.as_millis() as u64,
        });
    }

    fn platform_failed(&mut self, error: String) {
        if self.platform_lost.is_some() {
            return;
        }
        let shared = &self.cx.shared;
        shared.platform_reachable.store(false, Ordering::Relaxed);
        self.platform_lost = Some(self.cx.clock.now());
        self.cx.log.emit(Event::PlatformLost { error });
    }

    /// Queues a status report; if the queue is full, the next report replaces it.
    pub(super) fn write_status(&mut self) {
        self.cx.status.table = self.cx.core.table().version;
        let write = Write::Status(self.cx.status.clone());
        let _ = self.cx.writes.try_send(write);
    }
}
