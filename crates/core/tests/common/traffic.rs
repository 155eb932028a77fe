//! Rows, plans, flows and packets of the single service used in the tests.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiatrail_packet::{Packet, TcpFields};
use sequoiatrail_plan::{Factors, Plan, WeightedTarget, repair};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, FlowKey, Protocol, ServiceId};

/// The single service of the tests.
pub const SERVICE: ServiceId = ServiceId(0);
/// Number of buckets in its plan.
pub const BUCKETS: usize = 64;

/// A row of the tests' service.
pub fn row(target: u8, protocol: Protocol) -> Row {
    Row {
        service: "crew".into(),
        owner: String::new(),
        address: "10.0.0.1".parse().unwrap(),
        port: 443,
        protocol,
        target: format!("t{target}"),
        target_address: SocketAddr::from(([10, 1, 0, target], 5555)),
        failure_domain: FailureDomain(1),
        weight: 1,
        max_connections: 0,
        slots: 0,
        state: TargetState::Started,
        drain_limit_s: 0,
    }
}

/// Rows of `n` equal targets.
pub fn rows(n: u8) -> Vec<Row> {
    (0..n).map(|t| row(t, Protocol::Tcp)).collect()
}

/// The next table with these rows.
pub fn table(last: &Table, rows: &[Row]) -> Table {
    last.with_rows(rows, EditId::default()).unwrap()
}

/// The plan after `last` for the targets of a table that accept new flows.
pub fn plan(last: &Plan, table: &Table) -> Plan {
    let targets: Vec<_> = table
        .targets
        .iter()
        .filter(|t| t.row.takes_new_flows())
        .map(|t| WeightedTarget {
            target: t.id,
            weight: f64::from(t.row.weight),
        })
        .collect();
    repair(last, table.version, &targets, Factors::default()).unwrap_or_else(|| last.clone())
}

/// Flow key of a client.
pub fn key(client: u32) -> FlowKey {
    FlowKey {
        protocol: Protocol::Tcp,
        src: SocketAddr::from(((0x0b00_0000 + client).to_be_bytes(), 40_000)),
        dst: "10.0.0.1:443".parse().unwrap(),
    }
}

/// A SYN packet of a client.
pub fn syn(client: u32) -> Packet {
    let tcp = TcpFields {
        syn: true,
        sequence: 1_000,
        ..TcpFields::default()
    };
    Packet {
        flow: key(client),
        tcp: Some(tcp),
        payload_bytes: 0,
    }
}

/// A packet with payload in the middle of a connection.
pub fn data(client: u32, sequence: u32) -> Packet {
    let tcp = TcpFields {
        ack: true,
        sequence,
        ..TcpFields::default()
    };
    Packet {
        flow: key(client),
        tcp: Some(tcp),
        payload_bytes: 100,
    }
}

/// A FIN packet of a client.
pub fn fin(client: u32) -> Packet {
    let mut packet = data(client, 1 << 20);
    packet.payload_bytes = 0;
    packet.tcp.as_mut().unwrap().fin = true;
    packet
}

/// A UDP packet of a client.
pub fn datagram(client: u32) -> Packet {
    let mut packet = data(client, 0);
    packet.flow.protocol = Protocol::Udp;
    packet.tcp = None;
    packet
}

/// A duration in milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
