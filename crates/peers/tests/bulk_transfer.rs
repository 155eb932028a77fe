//! Bulk transfer of tables, plans and state over TCP on loopback.

#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod cluster;

use std::io::{Read, Write};
use std::net::TcpStream;

use cluster::{key, start, wait_until};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use sequoiatrail_peers::{Error, Handlers, Kind, PeerNet, RejectReason};
use sequoiatrail_types::{FlowHash, NodeId, PlanVersion, ServiceId, TableVersion, TargetId};
use sequoiatrail_wire::message::FlowMessage;

const SERVICE: ServiceId = ServiceId(1);

fn placed(flow: u64) -> FlowMessage {
    FlowMessage::Placed {
        service: SERVICE,
        flow: FlowHash(flow),
        target: TargetId(2),
    }
}

fn serving_handlers() -> Handlers {
    Handlers {
        table: Box::new(|| Some((TableVersion(5), b"table".to_vec()))),
        plan: Box::new(|service| {
            (service == SERVICE).then(|| (PlanVersion(6), vec![b'p'; 1 << 20]))
        }),
        state: Box::new(|node| (1..=5_000).map(|i| placed(node.0 * 10_000 + i)).collect()),
        ..Handlers::default()
    }
}

fn pair(handlers: Handlers) -> (PeerNet, PeerNet) {
    let a = start(1, None, key(), handlers);
    let b = start(2, Some(&a), key(), Handlers::default());
    wait_until("b discovers a", || b.members().peer(NodeId(1)).is_some());
    (a, b)
}

#[test]
fn table_is_fetched_only_if_newer() {
    let (_a, b) = pair(serving_handlers());
    let fetched = b.fetch_table(NodeId(1), TableVersion(4)).unwrap();
    assert_eq!(fetched, Some((TableVersion(5), b"table".to_vec())));
    assert_eq!(b.fetch_table(NodeId(1), TableVersion(5)).unwrap(), None);
}

#[test]
fn plan_of_one_mebibyte_is_fetched() {
    let (a, b) = pair(serving_handlers());
    let fetched = b.fetch_plan(NodeId(1), SERVICE, PlanVersion(0)).unwrap();
    let (version, body) = fetched.unwrap();
    assert_eq!((version, body.len()), (PlanVersion(6), 1 << 20));
    let other = b.fetch_plan(NodeId(1), ServiceId(2), PlanVersion(0));
    assert_eq!(other.unwrap(), None);
    assert_eq!(a.stats().kind(Kind::Bulk).sent_bytes, 1 << 20);
}

#[test]
fn body_above_one_mebibyte_is_not_sent() {
    let handlers = Handlers {
        table: Box::new(|| Some((TableVersion(5), vec![0; (1 << 20) + 1]))),
        ..Handlers::default()
    };
    let (_a, b) = pair(handlers);
    assert_eq!(b.fetch_table(NodeId(1), TableVersion(0)).unwrap(), None);
}

#[test]
fn complete_state_is_fetched_in_order() {
    let (_a, b) = pair(serving_handlers());
    let state = b.fetch_state(NodeId(1)).unwrap();
    let expected: Vec<_> = (1..=5_000).map(|i| placed(20_000 + i)).collect();
    assert_eq!(state, expected);
}

#[test]
fn state_above_the_limit_is_an_error_instead_of_truncated() {
    let handlers = Handlers {
        state: Box::new(|_| vec![placed(1); 65_537]),
        ..Handlers::default()
    };
    let (_a, b) = pair(handlers);
    assert!(matches!(b.fetch_state(NodeId(1)), Err(Error::Rpc { .. })));
}

#[test]
fn empty_state_is_fetched() {
    let (_a, b) = pair(Handlers::default());
    assert_eq!(b.fetch_state(NodeId(1)).unwrap(), []);
}

#[test]
fn fetch_from_stopped_or_unknown_balancer_fails() {
    let (a, b) = pair(serving_handlers());
    a.stop();
    assert!(b.fetch_table(NodeId(1), TableVersion(0)).is_err());
    let unknown = b.fetch_table(NodeId(7), TableVersion(0));
    assert!(matches!(unknown, Err(Error::UnknownMember { .. })));
}

#[test]
fn arbitrary_bytes_on_the_bulk_port_are_rejected_without_disruption() {
    let (a, b) = pair(serving_handlers());
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let bytes = prop::collection::vec(any::<u8>(), 1..200);
    let address = a.address().bulk();
    for _ in 0..200 {
        let bytes = bytes.new_tree(&mut runner).unwrap().current();
        let mut stream = TcpStream::connect(address).unwrap();
        // The server may have closed the connection already.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        assert!(response.len() < 1_000);
    }
    wait_until("all connections are counted as rejected", || {
        let stats = a.stats();
        stats.refused(RejectReason::BulkStranger) + stats.refused(RejectReason::BulkBusy) == 200
    });
    assert!(b.fetch_table(NodeId(1), TableVersion(0)).unwrap().is_some());
}
