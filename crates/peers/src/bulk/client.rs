//! Asking for bulk transfers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::bulk_capnp::{bulk, gate};
use sequoiatrail_wire::decode;
use sequoiatrail_wire::message::{Body, FlowMessage, PeerAddress};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::proof::{CLIENT, Nonce, Nonces, PLAN, SERVER, STATE, TABLE};
use super::{
    ANSWER_WORDS, ANSWERS_BYTES, BODY_BYTES, CONNECT_TIME, STATE_MESSAGES, TRANSFER_TIME, network,
};
use crate::control::Shared;
use crate::error::{
    ConnectSnafu, InvalidProofSnafu, InvalidResponseSnafu, SpawnThreadSnafu, TimeoutSnafu,
};
use crate::{Kind, Result};

/// Connects to a balancer's bulk address, lets `ask` use the connection, and waits.
pub(crate) fn fetch<T>(
    shared: &Arc<Shared>,
    node: NodeId,
    address: PeerAddress,
    ask: impl AsyncFnOnce(Session) -> Result<T>,
) -> Result<T> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SpawnThreadSnafu)?;
    let address = address.bulk();
    let transfer = async {
        let session = connect(shared, node, address).await?;
        ask(session).await
    };
    let whole = LocalSet::new();
    rt.block_on(whole.run_until(within(TRANSFER_TIME, address, transfer)))
}

async fn within<T>(
    time: Duration,
    address: SocketAddr,
    f: impl Future<Output = Result<T>>,
) -> Result<T> {
    match timeout(time, f).await {
        Ok(done) => done,
        Err(_) => TimeoutSnafu { address }.fail(),
    }
}

async fn connect(shared: &Arc<Shared>, node: NodeId, address: SocketAddr) -> Result<Session> {
    let opened = async {
        TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })
    };
    let stream = within(CONNECT_TIME, address, opened).await?;
    let network = network(stream, Side::Client, ANSWER_WORDS, ANSWERS_BYTES);
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(system);
    enter(shared, node, &gate).await
}

/// Proves both sides to each other.
async fn enter(shared: &Arc<Shared>, node: NodeId, gate: &gate::Client) -> Result<Session> {
    let challenge = gate.challenge_request().send().promise.await?;
    let server = Nonce::try_from(challenge.get()?.get_nonce()?).ok();
    let nonces = Nonces {
        key: shared.key.clone(),
        server: server.context(InvalidResponseSnafu { what: "nonce" })?,
        client: rand::random(),
    };
    let mut req = gate.enter_request();
    req.get().set_node(shared.node.0);
    req.get().set_nonce(&nonces.client);
    req.get().set_proof(&nonces.prove(CLIENT, shared.node));
    let entered = req.send().promise.await?;
    let entered = entered.get()?;
    let proven = nonces.proves(SERVER, node, entered.get_proof()?);
    ensure!(proven && entered.get_node() == node.0, InvalidProofSnafu);
    Ok(Session {
        shared: Arc::clone(shared),
        node,
        nonces,
        bulk: entered.get_bulk()?,
    })
}

/// A connection on which both sides proved that they hold the key.
pub(crate) struct Session {
    shared: Arc<Shared>,
    node: NodeId,
    nonces: Nonces,
    bulk: bulk::Client,
}

impl Session {
    /// The other's table if it is newer than `than`.
    pub(crate) async fn table(self, than: u64) -> Result<Option<(u64, Vec<u8>)>> {
        let mut req = self.bulk.table_request();
        req.get().set_newer_than(than);
        let answer = req.send().promise.await?;
        let answer = answer.get()?;
        let (version, body) = (answer.get_version(), answer.get_body()?);
        let parts = [&version.to_le_bytes()[..], body];
        let tagged = self.nonces.verify(TABLE, &parts, answer.get_tag()?);
        ensure!(tagged, InvalidProofSnafu);
        self.newer(version, body, than)
    }

    /// The other's newest plan of a service if it is newer than `than`.
    pub(crate) async fn plan(self, service: u32, than: u64) -> Result<Option<(u64, Vec<u8>)>> {
        let mut req = self.bulk.plan_request();
        req.get().set_service(service);
        req.get().set_newer_than(than);
        let answer = req.send().promise.await?;
        let answer = answer.get()?;
        let (version, body) = (answer.get_version(), answer.get_body()?);
        let parts = [&service.to_le_bytes(), &version.to_le_bytes()[..], body];
        let tagged = self.nonces.verify(PLAN, &parts, answer.get_tag()?);
        ensure!(tagged, InvalidProofSnafu);
        self.newer(version, body, than)
    }

    fn newer(&self, version: u64, body: &[u8], than: u64) -> Result<Option<(u64, Vec<u8>)>> {
        self.shared.meter.received(Kind::Bulk, body.len());
        if version == 0 {
            return Ok(None);
        }
        ensure!(version > than, InvalidResponseSnafu { what: "version" });
        ensure!(
            body.len() <= BODY_BYTES,
            InvalidResponseSnafu { what: "length" }
        );
        Ok(Some((version, body.to_vec())))
    }

    /// What the other tells a joining balancer of flows.
    pub(crate) async fn state(self) -> Result<Vec<FlowMessage>> {
        let mut messages = Vec::new();
        for part in 0.. {
            let last = self.state_part(part, &mut messages).await?;
            let short = messages.len() <= STATE_MESSAGES && part < STATE_MESSAGES as u32;
            ensure!(short, InvalidResponseSnafu { what: "length" });
            if last {
                break;
            }
        }
        Ok(messages)
    }

    async fn state_part(&self, part: u32, messages: &mut Vec<FlowMessage>) -> Result<bool> {
        let mut req = self.bulk.state_request();
        req.get().set_part(part);
        let answer = req.send().promise.await?;
        let answer = answer.get()?;
        let datagrams = answer.get_datagrams()?.iter();
        let datagrams: Vec<&[u8]> = datagrams.collect::<Result<_, capnp::Error>>()?;
        let (number, flag) = (part.to_le_bytes(), [u8::from(answer.get_last())]);
        let mut parts: Vec<&[u8]> = vec![&number, &flag];
        parts.extend(&datagrams);
        let tagged = self.nonces.verify(STATE, &parts, answer.get_tag()?);
        ensure!(tagged, InvalidProofSnafu);
        for datagram in datagrams {
            self.shared.meter.received(Kind::Bulk, datagram.len());
            messages.push(self.flow_message(datagram)?);
        }
        Ok(answer.get_last())
    }

    fn flow_message(&self, bytes: &[u8]) -> Result<FlowMessage> {
        let what = "message";
        let datagram = decode(bytes, &self.shared.key).ok();
        let datagram = datagram.filter(|d| d.from == self.node);
        match datagram.context(InvalidResponseSnafu { what })?.body {
            Body::Flow(FlowMessage::Relay(..))
            | Body::Membership(_)
            | Body::Target(_)
            | Body::Forward(_) => InvalidResponseSnafu { what }.fail(),
            Body::Flow(message) => Ok(message),
        }
    }
}
