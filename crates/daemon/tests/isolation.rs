//! A packet for one service is never forwarded to a target of another, for random
//! sequences of packets, relays, table edits, plans, and target and balancer failures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use etherparse::PacketBuilder;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use sequoiatrail_core::{Core, CoreConfig, Decision, Event, Peer, Via};
use sequoiatrail_packet::{Packet, parse};
use sequoiatrail_plan::{Factors, Planner, PlannerSettings, Plans};
use sequoiatrail_table::{EditId, Row, Table, TargetState};
use sequoiatrail_types::{FailureDomain, HashSeed, NodeId, Protocol, ServiceId, TargetId};
use sequoiatrail_wire::message::{RelayHeader, RelayStage};

/// Number of random sequences, over all seeds; more than 100,000 packets in total.
const SEQUENCES: u32 = 1_500;
/// Upper limit of the steps in a sequence.
const MAX_STEPS: usize = 200;
/// Number of seeds, each run on its own thread.
const SEEDS: u64 = 4;
const LOCAL: NodeId = NodeId(1);
const REMOTE: NodeId = NodeId(2);

/// A generated table row: a target of a service, both small numbers.
#[derive(Clone, Copy, Debug)]
struct RowSpec {
    service: u8,
    target: u8,
    /// Address of the target, deliberately shared by targets of all services.
    endpoint: u8,
    weight: u8,
    started: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Edit(Vec<RowSpec>),
    Plan,
    Peers {
        remote: bool,
        remote_ready: bool,
    },
    Down {
        target: u32,
        up: bool,
    },
    Packet {
        src: u8,
        service: u8,
        udp: bool,
        syn: bool,
        fin: bool,
    },
    Relay {
        src: u8,
        service: u8,
        header: (u8, u8, u32, u32),
    },
    Bytes(Vec<u8>),
}

fn step() -> impl Strategy<Value = Step> {
    let spec = (0..4u8, 0..4u8, 0..6u8, 0..4u8, any::<bool>()).prop_map(
        |(service, target, endpoint, weight, started)| RowSpec {
            service,
            target,
            endpoint,
            weight,
            started,
        },
    );
    let packet = (
        any::<u8>(),
        0..5u8,
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(|(src, service, udp, syn, fin)| Step::Packet {
            src,
            service,
            udp,
            syn,
            fin,
        });
    let relay = (any::<u8>(), 0..5u8, (0..4u8, 0..4u8, 0..6u32, 0..12u32)).prop_map(
        |(src, service, header)| Step::Relay {
            src,
            service,
            header,
        },
    );
    prop_oneof![
        1 => vec(spec, 0..8).prop_map(Step::Edit),
        2 => Just(Step::Plan),
        1 => (any::<bool>(), any::<bool>())
            .prop_map(|(remote, remote_ready)| Step::Peers { remote, remote_ready }),
        1 => (0..12u32, any::<bool>()).prop_map(|(target, up)| Step::Down { target, up }),
        12 => packet,
        4 => relay,
        1 => vec(any::<u8>(), 0..60).prop_map(Step::Bytes),
    ]
}

/// Address and protocol of services 0 to 3: three share an IP address, three share
/// a port, one is UDP. Other numbers get an address without a service.
fn address(service: u8) -> (SocketAddr, Protocol) {
    match service {
        0 => (SocketAddr::from(([192, 0, 2, 1], 443)), Protocol::Tcp),
        1 => (SocketAddr::from(([192, 0, 2, 1], 444)), Protocol::Tcp),
        2 => (SocketAddr::from(([192, 0, 2, 1], 443)), Protocol::Udp),
        3 => (SocketAddr::from(([192, 0, 2, 2], 443)), Protocol::Tcp),
        _ => (SocketAddr::from(([192, 0, 2, 9], 9)), Protocol::Tcp),
    }
}

fn row(spec: RowSpec) -> Row {
    let (address, protocol) = address(spec.service);
    Row {
        service: format!("service-{}", spec.service),
        owner: String::new(),
        address: address.ip(),
        port: address.port(),
        protocol,
        target: format!("target-{}", spec.target),
        target_address: SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::from(spec.endpoint))),
        failure_domain: FailureDomain(0),
        weight: spec.weight.into(),
        max_connections: u32::from(spec.endpoint) % 3,
        slots: 0,
        state: if spec.started {
            TargetState::Started
        } else {
            TargetState::Stopped
        },
        drain_limit_s: 0,
    }
}

struct Simulation {
    core: Core,
    planner: Planner,
    plans: Plans,
    table: Arc<Table>,
    now: Duration,
    packets: u32,
}

