//! Server side of bulk transfers.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client};
use sequoiatrail_types::{NodeId, ServiceId};
use sequoiatrail_wire::bulk_capnp::{bulk, gate};
use sequoiatrail_wire::encode;
use sequoiatrail_wire::message::{Body, Datagram, FlowMessage};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use super::proof::{CLIENT, Nonce, Nonces, PLAN, SERVER, STATE, TABLE};
use super::{
    MAX_BODY_BYTES, MAX_REQUEST_BYTES, MAX_REQUEST_WORDS, MAX_STATE_MESSAGES, MAX_STATE_PART_BYTES,
    TRANSFER_TIMEOUT, rpc_network,
};
use crate::control::Shared;
use crate::{Kind, RejectReason};

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 32;
/// Time within which a client has to prove that it holds the key.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks whether the balancer stops; also the delay after a
/// failed accept.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A server that is ready to accept connections.
pub(crate) struct Server {
    rt: Runtime,
    listener: TcpListener,
}

impl Server {
    /// Sets up a server for connections to `listener`.
    ///
    /// # Errors
    ///
    /// If the runtime can't be built or the listener can't be polled.
    pub fn new(listener: std::net::TcpListener) -> io::Result<Server> {
        let rt = Builder::new_current_thread().enable_all().build()?;
        let listener = {
            let _entered = rt.enter();
            TcpListener::from_std(listener)?
        };
        Ok(Server { rt, listener })
    }

    /// Serves bulk transfers until the balancer stops.
    pub fn serve(self, shared: Arc<Shared>) {
        let accepting = accept(shared, self.listener);
        self.rt.block_on(LocalSet::new().run_until(accepting));
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    // Each connection holds a clone, so the reference count is one more than the
    // number of active connections.
    let active = Rc::new(());
    while !shared.is_stopping() {
        let stream = match timeout(STOP_POLL_INTERVAL, listener.accept()).await {
            Ok(Ok((stream, _))) => stream,
            Ok(Err(_)) => {
                sleep(STOP_POLL_INTERVAL).await;
                continue;
            }
            Err(_) => continue,
        };
        if Rc::strong_count(&active) > MAX_CONNECTIONS {
            shared.meter.refused(RejectReason::BulkBusy);
            continue;
        }
        let (shared, active) = (Arc::clone(&shared), Rc::clone(&active));
        tokio::task::spawn_local(async move {
            serve_connection(shared, stream).await;
            drop(active);
        });
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    let authenticated = Rc::new(Cell::new(false));
    let gate = Gate {
        shared: Arc::clone(&shared),
        nonce: Cell::new(None),
        authenticated: Rc::clone(&authenticated),
    };
    let client: gate::Client = new_client(gate);
    let rpc_network = rpc_network(stream, Side::Server, MAX_REQUEST_WORDS, MAX_REQUEST_BYTES);
    let mut system = RpcSystem::new(Box::new(rpc_network), Some(client.client));
    // The result is ignored: it does not matter here how a connection ends.
    let handshake = timeout(AUTHENTICATION_TIMEOUT, &mut system).await;
    if !authenticated.get() {
        shared.meter.refused(RejectReason::BulkStranger);
    } else if handshake.is_err() {
        let _ = timeout(TRANSFER_TIMEOUT, system).await;
    }
}

/// RPC interface offered before authentication.
struct Gate {
    shared: Arc<Shared>,
    nonce: Cell<Option<Nonce>>,
    authenticated: Rc<Cell<bool>>,
}

impl gate::Server for Gate {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        let nonce: Nonce = rand::random();
        self.nonce.set(Some(nonce));
        results.get().set_nonce(&nonce);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let node = NodeId(params.get_node());
        let challenge = self.nonce.take();
        let client = Nonce::try_from(params.get_nonce()?).ok();
        let (Some(server), Some(client)) = (challenge, client) else {
            return Err(Error::failed("no challenge or nonce".to_owned()));
        };
        let key = self.shared.key.clone();
        let nonces = Nonces {
            key,
            server,
            client,
        };
        if !nonces.verify_proof(CLIENT, node, params.get_proof()?) {
            return Err(Error::failed("the proof does not match".to_owned()));
        }
        self.authenticated.set(true);
        let mut response = results.get();
        response.set_node(self.shared.node.0);
        response.set_proof(&nonces.prove(SERVER, self.shared.node));
        response.set_bulk(new_client(BulkService {
            shared: Arc::clone(&self.shared),
            peer: node,
            nonces,
            pending_parts: RefCell::default(),
        }));
        Ok(())
    }
}

/// RPC interface offered to an authenticated balancer.
struct BulkService {
    shared: Arc<Shared>,
    peer: NodeId,
    nonces: Nonces,
    /// Parts of the state that are still to be sent, in reverse order.
    pending_parts: RefCell<Vec<Vec<Vec<u8>>>>,
}

impl BulkService {
    /// Returns the object to send: version 0 and an empty body unless it is newer
    /// than `current` and within the size limit.
    fn select_newer(&self, found: Option<(u64, Vec<u8>)>, current: u64) -> (u64, Vec<u8>) {
        let newer =
            found.filter(|(version, body)| *version > current && body.len() <= MAX_BODY_BYTES);
        let (version, body) = newer.unwrap_or_default();
        self.shared.meter.sent(Kind::Bulk, body.len());
        (version, body)
    }

