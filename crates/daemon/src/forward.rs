//! One packet from its arrival to its decision and away.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use sequoiatrail_core::{Core, Decision, DropReason, ForwardReason, Via};
use sequoiatrail_events::{Event, Log, RateLimit, Sampler};
use sequoiatrail_packet::{Error as Broken, Packet, parse, reject_reply};
use sequoiatrail_settings::LogSettings;
use sequoiatrail_types::{Clock, NodeId, TargetId};
use sequoiatrail_wire::message::RelayHeader;
use slog::Level;

use crate::batch::{BATCH, Outbox};
use crate::counters::{Count, Counters};
use crate::outlet::Outlet;

/// Lines a second for each kind of event that a hostile sender can cause.
const LINES_PER_SECOND: u32 = 5;

/// Gives a packet to another balancer; whether it was sent.
pub(crate) type Relay = Box<dyn Fn(NodeId, RelayHeader, &[u8]) -> bool + Send + Sync>;

/// What all threads of the data path share.
pub(crate) struct DataPath {
    pub core: Arc<Core>,
    pub clock: Arc<dyn Clock>,
    pub log: Log,
    /// Where answers go; without it, to the sender of the packet.
    pub return_address: Option<SocketAddr>,
    /// Set once the sockets between balancers are open.
    pub relay: OnceLock<Relay>,
    placements: Sampler,
    packets: Sampler,
    relays: Sampler,
    drops: RateLimit,
    refusals: RateLimit,
    resets: RateLimit,
    failures: RateLimit,
}

impl DataPath {
    pub fn new(
        core: Arc<Core>,
        clock: Arc<dyn Clock>,
        log: Log,
        return_address: Option<SocketAddr>,
        sampling: &LogSettings,
    ) -> Self {
        Self {
            core,
            clock,
            log,
            return_address,
            relay: OnceLock::new(),
            placements: Sampler::new(sampling.sample_placements),
            packets: Sampler::new(sampling.sample_packets),
            relays: Sampler::new(sampling.sample_placements),
            drops: RateLimit::new(LINES_PER_SECOND),
            refusals: RateLimit::new(LINES_PER_SECOND),
            resets: RateLimit::new(LINES_PER_SECOND),
            failures: RateLimit::new(LINES_PER_SECOND),
        }
    }
}

/// One thread's own part of the data path.
pub(crate) struct Forwarder {
    path: Arc<DataPath>,
    out: Outlet,
    counters: Arc<Counters>,
}

impl Forwarder {
    pub fn new(path: Arc<DataPath>, out: Outlet, counters: Arc<Counters>) -> Self {
        Self {
            path,
            out,
            counters,
        }
    }

    /// Handles packets of the fabric, with their senders.
    pub fn take_from_fabric<'a>(
        &self,
        datagrams: impl Iterator<Item = (&'a [u8], SocketAddr)>,
        outbox: &mut Outbox,
    ) {
        let mut to_send = Vec::with_capacity(BATCH);
        let (mut packets, mut length) = (0, 0);
        for (bytes, from) in datagrams {
            packets += 1;
            length += bytes.len() as u64;
            if let Some(to) = self.handle(bytes, Some(from), Via::Fabric) {
                to_send.push((bytes, to));
            }
        }
        self.counters.add(Count::Received, packets);
        self.counters.add(Count::ReceivedBytes, length);
        self.out
            .send_all(outbox, &mut to_send, |to, e| self.send_failed(to, &e));
    }

    /// Handles a packet that another balancer relayed.
    pub fn take_from_peer(&self, bytes: &[u8], from: NodeId, header: RelayHeader) {
        self.counters.add(Count::ReceivedFromPeers, 1);
        if let Some(to) = self.handle(bytes, None, Via::Peer { from, header }) {
            self.send(bytes, to);
        }
    }

    /// Acts on the decision on a packet; returns the target's tunnel end if the
    /// packet is to be sent there.
    fn handle(&self, bytes: &[u8], from: Option<SocketAddr>, via: Via) -> Option<SocketAddr> {
        let packet = match parse(bytes) {
            Ok(packet) => packet,
            Err(e) => {
                self.drop_broken(e, from);
                return None;
            }
        };
        let now = self.path.clock.now();
        match self.path.core.decide(now, &packet, via) {
            Decision::Forward { target, to, reason } => {
                self.note_forwarded(&packet, target, to, reason);
                return Some(to);
            }
            Decision::Relay { to, header } => self.relay(bytes, &packet, to, header),
            Decision::Refuse(reason) => {
                self.counters.add(Count::Refused, 1);
                self.answer(bytes, &packet, from);
                self.log_refusal(&packet, reason.to_string());
            }
            Decision::Reset => {
                self.counters.add(Count::Reset, 1);
                self.answer(bytes, &packet, from);
                self.log_reset(&packet);
            }
            Decision::Drop(reason) => self.drop_decided(reason, &packet, from),
        }
        None
    }

