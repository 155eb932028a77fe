//! Every interleaving of a small change: two balancers, two plans and one flow,
//! with late notifications and with lost or duplicated relays.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{SERVICE, data, ms, node, rows, syn, table};
use sequoiatrail_core::{Action, Core, CoreConfig, Decision, Event, Peer, Via};
use sequoiatrail_packet::Packet;
use sequoiatrail_plan::{Bucket, Plan};
use sequoiatrail_table::Table;
use sequoiatrail_types::{FailureDomain, HashSeed, PlanVersion, TableVersion, TargetId};
use sequoiatrail_wire::message::FlowMessage;

/// Fault applied to relayed packets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RelayFault {
    None,
    FirstLost,
    Duplicated,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The next plan reaches a balancer, which may skip the first one.
    Plan(usize),
    /// The next packet of the client.
    Packet,
}

/// A schedule: the steps, the balancer that receives each packet, the plans
/// whose preparation is announced only at the end, and whether a balancer gets
/// the second plan directly.
#[derive(Clone, Debug)]
struct Schedule {
    steps: Vec<Step>,
    entry: u32,
    late: u32,
    skips: u32,
    relay_fault: RelayFault,
}

struct Pair {
    now: Duration,
    cores: [Core; 2],
    prepared: [PlanVersion; 2],
    messages: Vec<(usize, usize, FlowMessage)>,
    relayed: usize,
    reached: Vec<TargetId>,
}

fn plan(version: u64) -> Arc<Plan> {
    let bucket = Bucket {
        target: TargetId(version as u32 - 1),
        since: PlanVersion(version),
    };
    Arc::new(Plan {
        service: SERVICE,
        version: PlanVersion(version),
        table: TableVersion(1),
        buckets: vec![bucket],
        ..Plan::empty(SERVICE, 1)
    })
}

impl Pair {
    fn new() -> Pair {
        let table = Arc::new(table(&Table::with_seed(HashSeed(1, 2)), &rows(3)));
        let cfg = CoreConfig {
            shards: 1,
            ..CoreConfig::default()
        };
        let mut pair = Pair {
            now: ms(1_000),
            cores: [0, 1].map(|i| Core::new(cfg.clone(), node(i))),
            prepared: [PlanVersion(1); 2],
            messages: Vec::new(),
            relayed: 0,
            reached: Vec::new(),
        };
        for index in 0..2 {
            pair.deliver(index, Event::Table(table.clone()));
            pair.deliver(index, Event::Plan(plan(1)));
        }
        pair.exchange_prepared();
        pair
    }

    fn deliver(&mut self, index: usize, event: Event) -> bool {
        let actions = self.cores[index].handle(self.now, event);
        self.apply_actions(index, actions)
    }

    /// Executes actions; true if one of them announces a prepared plan.
    fn apply_actions(&mut self, index: usize, actions: Vec<Action>) -> bool {
        let mut prepared = false;
        for action in actions {
            match action {
                Action::Send { message, .. } => self.messages.push((1 - index, index, message)),
                Action::Prepared { .. } => prepared = true,
            }
        }
        prepared
    }

    /// Informs both balancers of what the other one has prepared.
    fn exchange_prepared(&mut self) {
        let peers: Vec<_> = (0..2)
            .map(|i| Peer {
                node: node(i),
                domain: FailureDomain(1),
                ready: true,
                prepared: vec![(SERVICE, self.prepared[i])],
            })
            .collect();
        for index in 0..2 {
            self.deliver(index, Event::Peers(peers.clone()));
        }
    }

    fn plan(&mut self, index: usize, version: u64, late: bool) {
        let prepared = self.deliver(index, Event::Plan(plan(version)));
        if prepared && !late {
            self.prepared[index] = PlanVersion(version);
            self.exchange_prepared();
        }
    }

    fn open_buckets(&self) -> usize {
        self.cores.iter().map(|c| c.open_buckets(SERVICE)).sum()
    }

