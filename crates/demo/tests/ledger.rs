//! The ledger distinguishes broken flows and misdelivered packets from good ones.

use std::net::SocketAddr;

use sequoiatrail_demo::Ledger;
use sequoiatrail_packet::Packet;
use sequoiatrail_types::{FlowKey, Protocol};

fn packet(port: u16) -> Packet {
    Packet {
        flow: FlowKey {
            protocol: Protocol::Udp,
            src: SocketAddr::from(([198, 18, 0, 1], port)),
            dst: SocketAddr::from(([192, 0, 2, 1], 443)),
        },
        tcp: None,
        payload_bytes: 1,
    }
}

#[test]
fn a_flow_at_two_targets_is_broken_once() {
    let ledger = Ledger::default();
    for target in [0, 1, 0, 1] {
        ledger.record_packet(target, &packet(1), true);
    }
    ledger.record_packet(1, &packet(2), true);
    let totals = ledger.totals();
    assert_eq!((totals.flows, totals.broken()), (2, 1));
}

#[test]
fn a_reset_breaks_only_a_flow_that_reached_a_target() {
    let ledger = Ledger::default();
    ledger.record_packet(0, &packet(1), true);
    ledger.record_reset(packet(1).flow);
    ledger.record_reset(packet(2).flow);
    assert_eq!(ledger.totals().broken(), 1);
}

#[test]
fn a_packet_at_another_service_is_counted_as_misdelivered() {
    let ledger = Ledger::default();
    ledger.record_packet(0, &packet(1), false);
    assert_eq!(ledger.totals().misdelivered, 1);
}