    fn note_forwarded(
        &self,
        packet: &Packet,
        target: TargetId,
        to: SocketAddr,
        reason: ForwardReason,
    ) {
        let known = reason == ForwardReason::Known;
        let count = if known {
            Count::ForwardedKnown
        } else {
            Count::ForwardedPlaced
        };
        self.counters.add(count, 1);
        let level = if known { Level::Trace } else { Level::Debug };
        if !self.path.log.enabled(level) {
            return;
        }
        if known {
            self.log_packet(packet, target, reason);
        } else {
            self.log_placement(packet, target, to, reason);
        }
    }

    fn relay(&self, bytes: &[u8], packet: &Packet, to: NodeId, header: RelayHeader) {
        let sent = self
            .path
            .relay
            .get()
            .is_some_and(|relay| relay(to, header, bytes));
        let count = if sent {
            Count::Relayed
        } else {
            Count::SendFailed
        };
        self.counters.add(count, 1);
        if !self.path.log.enabled(Level::Debug) {
            return;
        }
        let Some(every) = self.path.relays.admit() else {
            return;
        };
        self.path.log.emit(Event::PacketRelayed {
            src: packet.flow.src,
            dst: packet.flow.dst,
            to: to.0,
            stage: header.stage.to_string(),
            every,
        });
    }

    /// Sends the answer that ends the flow for its caller.
    fn answer(&self, bytes: &[u8], packet: &Packet, from: Option<SocketAddr>) {
        let Some(to) = self.path.return_address.or(from) else {
            return;
        };
        let Some(reply) = reject_reply(packet, bytes) else {
            return;
        };
        if self.send(&reply, to) {
            self.counters.add(Count::Answered, 1);
        }
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        let Err(e) = self.out.send(bytes, to) else {
            return true;
        };
        self.send_failed(to, &e);
        false
    }

    fn send_failed(&self, to: SocketAddr, e: &std::io::Error) {
        self.counters.add(Count::SendFailed, 1);
        if let Some(skipped) = self.path.failures.admit(self.path.clock.now()) {
            self.path.log.emit(Event::SendFailed {
                to,
                error: e.to_string(),
                skipped,
            });
        }
    }

    fn drop_broken(&self, error: Broken, from: Option<SocketAddr>) {
        let count = match error {
            Broken::Fragment => Count::DroppedFragment,
            Broken::Malformed | Broken::Transport => Count::DroppedBroken,
        };
        self.counters.add(count, 1);
        self.log_drop(error.into(), from);
    }

    fn drop_decided(&self, reason: DropReason, packet: &Packet, from: Option<SocketAddr>) {
        let count = match reason {
            DropReason::UnknownService => Count::DroppedUnknownService,
            _ => Count::DroppedOther,
        };
        self.counters.add(count, 1);
        self.log_drop(reason.into(), from.or(Some(packet.flow.src)));
    }

    fn log_drop(&self, reason: &'static str, from: Option<SocketAddr>) {
        let Some(from) = from else { return };
        if let Some(skipped) = self.path.drops.admit(self.path.clock.now()) {
            self.path.log.emit(Event::PacketDropped {
                reason,
                from,
                skipped,
            });
        }
    }

    fn log_refusal(&self, packet: &Packet, reason: String) {
        if let Some(skipped) = self.path.refusals.admit(self.path.clock.now()) {
            self.path.log.emit(Event::FlowRefused {
                reason,
                src: packet.flow.src,
                dst: packet.flow.dst,
                skipped,
            });
        }
    }

    fn log_reset(&self, packet: &Packet) {
        if let Some(skipped) = self.path.resets.admit(self.path.clock.now()) {
            self.path.log.emit(Event::FlowReset {
                src: packet.flow.src,
                dst: packet.flow.dst,
                skipped,
            });
        }
    }

    fn log_placement(
        &self,
        packet: &Packet,
        target: TargetId,
        to: SocketAddr,
        reason: ForwardReason,
    ) {
        let Some(every) = self.path.placements.admit() else {
            return;
        };
        self.path.log.emit(Event::FlowPlaced {
            src: packet.flow.src,
            dst: packet.flow.dst,
            target: target.0,
            to,
            reason: reason.into(),
            every,
        });
    }

    fn log_packet(&self, packet: &Packet, target: TargetId, reason: ForwardReason) {
        let Some(every) = self.path.packets.admit() else {
            return;
        };
        self.path.log.emit(Event::PacketForwarded {
            src: packet.flow.src,
            dst: packet.flow.dst,
            target: target.0,
            reason: reason.into(),
            every,
        });
    }
}
