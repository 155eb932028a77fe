//! Measures control traffic and processor time of balancers on loopback, idle and
//! with a new plan and table each second, and prints them as JSON.
//!
//! Run with `cargo run --release -p sequoiatrail-peers --example rest [SECONDS]`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::thread::sleep;
use std::time::{Duration, Instant};

use sequoiatrail_membership::Identity;
use sequoiatrail_peers::{Handlers, Kind, PeerNet, Settings};
use sequoiatrail_types::{FailureDomain, NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::Key;
use sequoiatrail_wire::message::PeerAddress;
use serde_json::{Value, json};

const NODES: u64 = 6;
/// Default length of each measurement, in seconds.
const SECONDS: u64 = 30;
/// Clock ticks per second (`USER_HZ`) in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let seconds = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let seconds = seconds.unwrap_or(SECONDS);
    let nets = start();
    sleep(Duration::from_secs(2));
    let rest = measure(&nets, seconds, |_| {});
    let changes = measure(&nets, seconds, |second| {
        for net in &nets {
            net.set_prepared(ServiceId(1), PlanVersion(second + 1));
            net.set_table(TableVersion(second + 1));
        }
    });
    let report = json!({ "rest": rest, "a_new_plan_and_table_each_second": changes });
    println!("{report:#}");
}

fn start() -> Vec<PeerNet> {
    let key = Key::new(&[7; 32]).expect("the key is long enough");
    let mut seeds: Vec<SocketAddr> = Vec::new();
    let mut nets = Vec::new();
    for i in 1..=NODES {
        let me = Identity {
            node: NodeId(i << 56 | 0x00A5_5AA5_5AA5_5AA5),
            domain: FailureDomain((i / 2) as u16),
            address: PeerAddress {
                ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
                control_port: 0,
                relay_port: 0,
                bulk_port: 0,
            },
        };
        let cfg = Settings {
            seeds: seeds.clone(),
            ..Settings::default()
        };
        let net = PeerNet::start(cfg, me, key.clone(), Handlers::default());
        let net = net.expect("loopback has free ports");
        seeds.push(net.address().control());
        nets.push(net);
    }
    nets
}

/// Measures traffic of the failure detector and processor time, per second and balancer.
fn measure(nets: &[PeerNet], seconds: u64, each_second: impl Fn(u64)) -> Value {
    let members: Vec<_> = nets.iter().map(|n| n.members().peers.len()).collect();
    let before = membership_totals(nets);
    let (start, ticks) = (Instant::now(), processor_ticks());
    for second in 0..seconds {
        each_second(second);
        sleep(Duration::from_secs(1));
    }
    let node_seconds = start.elapsed().as_secs_f64() * nets.len() as f64;
    let after = membership_totals(nets);
    let rate = |i: usize| ((after[i] - before[i]) as f64 / node_seconds).round();
    let processor_load = (processor_ticks() - ticks) / TICKS_PER_SECOND / node_seconds;
    json!({
        "members_seen": members,
        "sent_bytes_per_second": rate(0),
        "received_bytes_per_second": rate(1),
        "sent_datagrams_per_second": (after[2] - before[2]) as f64 / node_seconds,
        "processor_percent_of_a_core": 100.0 * processor_load,
    })
}

fn membership_totals(nets: &[PeerNet]) -> [u64; 3] {
    let mut totals = [0; 3];
    for net in nets {
        let count = net.stats().kind(Kind::Membership);
        totals[0] += count.sent_bytes;
        totals[1] += count.received_bytes;
        totals[2] += count.sent;
    }
    totals
}

/// User and system time of this process so far, in clock ticks.
fn processor_ticks() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = fields
        .split_whitespace()
        .filter_map(|f| f.parse().ok())
        .collect();
    // Without the non-numeric state field, user time is the 11th and system time the 12th.
    fields.get(10..12).map_or(0.0, |times| times.iter().sum())
}
