//! The control socket: failure detection and paced messages.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use sequoiatrail_membership::{Event, Membership, Output};
use sequoiatrail_types::{Clock, NodeId};
use sequoiatrail_wire::message::{Body, Datagram, FlowMessage, Forward, PeerAddress, PeerSocket};
use sequoiatrail_wire::{Error as WireError, Key, ReplayGuard, decode, encode, limits};

use crate::meter::{Meter, on_the_wire};
use crate::queue::{Payload, Queue};
use crate::view::Route;
use crate::{Handlers, Kind, RejectReason, TokenBucket, View};

/// Time between two ticks of the failure detector.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait for a control datagram; paced messages wait that long at most once they may go.
pub(crate) const RECEIVE_TIMEOUT: Duration = Duration::from_millis(25);
/// Senders whose serial numbers are remembered.
pub(crate) const SENDERS: usize = 4_096;

#[derive(Debug)]
struct Outbox {
    budget: TokenBucket,
    queue: Queue,
}

/// What the threads and the callers of a balancer share.
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
        let queue = Queue::default();
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

    /// Looks at the failure detector.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&Membership) -> T) -> T {
        f(&lock(&self.membership))
    }

    /// Changes the failure detector, sends what it asks for and reports its events.
    pub(crate) fn drive(&self, f: impl FnOnce(&mut Membership, Duration) -> Vec<Output>) {
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
        self.report(events);
    }

    fn report(&self, events: Vec<Event>) {
        for event in events {
            (self.handlers.event)(event);
        }
    }

    /// Queues a message for a member and sends what the budget allows.
    pub(crate) fn send_paced(&self, node: NodeId, route: Route, body: Body) {
        let kind = Kind::of(&body);
        match route {
            Route::Direct(peer) => self.enqueue(kind, peer.control(), Payload::Message(body)),
            Route::Through(helper) => {
                let socket = PeerSocket::Control;
                let serial = self.serial.fetch_add(1, Ordering::Relaxed);
                let wrapped = self.wrap(node, socket, serial, body);
                self.enqueue(kind, helper.control(), Payload::Message(wrapped));
            }
        }
    }

    /// A message for `to`, to be passed on by another balancer.
    pub(crate) fn wrap(&self, to: NodeId, socket: PeerSocket, serial: u64, body: Body) -> Body {
        let from = self.node;
        let datagram = encode(&Datagram { from, serial, body }, &self.key);
        Body::Forward(Forward {
            to,
            socket,
            datagram,
        })
    }

    /// Where to pass on what another balancer could not bring itself: only to
    /// one that this balancer reaches, so nothing is passed on twice.
    pub(crate) fn next_hop(&self, forward: &Forward) -> Option<PeerAddress> {
        match self.view.load().route(forward.to) {
            Some(Route::Direct(peer)) => Some(peer),
            _ => None,
        }
    }

    fn pass_on(&self, forward: Forward) {
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
        self.pump(now);
    }

    fn send_now(&self, now: Duration, to: SocketAddr, body: Body) {
        let mut outbox = lock(&self.outbox);
        // Brings the level up to date before it is charged.
        outbox.budget.allows(now);
        let bytes = self.seal(body);
        self.transmit(&mut outbox, Kind::Membership, to, &bytes);
    }

    fn pump(&self, now: Duration) {
        let mut outbox = lock(&self.outbox);
        while outbox.budget.allows(now) {
            let Some(next) = outbox.queue.pop(now) else {
                return;
            };
            let bytes = match next.payload {
                Payload::Message(body) => self.seal(body),
                Payload::Datagram(bytes) => bytes,
            };
            self.transmit(&mut outbox, next.kind, next.to, &bytes);
        }
    }

    fn seal(&self, body: Body) -> Vec<u8> {
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
        let len = on_the_wire(bytes.len(), to);
        outbox.budget.charge(len);
        self.meter.sent(kind, len);
    }

    /// Decodes what arrived on a socket; counts it if it is refused.
    pub(crate) fn open(
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
        let len = on_the_wire(bytes.len(), from);
        self.meter.received(Kind::of(&datagram.body), len);
        Some(datagram)
    }
}

/// Receives control datagrams and drives the timers until the balancer stops.
pub(crate) fn run(shared: &Shared) {
    let mut guard = ReplayGuard::new(SENDERS);
    let mut buf = vec![0; limits::DATAGRAM_BYTES + 1];
    let mut tick_at = Duration::ZERO;
    while !shared.is_stopping() {
        if let Ok((len, from)) = shared.socket.recv_from(&mut buf)
            && let Some(datagram) = shared.open(&mut guard, &buf[..len], from)
        {
            dispatch(shared, from, datagram);
        }
        let now = shared.clock.now();
        if now >= tick_at {
            tick_at = now + TICK;
            shared.drive(Membership::tick);
        }
        shared.pump(now);
    }
}

fn dispatch(shared: &Shared, address: SocketAddr, datagram: Datagram) {
    let from = datagram.from;
    match datagram.body {
        Body::Membership(message) => {
            shared.drive(|m, now| m.handle(now, from, address, &message));
        }
        Body::Forward(forward) if forward.socket == PeerSocket::Control => shared.pass_on(forward),
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
