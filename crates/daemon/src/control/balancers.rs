//! The other balancers, and the way to owning flows and back.

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
use crate::joining::{Joining, Situation, Step};
use crate::peer_link;

/// Longest time that a leaving balancer waits for changes of plans to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// Longest time that a leaving balancer spends on handing over.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(15);
/// Pause of the process after which the others may have taken it for dead.
const REJOIN_AFTER: Duration = Duration::from_secs(2);

impl Control {
    pub(super) fn take_member_event(&mut self, event: MemberEvent) {
        self.peers_changed = true;
        let found = |node: NodeId| {
            let members = self.links.net.as_ref()?.members();
            Some(members.peer(node)?.domain.0)
        };
        match event {
            MemberEvent::Joined(node) => self.links.log.emit(Event::PeerFound {
                peer: node.0,
                domain: found(node).unwrap_or_default(),
            }),
            MemberEvent::Died(node) | MemberEvent::Left(node) => {
                self.links.log.emit(Event::PeerGone {
                    peer: node.0,
                    left: event == MemberEvent::Left(node),
                });
            }
            MemberEvent::Resurrected { .. } => self.rejoin(),
            MemberEvent::Woke { pause } if pause >= REJOIN_AFTER => self.rejoin(),
            _ => {}
        }
    }

    /// What this balancer knows may be old: it owns nothing until it has taken
    /// over the state of another one.
    pub(super) fn rejoin(&mut self) {
        self.joining = Joining::new(self.links.clock.now());
        self.set_ready(false);
    }

    pub(super) fn take_state(&mut self, messages: Vec<FlowMessage>) {
        let now = self.links.clock.now();
        let whole = self.links.core.import_snapshot(now, messages);
        self.joining.took_state(whole);
    }

    /// Goes one step on the way to owning flows, or back when leaving.
    pub(super) fn update_ready(&mut self, now: Duration) {
        if self.is_leaving() {
            return self.leave(now);
        }
        if self.ready {
            return;
        }
        let table = self.links.core.table();
        let has_plan = |s: &Service| self.plans.contains_key(&s.id);
        let situation = Situation {
            has_all: table.version > TableVersion(0) && table.services.iter().all(has_plan),
            others_ready: self.members.peers.iter().any(|p| p.ready),
            has_peers: self.links.net.is_some(),
        };
        match self.joining.step(now, situation) {
            Step::Wait => {}
            Step::AskForState => self.links.board.wants_state.store(true, Ordering::Release),
            Step::Ready => self.set_ready(true),
        }
    }

    fn has_open_buckets(&self) -> bool {
        let core = &self.links.core;
        let table = core.table();
        table.services.iter().any(|s| core.open_buckets(s.id) > 0)
    }

    /// Lets changes of plans settle, for the heirs of this balancer's flows may
    /// be at another stage of them. Hands over what only this balancer knows, then owns nothing any more.
    /// Until then it stays ready: the others settle no bucket without it.
    fn leave(&mut self, now: Duration) {
        if self.links.board.handed_over.load(Ordering::Acquire) {
            return;
        }
        let since = *self.leaving_since.get_or_insert(now);
        if self.has_open_buckets() && now < since + SETTLE_LIMIT {
            return;
        }
        let handing = *self.handing_since.get_or_insert_with(|| {
            if self.ready {
                self.links.core.leave();
            }
            now
        });
        if self.links.core.queued_messages() > 0 && now < handing + HAND_OVER_LIMIT {
            return;
        }
        self.set_ready(false);
        self.links.board.handed_over.store(true, Ordering::Release);
    }

    pub(super) fn set_ready(&mut self, ready: bool) {
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        self.peers_changed = true;
        self.links.board.ready.store(ready, Ordering::Relaxed);
        if let Some(net) = &self.links.net {
            net.set_ready(ready);
        }
        if ready {
            self.links.log.emit(Event::Ready {
                peers: self.live().len(),
            });
        }
    }

    pub(super) fn update_peers(&mut self) {
        if let Some(net) = &self.links.net {
            let members = net.members();
            self.peers_changed |= !Arc::ptr_eq(&members, &self.members);
            self.members = members;
        }
        if std::mem::take(&mut self.peers_changed) {
            let peers = self.live();
            self.targets.set_live(self.links.clock.now(), &peers);
            self.tell_core(CoreEvent::Peers(peers));
        }
    }

    pub(super) fn live(&self) -> Vec<Peer> {
        let me = Peer {
            node: self.node(),
            domain: self.links.status.failure_domain,
            ready: self.ready,
            prepared: self.prepared.iter().map(|(s, v)| (*s, *v)).collect(),
        };
        peer_link::live(&self.members, me)
    }
}