    /// Collects the state for the peer and splits it into parts.
    fn snapshot_state(&self) -> Result<(), Error> {
        let messages = (self.shared.handlers.state)(self.peer);
        if messages.len() > MAX_STATE_MESSAGES {
            // The client could not tell a truncated state from a complete one.
            return Err(Error::overloaded(
                "the state is beyond the limit".to_owned(),
            ));
        }
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for (i, message) in messages.into_iter().enumerate() {
            let datagram = self.encode_state_message(i, message);
            if bytes + datagram.len() > MAX_STATE_PART_BYTES {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += datagram.len();
            parts.last_mut().expect("there is one part").push(datagram);
        }
        parts.reverse();
        self.pending_parts.replace(parts);
        Ok(())
    }

    fn encode_state_message(&self, i: usize, message: FlowMessage) -> Vec<u8> {
        let datagram = Datagram {
            from: self.shared.node,
            serial: i as u64 + 1,
            body: Body::Flow(message),
        };
        encode(&datagram, &self.shared.key)
    }
}

impl bulk::Server for BulkService {
    async fn table(
        self: Rc<Self>,
        params: bulk::TableParams,
        mut results: bulk::TableResults,
    ) -> Result<(), Error> {
        let current = params.get()?.get_newer_than();
        let found = (self.shared.handlers.table)();
        let (version, body) = self.select_newer(found.map(|(v, body)| (v.0, body)), current);
        let tag = self.nonces.tag(TABLE, &[&version.to_le_bytes(), &body]);
        let mut response = results.get();
        response.set_version(version);
        response.set_body(&body);
        response.set_tag(&tag);
        Ok(())
    }

    async fn plan(
        self: Rc<Self>,
        params: bulk::PlanParams,
        mut results: bulk::PlanResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let service = params.get_service();
        let found = (self.shared.handlers.plan)(ServiceId(service));
        let found = found.map(|(v, body)| (v.0, body));
        let (version, body) = self.select_newer(found, params.get_newer_than());
        let parts = [&service.to_le_bytes(), &version.to_le_bytes()[..], &body];
        let tag = self.nonces.tag(PLAN, &parts);
        let mut response = results.get();
        response.set_version(version);
        response.set_body(&body);
        response.set_tag(&tag);
        Ok(())
    }

    async fn state(
        self: Rc<Self>,
        params: bulk::StateParams,
        mut results: bulk::StateResults,
    ) -> Result<(), Error> {
        let part = params.get()?.get_part();
        if part == 0 {
            self.snapshot_state()?;
        }
        let datagrams = self.pending_parts.borrow_mut().pop().unwrap_or_default();
        let last = self.pending_parts.borrow().is_empty();
        let part_bytes = part.to_le_bytes();
        let last_byte = [u8::from(last)];
        let mut parts: Vec<&[u8]> = vec![&part_bytes, &last_byte];
        parts.extend(datagrams.iter().map(Vec::as_slice));
        let tag = self.nonces.tag(STATE, &parts);
        let mut response = results.get();
        response.set_last(last);
        response.set_tag(&tag);
        let mut list = response.init_datagrams(datagrams.len() as u32);
        for (i, datagram) in datagrams.iter().enumerate() {
            list.set(i as u32, datagram);
            self.shared.meter.sent(Kind::Bulk, datagram.len());
        }
        Ok(())
    }
}
