//! Serving bulk transfers.

use std::cell::{Cell, RefCell};
use std::net::TcpListener;
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
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use super::proof::{CLIENT, Nonce, Nonces, PLAN, SERVER, STATE, TABLE};
use super::{
    BODY_BYTES, PART_BYTES, REQUEST_WORDS, REQUESTS_BYTES, STATE_MESSAGES, TRANSFER_TIME, network,
};
use crate::control::Shared;
use crate::{Kind, RejectReason};

/// Connections that are served at once.
const CONNECTIONS: usize = 32;
/// Time for a connection to prove that it holds the key.
const PROOF_TIME: Duration = Duration::from_secs(2);
/// Time between two looks whether the balancer stops, and after a failed accept.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Serves bulk transfers until the balancer stops.
pub(crate) fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let built = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(rt) = built else {
        return;
    };
    rt.block_on(LocalSet::new().run_until(accept(shared, listener)));
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    // Each connection holds a clone.
    let open = Rc::new(());
    while !shared.is_stopping() {
        let stream = match timeout(STOP_CHECK, listener.accept()).await {
            Ok(Ok((stream, _))) => stream,
            Ok(Err(_)) => {
                sleep(STOP_CHECK).await;
                continue;
            }
            Err(_) => continue,
        };
        if Rc::strong_count(&open) > CONNECTIONS {
            shared.meter.refused(RejectReason::BulkBusy);
            continue;
        }
        let (shared, open) = (Arc::clone(&shared), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            connection(shared, stream).await;
            drop(open);
        });
    }
}

async fn connection(shared: Arc<Shared>, stream: TcpStream) {
    let entered = Rc::new(Cell::new(false));
    let gate = Gate {
        shared: Arc::clone(&shared),
        nonce: Cell::new(None),
        entered: Rc::clone(&entered),
    };
    let client: gate::Client = new_client(gate);
    let network = network(stream, Side::Server, REQUEST_WORDS, REQUESTS_BYTES);
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    // How a connection ends makes no difference to this side.
    let early = timeout(PROOF_TIME, &mut system).await;
    if !entered.get() {
        shared.meter.refused(RejectReason::BulkStranger);
    } else if early.is_err() {
        let _ = timeout(TRANSFER_TIME, system).await;
    }
}

/// What a connection may call before it proved that it holds the key.
struct Gate {
    shared: Arc<Shared>,
    nonce: Cell<Option<Nonce>>,
    entered: Rc<Cell<bool>>,
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
        if !nonces.proves(CLIENT, node, params.get_proof()?) {
            return Err(Error::failed("the proof does not match".to_owned()));
        }
        self.entered.set(true);
        let mut answer = results.get();
        answer.set_node(self.shared.node.0);
        answer.set_proof(&nonces.prove(SERVER, self.shared.node));
        answer.set_bulk(new_client(Transfers {
            shared: Arc::clone(&self.shared),
            peer: node,
            nonces,
            state: RefCell::default(),
        }));
        Ok(())
    }
}

/// What a balancer that holds the key may call.
struct Transfers {
    shared: Arc<Shared>,
    peer: NodeId,
    nonces: Nonces,
    /// The parts of the state that are still to be sent, the next one last.
    state: RefCell<Vec<Vec<Vec<u8>>>>,
}

impl Transfers {
    /// What is sent of an object: nothing unless it is newer, and not beyond the limit.
    fn newer(&self, found: Option<(u64, Vec<u8>)>, than: u64) -> (u64, Vec<u8>) {
        let newer = found.filter(|(version, body)| *version > than && body.len() <= BODY_BYTES);
        let (version, body) = newer.unwrap_or_default();
        self.shared.meter.sent(Kind::Bulk, body.len());
        (version, body)
    }

    fn look_at_state(&self) -> Result<(), Error> {
        let messages = (self.shared.handlers.state)(self.peer);
        if messages.len() > STATE_MESSAGES {
            // A part of the state would look like the whole to the other side.
            return Err(Error::overloaded(
                "the state is beyond the limit".to_owned(),
            ));
        }
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for (i, message) in messages.into_iter().enumerate() {
            let datagram = self.state_datagram(i, message);
            if bytes + datagram.len() > PART_BYTES {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += datagram.len();
            parts.last_mut().expect("there is one part").push(datagram);
        }
        parts.reverse();
        self.state.replace(parts);
        Ok(())
    }

    fn state_datagram(&self, i: usize, message: FlowMessage) -> Vec<u8> {
        let datagram = Datagram {
            from: self.shared.node,
            serial: i as u64 + 1,
            body: Body::Flow(message),
        };
        encode(&datagram, &self.shared.key)
    }
}

impl bulk::Server for Transfers {
    async fn table(
        self: Rc<Self>,
        params: bulk::TableParams,
        mut results: bulk::TableResults,
    ) -> Result<(), Error> {
        let than = params.get()?.get_newer_than();
        let found = (self.shared.handlers.table)();
        let (version, body) = self.newer(found.map(|(v, body)| (v.0, body)), than);
        let tag = self.nonces.tag(TABLE, &[&version.to_le_bytes(), &body]);
        let mut answer = results.get();
        answer.set_version(version);
        answer.set_body(&body);
        answer.set_tag(&tag);
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
        let (version, body) = self.newer(found, params.get_newer_than());
        let parts = [&service.to_le_bytes(), &version.to_le_bytes()[..], &body];
        let tag = self.nonces.tag(PLAN, &parts);
        let mut answer = results.get();
        answer.set_version(version);
        answer.set_body(&body);
        answer.set_tag(&tag);
        Ok(())
    }

    async fn state(
        self: Rc<Self>,
        params: bulk::StateParams,
        mut results: bulk::StateResults,
    ) -> Result<(), Error> {
        let part = params.get()?.get_part();
        if part == 0 {
            self.look_at_state()?;
        }
        let datagrams = self.state.borrow_mut().pop().unwrap_or_default();
        let last = self.state.borrow().is_empty();
        let number = part.to_le_bytes();
        let flag = [u8::from(last)];
        let mut parts: Vec<&[u8]> = vec![&number, &flag];
        parts.extend(datagrams.iter().map(Vec::as_slice));
        let tag = self.nonces.tag(STATE, &parts);
        let mut answer = results.get();
        answer.set_last(last);
        answer.set_tag(&tag);
        let mut list = answer.init_datagrams(datagrams.len() as u32);
        for (i, datagram) in datagrams.iter().enumerate() {
            list.set(i as u32, datagram);
            self.shared.meter.sent(Kind::Bulk, datagram.len());
        }
        Ok(())
    }
}