    fn packet(&mut self, index: usize, packet: &Packet, relay_fault: RelayFault) {
        let mut in_flight = vec![(index, Via::Fabric)];
        while let Some((index, via)) = in_flight.pop() {
            let decision = self.cores[index].decide(self.now, packet, via);
            match decision {
                Decision::Forward { target, .. } => self.reached.push(target),
                Decision::Relay { to, header } => {
                    let from = node(index);
                    let to = to.0 as usize - 1;
                    assert_ne!(to, index);
                    let copies = match relay_fault {
                        RelayFault::FirstLost if self.relayed == 0 => 0,
                        RelayFault::Duplicated => 2,
                        _ => 1,
                    };
                    // Duplicates of duplicates add no new case.
                    let copies = if header.hops > 1 {
                        copies.min(1)
                    } else {
                        copies
                    };
                    self.relayed += 1;
                    for _ in 0..copies {
                        in_flight.push((to, Via::Peer { from, header }));
                    }
                }
                other => panic!("{other:?}"),
            }
        }
    }

    /// Runs up to `n` ticks until both balancers have settled.
    fn ticks(&mut self, n: usize) {
        for _ in 0..n {
            if self.open_buckets() == 0 {
                return;
            }
            self.now += ms(100);
            for index in 0..2 {
                let actions = self.cores[index].tick(self.now);
                if self.apply_actions(index, actions) {
                    self.prepared[index] = self.cores[index].plan_version(SERVICE).unwrap();
                    self.exchange_prepared();
                }
            }
            for (to, from, message) in std::mem::take(&mut self.messages) {
                let from = node(from);
                self.deliver(to, Event::Message { from, message });
            }
        }
    }
}

fn run(s: &Schedule) {
    let mut pair = Pair::new();
    let packets = [syn(7), syn(7), data(7, 1)];
    let mut plans = [1, 1];
    let mut sent = 0;
    for step in &s.steps {
        match step {
            Step::Plan(index) => {
                plans[*index] += 1;
                let version = plans[*index];
                let skipped = version == 2 && s.skips & (1 << index) != 0;
                if !skipped {
                    let notice = 2 * index + version as usize - 2;
                    pair.plan(*index, version, s.late & (1 << notice) != 0);
                }
            }
            Step::Packet => {
                let index = (s.entry >> sent & 1) as usize;
                pair.packet(index, &packets[sent], s.relay_fault);
                sent += 1;
            }
        }
    }
    pair.prepared = [PlanVersion(3); 2];
    pair.exchange_prepared();
    let check = |pair: &mut Pair| {
        for index in 0..2 {
            pair.packet(index, &data(7, 2), RelayFault::None);
        }
        let first = pair.reached[0];
        assert!(
            pair.reached.iter().all(|t| *t == first),
            "{s:?} {:?}",
            pair.reached
        );
    };
    check(&mut pair);
    pair.ticks(12);
    check(&mut pair);
    assert!(
        (0..2).all(|i| pair.cores[i].open_buckets(SERVICE) == 0),
        "{s:?}"
    );
}

/// All interleavings of two plans at each balancer with three packets.
fn interleavings(steps: &mut Vec<Step>, left: [usize; 3], f: &mut impl FnMut(&[Step])) {
    if left == [0; 3] {
        return f(steps);
    }
    for (kind, step) in [Step::Plan(0), Step::Plan(1), Step::Packet]
        .into_iter()
        .enumerate()
    {
        if left[kind] > 0 {
            let mut left = left;
            left[kind] -= 1;
            steps.push(step);
            interleavings(steps, left, f);
            steps.pop();
        }
    }
}

#[test]
fn one_flow_reaches_one_target_in_every_interleaving() {
    let mut runs = 0;
    interleavings(&mut Vec::new(), [2, 2, 3], &mut |steps| {
        for entry in 0..8 {
            for (late, skips) in (0..16)
                .map(|late| (late, 0))
                .chain([(0, 1), (0, 2), (0, 3)])
            {
                for relay_fault in [
                    RelayFault::None,
                    RelayFault::FirstLost,
                    RelayFault::Duplicated,
                ] {
                    let steps = steps.to_vec();
                    run(&Schedule {
                        steps,
                        entry,
                        late,
                        skips,
                        relay_fault,
                    });
                    runs += 1;
                }
            }
        }
    });
    assert_eq!(runs, 210 * 8 * 19 * 3);
}
