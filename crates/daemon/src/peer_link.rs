//! The sockets between balancers, as the daemon uses them.

use std::sync::mpsc::Sender;
use std::sync::{Arc, Weak};

use sequoiatrail_admin::{BalancerReport, BalancerState};
use sequoiatrail_core::{Core, Peer};
use sequoiatrail_membership::Identity;
use sequoiatrail_peers::{Handlers, PeerNet, Settings as NetSettings, View};
use sequoiatrail_settings::PeersSettings;
use sequoiatrail_types::{Clock, FailureDomain, NodeId};
use sequoiatrail_wire::Key;
use sequoiatrail_wire::message::PeerAddress;

use crate::Result;
use crate::board::Board;
use crate::control::Input;
use crate::error::ComponentSnafu;
use crate::forward::{DataPath, Forwarder};

/// Bytes of control traffic that may be sent at once, as seconds of the budget.
const BURST_SECONDS: u32 = 2;

/// What the sockets need of the daemon.
pub(crate) struct Wiring {
    pub node: NodeId,
    pub domain: FailureDomain,
    pub clock: Arc<dyn Clock>,
    pub core: Arc<Core>,
    pub board: Arc<Board>,
    pub inputs: Sender<Input>,
    /// Handles relayed packets.
    pub forwarder: Forwarder,
}

/// Opens the sockets; `None` for a balancer without a key, which has no others.
pub(crate) fn open(cfg: &PeersSettings, wiring: Wiring) -> Result<Option<Arc<PeerNet>>> {
    if cfg.key.is_empty() {
        return Ok(None);
    }
    match start(cfg, wiring) {
        Ok(net) => Ok(Some(Arc::new(net))),
        Err(reason) => {
            let component = "sockets between balancers";
            ComponentSnafu { component, reason }.fail()
        }
    }
}

fn start(cfg: &PeersSettings, wiring: Wiring) -> Result<PeerNet, String> {
    let key = Key::new(cfg.key.as_bytes()).map_err(|e| e.to_string())?;
    let me = Identity {
        node: wiring.node,
        domain: wiring.domain,
        address: PeerAddress {
            ip: cfg.address,
            control_port: cfg.control_port,
            relay_port: cfg.relay_port,
            bulk_port: cfg.bulk_port,
        },
    };
    let settings = NetSettings {
        bytes_per_second: cfg.control_bytes_per_s,
        burst_bytes: cfg.control_bytes_per_s.saturating_mul(BURST_SECONDS),
        seeds: cfg.seeds.clone(),
        ..NetSettings::default()
    };
    let clock = Arc::clone(&wiring.clock);
    PeerNet::start_with_clock(settings, me, key, handlers(wiring), clock).map_err(|e| e.to_string())
}

fn handlers(wiring: Wiring) -> Handlers {
    let Wiring {
        core,
        board,
        inputs,
        forwarder,
        ..
    } = wiring;
    let joined = Arc::clone(&core);
    let (events, flows, targets) = (inputs.clone(), inputs.clone(), inputs);
    // A closed queue means that the balancer ends.
    Handlers {
        event: Box::new(move |event| drop(events.send(Input::Member(event)))),
        flow: Box::new(move |from, message| drop(flows.send(Input::Flow(from, message)))),
        target: Box::new(move |from, message| drop(targets.send(Input::Target(from, message)))),
        relay: Box::new(move |from, header, packet| {
            forwarder.take_from_peer(&packet, from, header);
        }),
        table: Box::new(move || {
            let table = core.table();
            Some((table.version, serde_json::to_vec(&*table).ok()?))
        }),
        plan: Box::new(move |service| {
            let plan = board.facts().plans.get(&service).cloned()?;
            Some((plan.version, serde_json::to_vec(&*plan).ok()?))
        }),
        state: Box::new(move |node| joined.snapshot_for(node)),
    }
}

/// Lets the data path relay packets. The data path holds the sockets weakly,
/// because their threads hold the data path.
pub(crate) fn connect(net: &Arc<PeerNet>, path: &DataPath) {
    let net: Weak<PeerNet> = Arc::downgrade(net);
    let relay = move |to: NodeId, header, packet: &[u8]| {
        net.upgrade()
            .is_some_and(|net| net.relay(to, header, packet).is_ok())
    };
    // The data path is connected once.
    let _ = path.relay.set(Box::new(relay));
}

/// The live balancers, this one included, as the core wants them.
pub(crate) fn live(members: &View, me: Peer) -> Vec<Peer> {
    let others = members.peers.iter().map(|p| Peer {
        node: p.node,
        domain: p.domain,
        ready: p.ready,
        prepared: p.plans.clone(),
    });
    std::iter::once(me).chain(others).collect()
}

/// The other balancers, for the administration API.
pub(crate) fn reports(net: Option<&PeerNet>) -> Vec<BalancerReport> {
    let Some(net) = net else { return Vec::new() };
    let view = net.members();
    let report = |p: &sequoiatrail_peers::Peer| BalancerReport {
        node: p.node,
        vm: String::new(),
        failure_domain: p.domain,
        state: if p.suspect {
            BalancerState::Suspect
        } else {
            BalancerState::Alive
        },
        ready: p.ready,
        table: Some(p.table),
    };
    view.peers.iter().map(report).collect()
}
