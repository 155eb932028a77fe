//! Cluster membership, and the transitions to owning flows and to leaving.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sequoiatrail_core::{Event as CoreEvent, Peer};
use sequoiatrail_events::Event;
use sequoiatrail_membership::Event as MemberEvent;
use sequoiatrail_table::Service;
use sequoiatrail_types::{NodeId, TableVersion};
use sequoiatrail_wire::message::FlowMessage;

use super::Control;
use crate::joining::{JoinConditions, JoinProgress, Step};
use crate::peer_link;

/// Maximum time that a leaving balancer waits for open plan changes to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// Maximum time that a leaving balancer spends on the handover.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(15);
/// Pause of the process after which the peers may have declared it dead.
const REJOIN_AFTER: Duration = Duration::from_secs(2);

impl Control {
    pub(super) fn handle_member_event(&mut self, event: MemberEvent) {
        self.peers_changed = true;
        let domain_of = |node: NodeId| {
            let members = self.cx.net.as_ref()?.members();
            Some(members.peer(node)?.domain.0)
        };
        match event {
            MemberEvent::Joined(node) => self.cx.log.emit(Event::PeerFound {
                peer: node.0,
                domain: domain_of(node).unwrap_or_default(),
            }),
            MemberEvent::Died(node) | MemberEvent::Left(node) => {
                self.cx.log.emit(Event::PeerGone {
                    peer: node.0,
                    left: event == MemberEvent::Left(node),
                });
            }
            MemberEvent::Resurrected { .. } => self.rejoin(),
            MemberEvent::Woke { pause } if pause >= REJOIN_AFTER => self.rejoin(),
            _ => {}
        }
    }

    /// Stops owning flows, since the local state may be stale, and joins again: the
    /// state of a ready peer, if there is one, must be imported first.
    pub(super) fn rejoin(&mut self) {
        self.joining = JoinProgress::new(self.cx.clock.now());
        self.set_ready(false);
    }

    pub(super) fn import_state(&mut self, messages: Vec<FlowMessage>) {
        let now = self.cx.clock.now();
        let imported = self.cx.core.import_snapshot(now, messages);
        self.joining.state_imported(imported);
    }

    /// Advances the transition to owning flows or, when leaving, the handover.
    pub(super) fn update_ready(&mut self, now: Duration) {
        if self.is_leaving() {
            return self.leave(now);
        }
        if self.ready {
            return;
        }
        let table = self.cx.core.table();
        let has_plan = |s: &Service| self.plans.contains_key(&s.id);
        let conditions = JoinConditions {
            has_table_and_plans: table.version > TableVersion(0)
                && table.services.iter().all(has_plan),
            has_ready_peer: self.members.peers.iter().any(|p| p.ready),
            has_peers: self.cx.net.is_some(),
        };
        match self.joining.step(now, conditions) {
            Step::Wait => {}
            Step::FetchState => self.cx.shared.wants_state.store(true, Ordering::Release),
            Step::Ready => self.set_ready(true),
        }
    }

    fn has_open_buckets(&self) -> bool {
        let core = &self.cx.core;
        let table = core.table();
        table.services.iter().any(|s| core.open_buckets(s.id) > 0)
    }

    /// Waits for open plan changes to settle, since the next owners of the flows may
    /// be at another stage of the change. Then hands over the state that only this
    /// balancer has and gives up ownership. It stays ready until then because the
    /// peers settle no bucket without it.
    fn leave(&mut self, now: Duration) {
        if self.cx.shared.handed_over.load(Ordering::Acquire) {
            return;
        }
        let since = *self.leaving_since.get_or_insert(now);
        if self.has_open_buckets() && now < since + SETTLE_LIMIT {
            return;
        }
        let started = *self.hand_over_since.get_or_insert_with(|| {
            if self.ready {
                self.cx.core.leave();
            }
            now
        });
        if self.cx.core.queued_messages() > 0 && now < started + HAND_OVER_LIMIT {
            return;
        }
        self.set_ready(false);
        self.cx.shared.handed_over.store(true, Ordering::Release);
    }

    pub(super) fn set_ready(&mut self, ready: bool) {
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        self.peers_changed = true;
        self.cx.shared.ready.store(ready, Ordering::Relaxed);
        if let Some(net) = &self.cx.net {
            net.set_ready(ready);
        }
        if ready {
            self.cx.log.emit(Event::Ready {
                peers: self.live().len(),
            });
        }
    }

    pub(super) fn update_peers(&mut self) {
        if let Some(net) = &self.cx.net {
            let members = net.members();
            self.peers_changed |= !Arc::ptr_eq(&members, &self.members);
            self.members = members;
        }
        if std::mem::take(&mut self.peers_changed) {
            let peers = self.live();
            self.targets.set_live(self.cx.clock.now(), &peers);
            self.update_core(CoreEvent::Peers(peers));
        }
    }

    pub(super) fn live(&self) -> Vec<Peer> {
        let me = Peer {
            node: self.node(),
            domain: self.cx.status.failure_domain,
            ready: self.ready,
            prepared: self.prepared.iter().map(|(s, v)| (*s, *v)).collect(),
        };
        peer_link::live(&self.members, me)
    }
}
