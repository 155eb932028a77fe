//! The control socket: failure detection and rate-limited messages.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use sequoiatrail_membership::{Event, Membership, Output};
use sequoiatrail_types::{Clock, NodeId};
use sequoiatrail_wire::message::{Body, Datagram, FlowMessage, Forward, PeerAddress, PeerSocket};
use sequoiatrail_wire::{Error as WireError, Key, ReplayGuard, decode, encode, limits};

use crate::meter::{Meter, wire_bytes};
use crate::queue::{Payload, SendQueue};
use crate::view::Route;
use crate::{Handlers, Kind, RejectReason, TokenBucket, View};

/// Interval between timer ticks of the failure detector.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Receive timeout of the control socket; bounds the extra delay of queued messages
/// after the rate limit allows them.
pub(crate) const RECEIVE_TIMEOUT: Duration = Duration::from_millis(25);
/// Senders whose serial numbers are tracked for replay protection.
pub(crate) const MAX_TRACKED_SENDERS: usize = 4_096;

#[derive(Debug)]
struct Outbox {
    budget: TokenBucket,
    queue: SendQueue,
}

/// State shared by the socket threads and the users of [`crate::PeerNet`].
pub(crate) struct Shared {
    pub(crate) node: NodeId,
    pub(crate) key: Key,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) handlers: Handlers,
    pub(crate) meter: Meter,
    pub(crate) view: ArcSwap<View>,
    pub(crate) stopping: AtomicBool,
    socket: UdpSocket,
    serial: AtomicU64,
    membership: Mutex<Membership>,
    outbox: Mutex<Outbox>,
}

