//! [`PeerNet`], the public interface to other balancers.

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

/// Kernel receive buffer of the relay socket, in bytes.
const RELAY_RECEIVE_BUFFER_BYTES: usize = 1 << 20;
/// Time to keep the threads running after a leave, to announce it and to answer
/// probes meanwhile.
const LEAVE_GRACE: Duration = Duration::from_millis(400);

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
    /// Opens the sockets at `me.address` and starts their threads. For a port of
    /// 0 the operating system chooses a free one.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened or a thread cannot be started.
    pub fn start(cfg: Settings, me: Identity, key: Key, handlers: Handlers) -> Result<Self> {
        let clock = Arc::new(SystemClock::new());
        Self::start_with_clock(cfg, me, key, handlers, clock)
    }

    /// Like [`PeerNet::start`], with the given clock.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened or a thread cannot be started.
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
        // Best effort: a smaller buffer only drops more packets in bursts.
        let _ = socket2::SockRef::from(&relay).set_recv_buffer_size(RELAY_RECEIVE_BUFFER_BYTES);
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
        let server = bulk::Server::new(listener).context(SpawnThreadSnafu)?;
        self.spawn("peers-bulk", move || server.serve(shared))
    }

    fn spawn(&self, name: &str, f: impl FnOnce() + Send + 'static) -> Result<()> {
        let thread = Builder::new().name(name.to_owned()).spawn(f);
        lock(&self.threads).push(thread.context(SpawnThreadSnafu)?);
        Ok(())
    }

    /// Address and ports at which other balancers reach this one.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Node identifier of this balancer.
    pub fn node(&self) -> NodeId {
        self.shared.node
    }

    /// Snapshot of the other members.
    pub fn members(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// Queues a message to a member; it is sent when the rate limit allows.
    ///
    /// # Errors
    ///
    /// `to` is not a member.
    pub fn send(&self, to: NodeId, body: Body) -> Result<()> {
        let route = self.route(to)?;
        self.shared.send_paced(to, route, body);
        Ok(())
    }

    /// Relays a packet to a member immediately, without rate limit.
    ///
    /// # Errors
    ///
    /// `to` is not a member, the packet is too long, or the operating system rejects it.
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

    /// Announces to the members immediately that this balancer has prepared a plan.
    pub fn set_prepared(&self, service: ServiceId, version: PlanVersion) {
        self.shared.update_membership(|m, now| {
            m.set_prepared(service, version);
            m.tick(now)
        });
    }

    /// Announces the table version of this balancer to the members immediately.
    pub fn set_table(&self, version: TableVersion) {
        self.shared.update_membership(|m, now| {
            m.set_table(version);
            m.tick(now)
        });
    }

    /// Announces to the members immediately whether this balancer can own flows.
    pub fn set_ready(&self, ready: bool) {
        self.shared.update_membership(|m, now| {
            m.set_ready(ready);
            m.tick(now)
        });
    }

    /// Sets the control addresses of the seed balancers.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.shared.update_membership(|m, _| {
            m.set_seeds(seeds);
            Vec::new()
        });
    }

    /// Whether this balancer is one of the `count` members of its failure domain that
    /// watch the platform.
    pub fn is_watcher(&self, count: usize) -> bool {
        self.shared.with_membership(|m| m.is_watcher(count))
    }

    /// Traffic counters since the start.
    pub fn stats(&self) -> Stats {
        self.shared.meter.stats()
    }

    /// Fetches a member's table if it is newer than `current`. Blocks for up to ten seconds.
    ///
    /// # Errors
    ///
    /// `from` is not a member, does not respond, or sends an invalid response.
    pub fn fetch_table(
        &self,
        from: NodeId,
        current: TableVersion,
    ) -> Result<Option<(TableVersion, Vec<u8>)>> {
        let request = async |session: Session| session.fetch_table(current.0).await;
        let body = bulk::fetch(&self.shared, from, self.peer_address(from)?, request)?;
        Ok(body.map(|(version, body)| (TableVersion(version), body)))
    }

    /// Fetches a member's newest plan of a service if it is newer than `current`.
    /// Blocks for up to ten seconds.
    ///
    /// # Errors
    ///
    /// `from` is not a member, does not respond, or sends an invalid response.
    pub fn fetch_plan(
        &self,
        from: NodeId,
        service: ServiceId,
        current: PlanVersion,
    ) -> Result<Option<(PlanVersion, Vec<u8>)>> {
        let request = async |session: Session| session.fetch_plan(service.0, current.0).await;
        let body = bulk::fetch(&self.shared, from, self.peer_address(from)?, request)?;
        Ok(body.map(|(version, body)| (PlanVersion(version), body)))
    }

    /// Fetches the flow state that a member provides to a joining balancer. Blocks for
    /// up to ten seconds.
    ///
    /// # Errors
    ///
    /// `from` is not a member, does not respond, or sends an invalid response.
    pub fn fetch_state(&self, from: NodeId) -> Result<Vec<FlowMessage>> {
        let address = self.peer_address(from)?;
        bulk::fetch(&self.shared, from, address, Session::fetch_state)
    }

    /// Announces that this balancer leaves, and blocks for 400 ms while that is sent.
    pub fn leave(&self) {
        self.shared.update_membership(|m, now| m.leave(now));
        std::thread::sleep(LEAVE_GRACE);
    }

    /// Stops the threads and joins them. Without a preceding [`PeerNet::leave`],
    /// the other members detect this as a failure.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        let threads: Vec<_> = lock(&self.threads).drain(..).collect();
        for thread in threads {
            // The panic hook has already printed the panic of a thread.
            let _ = thread.join();
        }
    }
}

impl Drop for PeerNet {
    fn drop(&mut self) {
        self.stop();
    }
}

fn bind(
    what: &'static str,
    address: SocketAddr,
    read_timeout: Duration,
) -> Result<(UdpSocket, u16)> {
    let open = || {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(read_timeout))?;
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
