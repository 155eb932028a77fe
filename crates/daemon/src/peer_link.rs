//! Connects the peer sockets to the daemon.

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
use crate::control_messages::Input;
use crate::error::ComponentSnafu;
use crate::forward::{DataPath, Forwarder};
use crate::shared_state::SharedState;

/// Burst size of the control traffic, in seconds of the budget.
const BURST_SECONDS: u32 = 2;

/// Daemon components that the peer sockets use.
pub(crate) struct PeerContext {
    pub node: NodeId,
    pub domain: FailureDomain,
    pub clock: Arc<dyn Clock>,
    pub core: Arc<Core>,
    pub shared: Arc<SharedState>,
    pub inputs: Sender<Input>,
    /// Handles relayed packets.
    pub forwarder: Forwarder,
}

/// Opens the peer sockets; returns `None` without a key, which disables peer
/// traffic.
pub(crate) fn open(cfg: &PeersSettings, cx: PeerContext) -> Result<Option<Arc<PeerNet>>> {
    if cfg.key.is_empty() {
        return Ok(None);
    }
    match start(cfg, cx) {
        Ok(net) => Ok(Some(Arc::new(net))),
        Err(reason) => {
            let component = "peer sockets";
            ComponentSnafu { component, reason }.fail()
        }
    }
}

fn start(cfg: &PeersSettings, cx: PeerContext) -> Result<PeerNet, String> {
    let key = Key::new(cfg.key.as_bytes()).map_err(|e| e.to_string())?;
    let me = Identity {
        node: cx.node,
        domain: cx.domain,
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
    let clock = Arc::clone(&cx.clock);
    PeerNet::start_with_clock(settings, me, key, handlers(cx), clock).map_err(|e| e.to_string())
}

fn handlers(cx: PeerContext) -> Handlers {
    let PeerContext {
        core,
        shared,
        inputs,
        forwarder,
        ..
    } = cx;
    let snapshot_core = Arc::clone(&core);
    let (events, flows, targets) = (inputs.clone(), inputs.clone(), inputs);
    // The queue is closed only when the balancer stops.
    Handlers {
        event: Box::new(move |event| drop(events.send(Input::Member(event)))),
        flow: Box::new(move |from, message| drop(flows.send(Input::Flow(from, message)))),
        target: Box::new(move |from, message| drop(targets.send(Input::Target(from, message)))),
        relay: Box::new(move |from, header, packet| {
            forwarder.handle_relayed_packet(&packet, from, header);
        }),
        table: Box::new(move || {
            let table = core.table();
            Some((table.version, serde_json::to_vec(&*table).ok()?))
        }),
        plan: Box::new(move |service| {
            let plan = shared.details().plans.get(&service).cloned()?;
            Some((plan.version, serde_json::to_vec(&*plan).ok()?))
        }),
        state: Box::new(move |node| snapshot_core.snapshot_for(node)),
    }
}

/// Enables the data path to relay packets. It holds the sockets weakly because
/// their threads hold the data path.
pub(crate) fn connect(net: &Arc<PeerNet>, path: &DataPath) {
    let net: Weak<PeerNet> = Arc::downgrade(net);
    let relay = move |to: NodeId, header, packet: &[u8]| {
        net.upgrade()
            .is_some_and(|net| net.relay(to, header, packet).is_ok())
    };
    // `set` cannot fail: the data path is connected only once.
    let _ = path.relay.set(Box::new(relay));
}

/// Returns the live balancers for the core, including this one.
pub(crate) fn live(members: &View, me: Peer) -> Vec<Peer> {
    let others = members.peers.iter().map(|p| Peer {
        node: p.node,
        domain: p.domain,
        ready: p.ready,
        prepared: p.plans.clone(),
    });
    std::iter::once(me).chain(others).collect()
}

/// Returns the reports of the other balancers for the administration API.
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
