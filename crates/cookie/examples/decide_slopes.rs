//! Time of a decision by packet, number of targets and number of other balancers.
//!
//! `cargo run --release -p sequoiatrail-cookie --example decide_slopes`

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sequoiatrail_cookie::{
    Balancer, Config, Cookie, Decision, Flags, FlowId, Lifecycle, LoadReport, Manifest, Route,
    Segment, ServiceLoadReport, Share, TargetChange, TargetEntry, TargetId, TargetLoadReport,
};

const SERVICE: &str = "app";
const TARGETS: [u64; 4] = [30, 150, 3_000, 25_000];
const PEERS: [u16; 3] = [10, 88, 300];
/// Decisions that are timed for each size.
const ROUNDS: u32 = 2_000;

fn main() {
    println!("microseconds for a decision");
    println!("targets  peers  first SYN  SYN sent again  data packet");
    for targets in TARGETS {
        for peers in PEERS {
            let mut bench = Bench::new(targets, peers);
            let first = bench.time(|bench, n| bench.decide(segment(n, true, 0, Cookie(0))));
            bench.cookies.clear();
            let again = bench.time(|bench, n| bench.decide(resent(n)));
            let data = bench.time(|bench, n| {
                let cookie = bench.cookies[n as usize];
                bench.decide(segment(n, false, 100, cookie))
            });
            println!("{targets:7}  {peers:5}  {first:9.2}  {again:14.2}  {data:11.2}");
        }
    }
}

/// A balancer with targets, and others that report their load.
struct Bench {
    balancer: Balancer,
    now: Duration,
    /// Cookie of each flow that was opened.
    cookies: Vec<Cookie>,
}

impl Bench {
    fn new(targets: u64, peers: u16) -> Bench {
        let cfg = Config {
            domain: Arc::from("a"),
            ..Config::default()
        };
        let mut bench = Bench {
            balancer: Balancer::new(cfg, 1),
            now: Duration::from_secs(100),
            cookies: Vec::new(),
        };
        let list = (1..=targets).map(|id| TargetChange::Present(entry(id)));
        let balancer = &mut bench.balancer;
        balancer.apply_manifest(manifest(), 1.into());
        balancer.replace_targets(bench.now, 2.into(), list.collect(), true);
        bench.hear(targets, peers);
        bench
    }

    /// Takes in the reports of the other balancers.
    fn hear(&mut self, targets: u64, peers: u16) {
        let address = |n: u16| SocketAddr::from(([10, 9, (n >> 8) as u8, n as u8], 7_000));
        let known: Vec<SocketAddr> = (1..=peers).map(address).collect();
        self.balancer
            .refresh_domain_load(self.now, address(0), known.clone());
        for (n, from) in known.into_iter().enumerate() {
            let some = (1..=targets).skip(n).step_by(peers.into()).take(60);
            let targets = some.map(|id| TargetLoadReport {
                cookie: TargetId(id).cookie(),
                flows: 2,
                in_flight: 1,
            });
            let report = LoadReport {
                process: n as u32 + 1,
                number: 1,
                turn: Duration::from_millis(100),
                heard: None,
                services: vec![ServiceLoadReport {
                    service: SERVICE.into(),
                    in_flight: 3,
                    answered_per_s: 10.0,
                    demand: Vec::new(),
                }],
                targets: targets.collect(),
            };
            self.balancer.record_load_report(self.now, from, report);
        }
    }

    fn decide(&mut self, seg: Segment) {
        let decision = self.balancer.decide(self.now, &seg);
        if let Decision::Forward {
            cookie: Some(cookie),
            ..
        } = decision
        {
            self.cookies.push(cookie);
        }
    }

    /// Mean time of a step in microseconds.
    fn time(&mut self, mut step: impl FnMut(&mut Bench, u32)) -> f64 {
        let started = Instant::now();
        for n in 0..ROUNDS {
            step(self, n);
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
    }
}

fn entry(id: u64) -> TargetEntry {
    let [.., high, low] = id.to_be_bytes();
    TargetEntry {
        id: TargetId(id),
        service: Arc::from(SERVICE),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 9_000),
        domain: Arc::from(["a", "b", "c"][id as usize % 3]),
        slots: 2,
        lifecycle: Lifecycle::Ready,
        cold_for: Duration::ZERO,
        born_ms: Some(1),
    }
}

fn manifest() -> Arc<Manifest> {
    Arc::new(Manifest {
        version: 1,
        flow_idle: Duration::from_secs(15),
        routes: vec![Route {
            address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
            shares: vec![Share {
                service: Arc::from(SERVICE),
                weight: 1,
            }],
            idempotent: true,
            latency_goal: Some(Duration::from_millis(400)),
            priority: 1,
        }],
        services: Vec::new(),
    })
}

/// A copy of the SYN of a flow that the client has not opened yet.
fn resent(n: u32) -> Segment {
    Segment {
        ack: 1,
        ..segment(n, true, 0, Cookie(0))
    }
}

fn segment(n: u32, syn: bool, data_len: u16, cookie: Cookie) -> Segment {
    let [_, a, b, c] = n.to_be_bytes();
    Segment {
        flow: FlowId {
            client: SocketAddrV4::new(Ipv4Addr::new(100, a, b, c), 40_000),
            route: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        },
        flags: Flags {
            syn,
            ..Flags::default()
        },
        seq: 1,
        ack: u32::from(!syn),
        data_len,
        cookie,
    }
}
