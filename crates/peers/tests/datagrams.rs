//! Control messages and relayed packets over real sockets on loopback.

#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod cluster;

use std::net::UdpSocket;

use cluster::{key, recorder, start, wait_until};
use sequoiatrail_membership::Event;
use sequoiatrail_peers::{Error, Handlers, Kind, PeerNet, RejectReason};
use sequoiatrail_types::{FlowHash, NodeId, PlanVersion, ServiceId, TableVersion, TargetId};
use sequoiatrail_wire::message::{
    Body, Datagram, FlowMessage, RelayHeader, RelayStage, TargetMessage,
};
use sequoiatrail_wire::{Key, encode};

const SERVICE: ServiceId = ServiceId(1);

fn placed(flow: u64) -> FlowMessage {
    FlowMessage::Placed {
        service: SERVICE,
        flow: FlowHash(flow),
        target: TargetId(2),
    }
}

fn header() -> RelayHeader {
    RelayHeader {
        hops: 1,
        stage: RelayStage::Ask,
        service: SERVICE,
        target: TargetId(0),
    }
}

fn has_members(net: &PeerNet, count: usize) -> bool {
    net.members().peers.len() == count
}

#[test]
fn balancers_discover_each_other_with_versions_and_readiness() {
    let a = start(1, None, key(), Handlers::default());
    let b = start(2, Some(&a), key(), Handlers::default());
    let c = start(3, Some(&a), key(), Handlers::default());
    wait_until("all balancers are members", || {
        [&a, &b, &c].iter().all(|n| has_members(n, 2))
    });
    b.set_prepared(SERVICE, PlanVersion(4));
    b.set_table(TableVersion(5));
    b.set_ready(true);
    wait_until("the others receive the update", || {
        [&a, &c].iter().all(|n| {
            let view = n.members();
            let peer = view.peer(NodeId(2)).unwrap();
            (peer.prepared_plan(SERVICE), peer.table, peer.ready)
                == (PlanVersion(4), TableVersion(5), true)
        })
    });
}

#[test]
fn messages_and_packets_are_delivered_with_their_sender() {
    let (flows, on_flow) = recorder();
    let (targets, on_target) = recorder();
    let (packets, on_relay) = recorder();
    let handlers = Handlers {
        flow: Box::new(move |from, m| on_flow.lock().unwrap().push((from, m))),
        target: Box::new(move |from, m| on_target.lock().unwrap().push((from, m))),
        relay: Box::new(move |from, h, p| on_relay.lock().unwrap().push((from, h, p))),
        ..Handlers::default()
    };
    let a = start(1, None, key(), handlers);
    let b = start(2, Some(&a), key(), Handlers::default());
    wait_until("b discovers a", || has_members(&b, 1));
    b.send(NodeId(1), Body::Flow(placed(7))).unwrap();
    let load = TargetMessage::default();
    b.send(NodeId(1), Body::Target(load.clone())).unwrap();
    b.relay(NodeId(1), header(), b"packet").unwrap();
    wait_until("all messages arrive", || {
        !flows.lock().unwrap().is_empty()
            && !targets.lock().unwrap().is_empty()
            && !packets.lock().unwrap().is_empty()
    });
    assert_eq!(*flows.lock().unwrap(), [(NodeId(2), placed(7))]);
    assert_eq!(*targets.lock().unwrap(), [(NodeId(2), load)]);
    assert_eq!(
        *packets.lock().unwrap(),
        [(NodeId(2), header(), b"packet".to_vec())]
    );
    assert_eq!(b.stats().kind(Kind::Answer).sent, 1);
    assert_eq!(a.stats().kind(Kind::Relay).received, 1);
}

#[test]
fn sending_to_a_non_member_fails() {
    let a = start(1, None, key(), Handlers::default());
    let sent = a.send(NodeId(9), Body::Flow(placed(1)));
    assert!(matches!(
        sent,
        Err(Error::UnknownMember { node: NodeId(9) })
    ));
    assert!(a.relay(NodeId(9), header(), b"packet").is_err());
}

#[test]
fn leave_is_announced_immediately() {
    let (events, on_event) = recorder();
    let handlers = Handlers {
        event: Box::new(move |e| on_event.lock().unwrap().push(e)),
        ..Handlers::default()
    };
    let a = start(1, None, key(), handlers);
    let b = start(2, Some(&a), key(), Handlers::default());
    wait_until("a discovers b", || has_members(&a, 1));
    b.leave();
    b.stop();
    wait_until("b leaves", || has_members(&a, 0));
    assert!(events.lock().unwrap().contains(&Event::Left(NodeId(2))));
}

#[test]
fn unauthenticated_replayed_and_malformed_datagrams_are_rejected() {
    let (flows, on_flow) = recorder();
    let handlers = Handlers {
        flow: Box::new(move |from, m| on_flow.lock().unwrap().push((from, m))),
        ..Handlers::default()
    };
    let a = start(1, None, key(), handlers);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let stranger = Key::new(b"a key of somebody else").unwrap();
    let datagram = Datagram {
        from: NodeId(5),
        serial: 1,
        body: Body::Flow(placed(3)),
    };
    let control = a.address().control();
    let good = encode(&datagram, &key());
    for bytes in [&encode(&datagram, &stranger), &good, &good, &vec![0; 5]] {
        socket.send_to(bytes, control).unwrap();
    }
    let refused = |reason| a.stats().refused(reason);
    wait_until("each rejection is counted", || {
        refused(RejectReason::Stranger) == 1
            && refused(RejectReason::Replayed) == 1
            && refused(RejectReason::Malformed) == 1
    });
    wait_until("one is delivered", || flows.lock().unwrap().len() == 1);
}