impl Simulation {
    fn new() -> Simulation {
        let core = CoreConfig {
            shards: 4,
            ..CoreConfig::default()
        };
        let planner = PlannerSettings {
            buckets: 32,
            ..PlannerSettings::default()
        };
        Simulation {
            core: Core::new(core, LOCAL),
            planner: Planner::new(LOCAL, planner),
            plans: Plans::new(),
            table: Arc::new(Table::with_seed(HashSeed(3, 4))),
            now: Duration::ZERO,
            packets: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        self.now += Duration::from_millis(700);
        match step {
            Step::Edit(specs) => self.edit(specs),
            Step::Plan => self.plan(),
            Step::Peers {
                remote,
                remote_ready,
            } => self.peers(remote, remote_ready),
            Step::Down { target, up } => self.down(TargetId(target), up),
            Step::Packet {
                src,
                service,
                udp,
                syn,
                fin,
            } => self.packet(&bytes(src, service, udp, syn, fin), Via::Fabric),
            Step::Relay {
                src,
                service,
                header,
            } => {
                let (hops, stage, service_id, target) = header;
                let stage = [RelayStage::Ask, RelayStage::Keep][usize::from(stage % 2)];
                let header = RelayHeader {
                    hops,
                    stage,
                    service: ServiceId(service_id),
                    target: TargetId(target),
                };
                let via = Via::Peer {
                    from: REMOTE,
                    header,
                };
                self.packet(&bytes(src, service, service == 2, false, false), via);
            }
            Step::Bytes(bytes) => self.packet(&bytes, Via::Fabric),
        }
        self.core.tick(self.now);
    }

    fn edit(&mut self, specs: Vec<RowSpec>) {
        let mut rows: Vec<Row> = specs.into_iter().map(row).collect();
        rows.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
        rows.dedup_by(|a, b| (&a.service, &a.target) == (&b.service, &b.target));
        let edit = EditId(self.table.version.0.to_string());
        let table = self
            .table
            .with_rows(&rows, edit)
            .expect("the rows are valid");
        self.table = Arc::new(table);
        self.plans.retain(|id, _| self.table.service(*id).is_some());
        self.core
            .handle(self.now, Event::Table(Arc::clone(&self.table)));
    }

    fn plan(&mut self) {
        let factors = Factors::default();
        let proposals =
            self.planner
                .propose(self.now, &self.table, &self.plans, &[LOCAL], &factors);
        for proposal in proposals {
            let plan = Arc::new(proposal.plan);
            self.plans.insert(plan.service, Arc::clone(&plan));
            self.core.handle(self.now, Event::Plan(plan));
        }
    }

    fn peers(&self, remote: bool, remote_ready: bool) {
        let peer = |node, ready| Peer {
            node,
            domain: FailureDomain(0),
            ready,
            prepared: self
                .plans
                .values()
                .map(|p| (p.service, p.version))
                .collect(),
        };
        let mut peers = vec![peer(LOCAL, true)];
        if remote {
            peers.push(peer(REMOTE, remote_ready));
        }
        self.core.handle(self.now, Event::Peers(peers));
    }

    fn down(&self, target: TargetId, up: bool) {
        let event = if up {
            Event::TargetUp { target }
        } else {
            Event::TargetDown {
                target,
                agreed_at: self.now,
            }
        };
        self.core.handle(self.now, event);
    }

    fn packet(&mut self, bytes: &[u8], via: Via) {
        self.packets += 1;
        let Ok(packet) = parse(bytes) else { return };
        let decision = self.core.decide(self.now, &packet, via);
        self.check(&packet, decision);
    }

    fn check(&self, packet: &Packet, decision: Decision) {
        let (dst, protocol) = (packet.flow.dst, packet.flow.protocol);
        let matches = |s: &sequoiatrail_table::Service| (s.address, s.protocol) == (dst, protocol);
        let service = self.table.services.iter().find(|s| matches(s));
        match decision {
            Decision::Forward { target, to, .. } => {
                let target = self
                    .table
                    .target(target)
                    .expect("the target is in the table");
                assert_eq!(Some(target.service), service.map(|s| s.id));
                assert_eq!(target.row.target_address, to);
            }
            Decision::Relay { header, .. } => {
                assert_eq!(Some(header.service), service.map(|s| s.id));
            }
            _ => {}
        }
    }
}

fn bytes(src: u8, service: u8, udp: bool, syn: bool, fin: bool) -> Vec<u8> {
    let (dst, _) = address(service);
    let SocketAddr::V4(dst) = dst else {
        unreachable!("all services are IPv4")
    };
    let ip = PacketBuilder::ipv4([198, 18, 0, src], dst.ip().octets(), 64);
    let mut out = Vec::new();
    if udp {
        ip.udp(4_000, dst.port()).write(&mut out, b"x").unwrap();
        return out;
    }
    let mut tcp = ip.tcp(4_000, dst.port(), 1, 1_000);
    tcp = if syn { tcp.syn() } else { tcp.ack(1) };
    tcp = if fin { tcp.fin() } else { tcp };
    tcp.write(&mut out, b"x").unwrap();
    out
}

/// Runs the sequences of one seed and returns the number of packets sent.
fn sequences(seed: u64) -> u32 {
    let cfg = ProptestConfig {
        cases: SEQUENCES / SEEDS as u32,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    };
    let packets = std::cell::Cell::new(0);
    TestRunner::new(cfg)
        .run(&vec(step(), 0..MAX_STEPS), |steps| {
            let mut sim = Simulation::new();
            steps.into_iter().for_each(|step| sim.apply(step));
            packets.set(packets.get() + sim.packets);
            Ok(())
        })
        .unwrap();
    packets.get()
}

#[test]
fn packets_never_reach_a_target_of_another_service() {
    let packets: u32 = thread::scope(|scope| {
        let threads: Vec<_> = (0..SEEDS)
            .map(|seed| scope.spawn(move || sequences(seed)))
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).sum()
    });
    assert!(packets > 100_000, "{packets} packets");
}