impl Shared {
    pub(crate) fn new(
        socket: UdpSocket,
        membership: Membership,
        budget: TokenBucket,
        key: Key,
        clock: Arc<dyn Clock>,
        handlers: Handlers,
    ) -> Self {
        let queue = SendQueue::default();
        Self {
            node: membership.local_id(),
            key,
            clock,
            handlers,
            meter: Meter::default(),
            view: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            socket,
            serial: AtomicU64::new(1),
            membership: Mutex::new(membership),
            outbox: Mutex::new(Outbox { budget, queue }),
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Reads the failure detector under its lock.
    pub(crate) fn with_membership<T>(&self, f: impl FnOnce(&Membership) -> T) -> T {
        f(&lock(&self.membership))
    }

    /// Applies `f` to the failure detector, then sends its messages, updates the
    /// view and delivers its events.
    pub(crate) fn update_membership(
        &self,
        f: impl FnOnce(&mut Membership, Duration) -> Vec<Output>,
    ) {
        let now = self.clock.now();
        let mut events = Vec::new();
        let mut membership = lock(&self.membership);
        for output in f(&mut membership, now) {
            match output {
                Output::Send { to, message } => self.send_now(now, to, Body::Membership(message)),
                Output::Event(event) => events.push(event),
            }
        }
        if !events.is_empty() {
            // Stored under the lock, so that an older view never replaces a newer one.
            self.view
                .store(Arc::new(View::from_membership(&membership)));
        }
        drop(membership);
        self.deliver_events(events);
    }

    fn deliver_events(&self, events: Vec<Event>) {
        for event in events {
            (self.handlers.event)(event);
        }
    }

    /// Queues a message for a member and sends as much of the queue as the rate
    /// limit allows.
    pub(crate) fn send_paced(&self, node: NodeId, route: Route, body: Body) {
        let kind = Kind::of(&body);
        match route {
            Route::Direct(peer) => self.enqueue(kind, peer.control(), Payload::Message(body)),
            Route::Via(intermediary) => {
                let socket = PeerSocket::Control;
                let serial = self.serial.fetch_add(1, Ordering::Relaxed);
                let forwarded = self.wrap_for_forwarding(node, socket, serial, body);
                self.enqueue(kind, intermediary.control(), Payload::Message(forwarded));
            }
        }
    }

    /// Wraps a message for `to` in a datagram that an intermediary forwards.
    pub(crate) fn wrap_for_forwarding(
        &self,
        to: NodeId,
        socket: PeerSocket,
        serial: u64,
        body: Body,
    ) -> Body {
        let from = self.node;
        let datagram = encode(&Datagram { from, serial, body }, &self.key);
        Body::Forward(Forward {
            to,
            socket,
            datagram,
        })
    }

    /// Address to forward to as intermediary. Only a directly reached member
    /// qualifies, so that no datagram is forwarded twice.
    pub(crate) fn next_hop(&self, forward: &Forward) -> Option<PeerAddress> {
        match self.view.load().route(forward.to) {
            Some(Route::Direct(peer)) => Some(peer),
            _ => None,
        }
    }

    fn forward(&self, forward: Forward) {
        let Some(peer) = self.next_hop(&forward) else {
            self.meter.dropped(Kind::Forward);
            return;
        };
        let datagram = Payload::Datagram(forward.datagram);
        self.enqueue(Kind::Forward, peer.control(), datagram);
    }

    fn enqueue(&self, kind: Kind, to: SocketAddr, payload: Payload) {
        let now = self.clock.now();
        let dropped = lock(&self.outbox).queue.push(now, kind, to, payload);
        if dropped {
            self.meter.dropped(kind);
        }
        self.flush_queue(now);
    }

    fn send_now(&self, now: Duration, to: SocketAddr, body: Body) {
        let mut outbox = lock(&self.outbox);
        // Refills the bucket before the charge; the result does not matter here.
        outbox.budget.allows(now);
        let bytes = self.encode(body);
        self.transmit(&mut outbox, Kind::Membership, to, &bytes);
    }

    fn flush_queue(&self, now: Duration) {
        let mut outbox = lock(&self.outbox);
        while outbox.budget.allows(now) {
            let Some(next) = outbox.queue.pop(now) else {
                return;
            };
            let bytes = match next.payload {
                Payload::Message(body) => self.encode(body),
                Payload::Datagram(bytes) => bytes,
            };
            self.transmit(&mut outbox, next.kind, next.to, &bytes);
        }
    }

    fn encode(&self, body: Body) -> Vec<u8> {
        let datagram = Datagram {
            from: self.node,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
            body,
        };
        encode(&datagram, &self.key)
    }

    fn transmit(&self, outbox: &mut Outbox, kind: Kind, to: SocketAddr, bytes: &[u8]) {
        if bytes.len() > limits::DATAGRAM_BYTES || self.socket.send_to(bytes, to).is_err() {
            self.meter.dropped(kind);
            return;
        }
        let len = wire_bytes(bytes.len(), to);
        outbox.budget.charge(len);
        self.meter.sent(kind, len);
    }

    /// Decodes a received datagram, verifying its tag and serial number. Counts the
    /// reason if it is rejected.
    pub(crate) fn authenticate(
        &self,
        guard: &mut ReplayGuard,
        bytes: &[u8],
        from: SocketAddr,
    ) -> Option<Datagram> {
        let datagram = match decode(bytes, &self.key) {
            Ok(datagram) => datagram,
            Err(WireError::TagMismatch) => {
                self.meter.refused(RejectReason::Stranger);
                return None;
            }
            Err(_) => {
                self.meter.refused(RejectReason::Malformed);
                return None;
            }
        };
        if !guard.accept(datagram.from, datagram.serial) {
            self.meter.refused(RejectReason::Replayed);
            return None;
        }
        let len = wire_bytes(bytes.len(), from);
        self.meter.received(Kind::of(&datagram.body), len);
        Some(datagram)
    }
}

/// Handles control datagrams and runs the timers until the balancer stops.
pub(crate) fn run(shared: &Shared) {
    let mut guard = ReplayGuard::new(MAX_TRACKED_SENDERS);
    let mut buf = vec![0; limits::DATAGRAM_BYTES + 1];
    let mut tick_at = Duration::ZERO;
    while !shared.is_stopping() {
        if let Ok((len, from)) = shared.socket.recv_from(&mut buf)
            && let Some(datagram) = shared.authenticate(&mut guard, &buf[..len], from)
        {
            dispatch(shared, from, datagram);
        }
        let now = shared.clock.now();
        if now >= tick_at {
            tick_at = now + TICK_INTERVAL;
            shared.update_membership(Membership::tick);
        }
        shared.flush_queue(now);
    }
}

fn dispatch(shared: &Shared, address: SocketAddr, datagram: Datagram) {
    let from = datagram.from;
    match datagram.body {
        Body::Membership(message) => {
            shared.update_membership(|m, now| m.handle(now, from, address, &message));
        }
        Body::Forward(forward) if forward.socket == PeerSocket::Control => shared.forward(forward),
        Body::Flow(FlowMessage::Relay(..)) | Body::Forward(_) => {
            shared.meter.refused(RejectReason::Malformed);
        }
        Body::Flow(message) => (shared.handlers.flow)(from, message),
        Body::Target(message) => (shared.handlers.target)(from, message),
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
