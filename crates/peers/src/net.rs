//! The interface to other balancers.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use sequoiatrail_membership::{Identity, Membership};
use sequoiatrail_types::{Clock, NodeId, PlanVersion, ServiceId, SystemClock, TableVersion};
use sequoiatrail_wire::Key;
use sequoiatrail_wire::message::{Body, FlowMessage, PeerAddress, RelayHeader};
use snafu::{OptionExt, ResultExt};

use crate::bulk::{self, Session};
use crate::control::{self, Shared, lock};
use crate::error::{OpenSocketSnafu, SpawnThreadSnafu, UnknownMemberSnafu};
use crate::relay::{self, Relay};
use crate::view::Route;
use crate::{Handlers, Result, Settings, Stats, TokenBucket, View};

/// Bytes that the operating system holds for the relay socket.
const RELAY_BUFFER_BYTES: usize = 1 << 20;
/// Time in which a leave is announced and still answered.
const LEAVE_TIME: Duration = Duration::from_millis(400);

/// This balancer's connections to the others.
///
/// All functions may be called from any thread.
pub struct PeerNet {
    shared: Arc<Shared>,
    relay: Arc<Relay>,
    address: PeerAddress,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl PeerNet {
    /// Opens the sockets at `me.address` and starts their threads. A port of 0
    /// is replaced by one that the operating system chooses.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened or a thread not started.
    pub fn start(cfg: Settings, me: Identity, key: Key, handlers: Handlers) -> Result<Self> {
        let clock = Arc::new(SystemClock::new());
        Self::start_with_clock(cfg, me, key, handlers, clock)
    }

    /// Like [`PeerNet::start`], with a clock of the caller's.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened or a thread not started.
    pub fn start_with_clock(
        cfg: Settings,
        mut me: Identity,
        key: Key,
        handlers: Handlers,
        clock: Arc<dyn Clock>,
    ) -> Result<Self> {
        let (control, control_port) =
            bind("control", me.address.control(), control::RECEIVE_TIMEOUT)?;
        let (relay, relay_port) = bind("relay", me.address.relay(), relay::RECEIVE_TIMEOUT)?;
        let bulk = bind_bulk(me.address.bulk())?;
        // A smaller buffer than asked for only drops more packets under a burst.
        let _ = socket2::SockRef::from(&relay).set_recv_buffer_size(RELAY_BUFFER_BYTES);
        me.address.control_port = control_port;
        me.address.relay_port = relay_port;
        me.address.bulk_port = bulk.1;
        let mut membership = Membership::new(cfg.membership, me, rand::random());
        membership.set_seeds(cfg.seeds);
        let budget = TokenBucket::new(cfg.bytes_per_second, cfg.burst_bytes);
        let shared = Shared::new(control, membership, budget, key, clock, handlers);
        let net = Self {
            shared: Arc::new(shared),
            relay: Arc::new(Relay {
                socket: relay,
                serial: AtomicU64::new(1),
            }),
            address: me.address,
            threads: Mutex::default(),
        };
        net.start_threads(bulk.0)?;
        Ok(net)
    }

    fn start_threads(&self, listener: TcpListener) -> Result<()> {
        let shared = Arc::clone(&self.shared);
        self.spawn("peers-control", move || control::run(&shared))?;
        let (shared, relay) = (Arc::clone(&self.shared), Arc::clone(&self.relay));
        self.spawn("peers-relay", move || relay::run(&shared, &relay))?;
        let shared = Arc::clone(&self.shared);
        self.spawn("peers-bulk", move || bulk::serve(shared, listener))
    }

    fn spawn(&self, name: &str, f: impl FnOnce() + Send + 'static) -> Result<()> {
        let thread = Builder::new().name(name.to_owned()).spawn(f);
        lock(&self.threads).push(thread.context(SpawnThreadSnafu)?);
        Ok(())
    }

    /// Where other balancers reach this one.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// This balancer.
    pub fn node(&self) -> NodeId {
        self.shared.node
    }

    /// The other members.
    pub fn members(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// Sends a message to a member when the budget allows it.
    ///
    /// # Errors
    ///
    /// `to` is no member.
    pub fn send(&self, to: NodeId, body: Body) -> Result<()> {
        let route = self.route(to)?;
        self.shared.send_paced(to, route, body);
        Ok(())
    }

    /// Relays a packet to a member at once, outside the budget.
    ///
    /// # Errors
    ///
    /// `to` is no member, the packet is too long, or the operating system refuses it.
    pub fn relay(&self, to: NodeId, header: RelayHeader, packet: &[u8]) -> Result<()> {
        let route = self.route(to)?;
        self.relay.send(&self.shared, to, route, header, packet)
    }

    fn route(&self, node: NodeId) -> Result<Route> {
        let view = self.shared.view.load();
        view.route(node).context(UnknownMemberSnafu { node })
    }

    fn peer_address(&self, node: NodeId) -> Result<PeerAddress> {
        let view = self.shared.view.load();
        let peer = view.peer(node).context(UnknownMemberSnafu { node })?;
        Ok(peer.address)
    }

    /// Tells the members at once that this balancer has prepared a plan.
    pub fn set_prepared(&self, service: ServiceId, version: PlanVersion) {
        self.shared.drive(|m, now| {
            m.set_prepared(service, version);
            m.tick(now)
        });
    }

    /// Tells the members at once which table this balancer has.
    pub fn set_table(&self, version: TableVersion) {
        self.shared.drive(|m, now| {
            m.set_table(version);
            m.tick(now)
        });
    }

    /// Tells the members at once whether this balancer can own flows.
    pub fn set_ready(&self, ready: bool) {
        self.shared.drive(|m, now| {
            m.set_ready(ready);
            m.tick(now)
        });
    }

    /// Sets the control addresses where other balancers may be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared.drive(|m, _| {
            m.set_seeds(seeds);
            Vec::new()
        });
    }

    /// Whether this balancer is one of the `count` of its failure domain that watch the platform.
    pub fn is_watcher(&self, count: usize) -> bool {
        self.shared.read(|m| m.is_watcher(count))
    }

    /// What was sent and received since the start.
    pub fn stats(&self) -> Stats {
        self.shared.meter.stats()
    }

    /// Fetches a member's table if it is newer than `than`. Waits for up to ten seconds.
    ///
    /// # Errors
    ///
    /// `from` is no member, does not answer, or answers what it should not.
    pub fn fetch_table(
        &self,
        from: NodeId,
        than: TableVersion,
    ) -> Result<Option<(TableVersion, Vec<u8>)>> {
        let ask = async |session: Session| session.table(than.0).await;
        let body = bulk::fetch(&self.shared, from, self.peer_address(from)?, ask)?;
        Ok(body.map(|(version, body)| (TableVersion(version), body)))
    }

    /// Fetches a member's newest plan of a service if it is newer than `than`.
    /// Waits for up to ten seconds.
    ///
    /// # Errors
    ///
    /// `from` is no member, does not answer, or answers what it should not.
    pub fn fetch_plan(
        &self,
        from: NodeId,
        service: ServiceId,
        than: PlanVersion,
    ) -> Result<Option<(PlanVersion, Vec<u8>)>> {
        let ask = async |session: Session| session.plan(service.0, than.0).await;
        let body = bulk::fetch(&self.shared, from, self.peer_address(from)?, ask)?;
        Ok(body.map(|(version, body)| (PlanVersion(version), body)))
    }

    /// Fetches what a member tells a joining balancer of flows. Waits for up to ten seconds.
    ///
    /// # Errors
    ///
    /// `from` is no member, does not answer, or answers what it should not.
    pub fn fetch_state(&self, from: NodeId) -> Result<Vec<FlowMessage>> {
        let address = self.peer_address(from)?;
        bulk::fetch(&self.shared, from, address, Session::state)
    }

    /// Announces that this balancer leaves, and waits until that was sent.
    pub fn leave(&self) {
        self.shared.drive(|m, now| m.leave(now));
        std::thread::sleep(LEAVE_TIME);
    }

    /// Stops the threads and waits for them. Without [`PeerNet::leave`] before
    /// it, the others see a death.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        let threads: Vec<_> = lock(&self.threads).drain(..).collect();
        for thread in threads {
            // A thread that panicked has printed why.
            let _ = thread.join();
        }
    }
}

impl Drop for PeerNet {
    fn drop(&mut self) {
        self.stop();
    }
}

fn bind(what: &'static str, address: SocketAddr, wait: Duration) -> Result<(UdpSocket, u16)> {
    let open = || {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(wait))?;
        let port = socket.local_addr()?.port();
        Ok((socket, port))
    };
    open().context(OpenSocketSnafu { what, address })
}

fn bind_bulk(address: SocketAddr) -> Result<(TcpListener, u16)> {
    let open = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let port = listener.local_addr()?.port();
        Ok((listener, port))
    };
    let what = "bulk";
    open().context(OpenSocketSnafu { what, address })
}
