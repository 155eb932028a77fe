//! Client side of bulk transfers.

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
    CONNECT_TIMEOUT, MAX_BODY_BYTES, MAX_RESPONSE_BYTES, MAX_RESPONSE_WORDS, MAX_STATE_MESSAGES,
    TRANSFER_TIMEOUT, rpc_network,
};
use crate::control::Shared;
use crate::error::{
    ConnectSnafu, InvalidProofSnafu, InvalidResponseSnafu, SpawnThreadSnafu, TimeoutSnafu,
};
use crate::{Kind, Result};

/// Connects to a balancer's bulk address and runs `request` on the connection.
/// Blocks until it completes or times out.
pub(crate) fn fetch<T>(
    shared: &Arc<Shared>,
    node: NodeId,
    address: PeerAddress,
    request: impl AsyncFnOnce(Session) -> Result<T>,
) -> Result<T> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SpawnThreadSnafu)?;
    let address = address.bulk();
    let transfer = async {
        let session = connect(shared, node, address).await?;
        request(session).await
    };
    let local = LocalSet::new();
    rt.block_on(local.run_until(with_timeout(TRANSFER_TIMEOUT, address, transfer)))
}

async fn with_timeout<T>(
    limit: Duration,
    address: SocketAddr,
    f: impl Future<Output = Result<T>>,
) -> Result<T> {
    match timeout(limit, f).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu { address }.fail(),
    }
}

async fn connect(shared: &Arc<Shared>, node: NodeId, address: SocketAddr) -> Result<Session> {
    let connecting = async {
        TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })
    };
    let stream = with_timeout(CONNECT_TIMEOUT, address, connecting).await?;
    let rpc_network = rpc_network(stream, Side::Client, MAX_RESPONSE_WORDS, MAX_RESPONSE_BYTES);
    let mut system = RpcSystem::new(Box::new(rpc_network), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(system);
    authenticate(shared, node, &gate).await
}

/// Authenticates both sides by proofs that they hold the shared key.
async fn authenticate(shared: &Arc<Shared>, node: NodeId, gate: &gate::Client) -> Result<Session> {
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
    let response = req.send().promise.await?;
    let response = response.get()?;
    let verified = nonces.verify_proof(SERVER, node, response.get_proof()?);
    ensure!(verified && response.get_node() == node.0, InvalidProofSnafu);
    Ok(Session {
        shared: Arc::clone(shared),
        node,
        nonces,
        bulk: response.get_bulk()?,
    })
}

/// A mutually authenticated connection.
pub(crate) struct Session {
    shared: Arc<Shared>,
    node: NodeId,
    nonces: Nonces,
    bulk: bulk::Client,
}

impl Session {
    /// Fetches the table if it is newer than `current`.
    pub(crate) async fn fetch_table(self, current: u64) -> Result<Option<(u64, Vec<u8>)>> {
        let mut req = self.bulk.table_request();
        req.get().set_newer_than(current);
        let response = req.send().promise.await?;
        let response = response.get()?;
        let (version, body) = (response.get_version(), response.get_body()?);
        let parts = [&version.to_le_bytes()[..], body];
        let verified = self.nonces.verify(TABLE, &parts, response.get_tag()?);
        ensure!(verified, InvalidProofSnafu);
        self.accept_body(version, body, current)
    }

    /// Fetches the newest plan of a service if it is newer than `current`.
    pub(crate) async fn fetch_plan(
        self,
        service: u32,
        current: u64,
    ) -> Result<Option<(u64, Vec<u8>)>> {
        let mut req = self.bulk.plan_request();
        req.get().set_service(service);
        req.get().set_newer_than(current);
        let response = req.send().promise.await?;
        let response = response.get()?;
        let (version, body) = (response.get_version(), response.get_body()?);
        let parts = [&service.to_le_bytes(), &version.to_le_bytes()[..], body];
        let verified = self.nonces.verify(PLAN, &parts, response.get_tag()?);
        ensure!(verified, InvalidProofSnafu);
        self.accept_body(version, body, current)
    }

    fn accept_body(
        &self,
        version: u64,
        body: &[u8],
        current: u64,
    ) -> Result<Option<(u64, Vec<u8>)>> {
        self.shared.meter.received(Kind::Bulk, body.len());
        if version == 0 {
            return Ok(None);
        }
        ensure!(version > current, InvalidResponseSnafu { what: "version" });
        ensure!(
            body.len() <= MAX_BODY_BYTES,
            InvalidResponseSnafu { what: "length" }
        );
        Ok(Some((version, body.to_vec())))
    }

    /// Fetches the flow state for a joining balancer.
    pub(crate) async fn fetch_state(self) -> Result<Vec<FlowMessage>> {
        let mut messages = Vec::new();
        for part in 0.. {
            let last = self.fetch_state_part(part, &mut messages).await?;
            let within_limit =
                messages.len() <= MAX_STATE_MESSAGES && part < MAX_STATE_MESSAGES as u32;
            ensure!(within_limit, InvalidResponseSnafu { what: "length" });
            if last {
                break;
            }
        }
        Ok(messages)
    }

    async fn fetch_state_part(&self, part: u32, messages: &mut Vec<FlowMessage>) -> Result<bool> {
        let mut req = self.bulk.state_request();
        req.get().set_part(part);
        let response = req.send().promise.await?;
        let response = response.get()?;
        let datagrams = response.get_datagrams()?.iter();
        let datagrams: Vec<&[u8]> = datagrams.collect::<Result<_, capnp::Error>>()?;
        let (part_bytes, last_byte) = (part.to_le_bytes(), [u8::from(response.get_last())]);
        let mut parts: Vec<&[u8]> = vec![&part_bytes, &last_byte];
        parts.extend(&datagrams);
        let verified = self.nonces.verify(STATE, &parts, response.get_tag()?);
        ensure!(verified, InvalidProofSnafu);
        for datagram in datagrams {
            self.shared.meter.received(Kind::Bulk, datagram.len());
            messages.push(self.decode_flow_message(datagram)?);
        }
        Ok(response.get_last())
    }

    fn decode_flow_message(&self, bytes: &[u8]) -> Result<FlowMessage> {
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
