//! The relay socket: client packets for another balancer to decide on or forward.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sequoiatrail_types::NodeId;
use sequoiatrail_wire::message::{Body, Datagram, FlowMessage, Forward, PeerSocket, RelayHeader};
use sequoiatrail_wire::{ReplayGuard, encode, limits};
use snafu::{ResultExt, ensure};

use crate::control::{MAX_TRACKED_SENDERS, Shared};
use crate::error::{SendSnafu, TooLongSnafu};
use crate::meter::wire_bytes;
use crate::view::Route;
use crate::{Kind, RejectReason, Result};

/// Receive timeout of the relay socket; bounds how long the thread takes to stop.
pub(crate) const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// The sending half of the relay socket.
pub(crate) struct Relay {
    pub(crate) socket: UdpSocket,
    pub(crate) serial: AtomicU64,
}

impl Relay {
    /// Sends a packet to a balancer, directly or via an intermediary.
    pub(crate) fn send(
        &self,
        shared: &Shared,
        node: NodeId,
        route: Route,
        header: RelayHeader,
        packet: &[u8],
    ) -> Result<()> {
        let len = packet.len();
        ensure!(len <= limits::PACKET_BYTES, TooLongSnafu { len });
        let body = Body::Flow(FlowMessage::Relay(header, packet.to_vec()));
        match route {
            Route::Direct(peer) => self.transmit(shared, peer.relay(), &self.encode(shared, body)),
            Route::Via(intermediary) => {
                let serial = self.serial.fetch_add(1, Ordering::Relaxed);
                let forwarded = shared.wrap_for_forwarding(node, PeerSocket::Relay, serial, body);
                self.transmit(
                    shared,
                    intermediary.relay(),
                    &self.encode(shared, forwarded),
                )
            }
        }
    }

    fn encode(&self, shared: &Shared, body: Body) -> Vec<u8> {
        let datagram = Datagram {
            from: shared.node,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
            body,
        };
        encode(&datagram, &shared.key)
    }

    fn forward_packet(&self, shared: &Shared, forward: &Forward) {
        let Some(peer) = shared.next_hop(forward) else {
            shared.meter.dropped(Kind::Relay);
            return;
        };
        // `transmit` counts a failed send as dropped.
        let _ = self.transmit(shared, peer.relay(), &forward.datagram);
    }

    fn transmit(&self, shared: &Shared, address: SocketAddr, bytes: &[u8]) -> Result<()> {
        let sent = self.socket.send_to(bytes, address);
        if sent.is_err() {
            shared.meter.dropped(Kind::Relay);
        }
        sent.context(SendSnafu { address })?;
        let len = wire_bytes(bytes.len(), address);
        shared.meter.sent(Kind::Relay, len);
        Ok(())
    }
}

/// Handles relayed packets until the balancer stops.
pub(crate) fn run(shared: &Shared, relay: &Relay) {
    let mut guard = ReplayGuard::new(MAX_TRACKED_SENDERS);
    let mut buf = vec![0; limits::DATAGRAM_BYTES + 1];
    while !shared.is_stopping() {
        let Ok((len, from)) = relay.socket.recv_from(&mut buf) else {
            continue;
        };
        let Some(datagram) = shared.authenticate(&mut guard, &buf[..len], from) else {
            continue;
        };
        match datagram.body {
            Body::Flow(FlowMessage::Relay(header, packet)) => {
                (shared.handlers.relay)(datagram.from, header, packet);
            }
            Body::Forward(forward) if forward.socket == PeerSocket::Relay => {
                relay.forward_packet(shared, &forward);
            }
            _ => shared.meter.refused(RejectReason::Malformed),
        }
    }
}
