//! Messages in flight between the balancers of the simulated fabric, and their
//! delivery.

use std::time::Duration;

use rand::RngExt;
use sequoiatrail_core::{Action, Decision, Event, Via};
use sequoiatrail_packet::Packet;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{FlowMessage, RelayStage};

use super::{Fabric, Item, SERVICE, node};

/// Interval between ticks of a core.
pub(super) const TICK: Duration = Duration::from_millis(100);
/// Bytes of headers added to each control message.
const HEADER_BYTES: usize = 28;

impl Fabric {
    pub(super) fn tick(&mut self) {
        self.now = self.next_tick;
        self.next_tick += TICK;
        for index in self.live() {
            let actions = self.balancers[index].core.tick(self.now);
            self.apply_actions(index, actions);
        }
        let whole_second = self.now.subsec_millis() == 0;
        if self.shares && whole_second {
            self.exchange_shares();
        }
    }

    fn exchange_shares(&mut self) {
        for index in self.live() {
            let shares = self.balancers[index].core.take_shares();
            let from = node(index);
            for other in self.live() {
                if other != index {
                    let shares = shares.clone();
                    let delay = self.random_delay();
                    self.deliver_later(other, delay, Event::Shares { from, shares });
                }
            }
        }
    }

    pub(super) fn deliver_next(&mut self, at: (Duration, u64)) {
        self.now = at.0.max(self.now);
        let (index, from, item) = self.queue.remove(&at).unwrap();
        if !self.balancers[index].alive {
            return;
        }
        match item {
            Item::Packet(header, packet) => self.decide(index, packet, Via::Peer { from, header }),
            Item::Message(message) => self.deliver(index, Event::Message { from, message }),
            Item::Event(event) => self.deliver(index, event),
            Item::Prepared(plan) => {
                let peers = &mut self.balancers[index].peers;
                if let Some(peer) = peers.iter_mut().find(|p| p.node == from) {
                    let before = peer.prepared.first().map(|(_, plan)| *plan);
                    peer.prepared = vec![(SERVICE, plan.max(before.unwrap_or_default()))];
                }
                let peers = peers.clone();
                self.deliver(index, Event::Peers(peers));
            }
        }
    }

    pub(super) fn decide(&mut self, index: usize, packet: Packet, via: Via) {
        let core = &self.balancers[index].core;
        let decision = core.decide(self.now, &packet, via);
        let ip = packet.flow.src.ip().to_string();
        let client = ip.parse::<std::net::Ipv4Addr>().unwrap().to_bits() - 0x0b00_0000;
        if self.trace == Some(client) {
            println!("{:?} at {index} {via:?}: {decision:?}", self.now);
        }
        match decision {
            Decision::Forward { target, .. } => {
                self.reached.entry(client).or_default().push(target);
            }
            Decision::Relay { to, header } => {
                assert!(header.hops <= 4, "relayed too often: {header:?}");
                assert_ne!(to, node(index), "relayed to itself");
                if header.stage == RelayStage::Ask {
                    self.relayed += 1;
                }
                self.enqueue_lossy(to, node(index), Item::Packet(header, packet));
            }
            other => {
                self.refused.insert(client, other);
            }
        }
    }

    pub(super) fn apply_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.balancers[index].control_bytes += bytes(&message);
                    let item = Item::Message(message);
                    if self.rng.random_range(0..1_000) < self.duplicates {
                        self.enqueue_lossy(to, node(index), item.clone());
                    }
                    self.enqueue_lossy(to, node(index), item);
                }
                Action::Prepared { plan, .. } => {
                    for other in self.live() {
                        let delay = self.random_delay();
                        self.enqueue(delay, other, node(index), Item::Prepared(plan));
                    }
                }
            }
        }
    }

    fn random_delay(&mut self) -> Duration {
        let longest = self.delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(longest / 4..=longest))
    }

    fn enqueue_lossy(&mut self, to: NodeId, from: NodeId, item: Item) {
        if self.rng.random_range(0..1_000) < self.loss {
            return;
        }
        let delay = self.random_delay();
        self.enqueue(delay, to.0 as usize - 1, from, item);
    }

    pub(super) fn enqueue(&mut self, delay: Duration, to: usize, from: NodeId, item: Item) {
        self.queued += 1;
        self.queue
            .insert((self.now + delay, self.queued), (to, from, item));
    }
}

/// Bytes of a message on the wire, including headers.
fn bytes(message: &FlowMessage) -> usize {
    HEADER_BYTES + sequoiatrail_core::message_bytes(message)
}
