//! What is under way between the balancers of the fake fabric, and its arrival.

use std::time::Duration;

use rand::RngExt;
use sequoiatrail_core::{Action, Decision, Event, Via};
use sequoiatrail_packet::Packet;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{FlowMessage, RelayStage};

use super::{Cargo, Fabric, SERVICE, node};

/// Time between two ticks of a core.
pub(super) const TICK: Duration = Duration::from_millis(100);
/// Bytes of headers around each control message.
const HEADER_BYTES: usize = 28;

impl Fabric {
    pub(super) fn tick(&mut self) {
        self.now = self.next_tick;
        self.next_tick += TICK;
        for index in self.live() {
            let actions = self.balancers[index].core.tick(self.now);
            self.act(index, actions);
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
                    self.give_later(other, delay, Event::Shares { from, shares });
                }
            }
        }
    }

    pub(super) fn arrive(&mut self, at: (Duration, u64)) {
        self.now = at.0.max(self.now);
        let (index, from, cargo) = self.queue.remove(&at).unwrap();
        if !self.balancers[index].alive {
            return;
        }
        match cargo {
            Cargo::Packet(header, packet) => self.decide(index, packet, Via::Peer { from, header }),
            Cargo::Message(message) => self.give(index, Event::Message { from, message }),
            Cargo::Event(event) => self.give(index, event),
            Cargo::Prepared(plan) => {
                let peers = &mut self.balancers[index].peers;
                if let Some(peer) = peers.iter_mut().find(|p| p.node == from) {
                    let before = peer.prepared.first().map(|(_, plan)| *plan);
                    peer.prepared = vec![(SERVICE, plan.max(before.unwrap_or_default()))];
                }
                let peers = peers.clone();
                self.give(index, Event::Peers(peers));
            }
        }
    }

    pub(super) fn decide(&mut self, index: usize, packet: Packet, via: Via) {
        let core = &self.balancers[index].core;
        let decision = core.decide(self.now, &packet, via);
        let ip = packet.flow.src.ip().to_string();
        let caller = ip.parse::<std::net::Ipv4Addr>().unwrap().to_bits() - 0x0b00_0000;
        if self.trace == Some(caller) {
            println!("{:?} at {index} {via:?}: {decision:?}", self.now);
        }
        match decision {
            Decision::Forward { target, .. } => {
                self.reached.entry(caller).or_default().push(target);
            }
            Decision::Relay { to, header } => {
                assert!(header.hops <= 4, "relayed too often: {header:?}");
                assert_ne!(to, node(index), "relayed to itself");
                if header.stage == RelayStage::Ask {
                    self.relayed += 1;
                }
                self.queue_random(to, node(index), Cargo::Packet(header, packet));
            }
            other => {
                self.refused.insert(caller, other);
            }
        }
    }

    pub(super) fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.balancers[index].control_bytes += bytes(&message);
                    let cargo = Cargo::Message(message);
                    if self.rng.random_range(0..1_000) < self.repeats {
                        self.queue_random(to, node(index), cargo.clone());
                    }
                    self.queue_random(to, node(index), cargo);
                }
                Action::Prepared { plan, .. } => {
                    for other in self.live() {
                        let delay = self.random_delay();
                        self.queue_up(delay, other, node(index), Cargo::Prepared(plan));
                    }
                }
            }
        }
    }

    fn random_delay(&mut self) -> Duration {
        let longest = self.delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(longest / 4..=longest))
    }

    fn queue_random(&mut self, to: NodeId, from: NodeId, cargo: Cargo) {
        if self.rng.random_range(0..1_000) < self.loss {
            return;
        }
        let delay = self.random_delay();
        self.queue_up(delay, to.0 as usize - 1, from, cargo);
    }

    pub(super) fn queue_up(&mut self, delay: Duration, to: usize, from: NodeId, cargo: Cargo) {
        self.queued += 1;
        self.queue
            .insert((self.now + delay, self.queued), (to, from, cargo));
    }
}

/// Bytes of a message on the wire, headers included.
fn bytes(message: &FlowMessage) -> usize {
    HEADER_BYTES + sequoiatrail_core::message_bytes(message)
}
