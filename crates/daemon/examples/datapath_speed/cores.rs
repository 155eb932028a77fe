//! Benchmarks of the decision core: parsing and decisions, without sockets.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use sequoiatrail_core::{Core, CoreConfig, Decision, Event, Via};
use sequoiatrail_packet::parse;
use sequoiatrail_plan::{Factors, Planner, PlannerSettings, Plans};
use sequoiatrail_table::{EditId, Table, from_csv};
use sequoiatrail_types::{HashSeed, NodeId};

use crate::cpu;
use crate::packets::Template;

/// Number of rounds; the median is reported.
const ROUNDS: usize = 5;
/// Packets of known flows per thread and round.
const PACKETS: u32 = 1_000_000;
/// Number of flows in the thread scaling benchmark.
const THREAD_SCALING_FLOWS: u32 = 100_000;

const TABLE: &str = "service,address,port,protocol,target,target_address,failure_domain,weight\n\
    speed,192.0.2.1,443,tcp,one,127.0.0.1:9,1,10\n\
    speed,192.0.2.1,443,tcp,two,127.0.0.1:10,1,10\n";

fn core() -> Core {
    let node = NodeId(1);
    let core = Core::new(CoreConfig::default(), node);
    let rows = from_csv(TABLE).expect("the table is valid");
    let table = Table::with_seed(HashSeed(1, 2))
        .with_rows(&rows, EditId::default())
        .expect("the table is valid");
    let now = Duration::ZERO;
    let mut planner = Planner::new(node, PlannerSettings::default());
    let proposals = planner.propose(now, &table, &Plans::new(), &[node], &Factors::default());
    core.handle(now, Event::Table(Arc::new(table)));
    for proposal in proposals {
        core.handle(now, Event::Plan(Arc::new(proposal.plan)));
    }
    core
}

/// Decides on a packet of flow `n`, like a receiving thread.
fn decide(core: &Core, template: &mut Template, now: Duration, n: u32) {
    let packet = parse(template.flow(n)).expect("the packet is valid");
    let decision = core.decide(now, &packet, Via::Fabric);
    assert!(matches!(decision, Decision::Forward { .. }), "{decision:?}");
}

fn open_flows(core: &Core, flows: u32) {
    let mut syn = Template::first_packet();
    for n in 0..flows {
        decide(core, &mut syn, Duration::from_secs(1), n);
    }
}

/// Prints the time per packet and the memory per flow for increasing numbers of flows.
pub fn measure_flows() {
    println!("### Parsing and decision only, one thread, median of {ROUNDS} rounds\n");
    println!(
        "| Flows | ns/packet, known flow | ns/packet, new flow | memory bytes/flow |\n|---|---|---|---|"
    );
    for flows in [10_000, 100_000, 500_000] {
        let mut new = Vec::new();
        let mut known = Vec::new();
        let mut bytes = Vec::new();
        // Kept alive so that later cores cannot reuse freed memory.
        let mut cores = Vec::new();
        for _ in 0..ROUNDS {
            let core = core();
            let before = cpu::resident_bytes();
            let start = cpu::current_thread_ns();
            open_flows(&core, flows);
            new.push((cpu::current_thread_ns() - start) as f64 / f64::from(flows));
            let growth = cpu::resident_bytes().saturating_sub(before);
            bytes.push(growth as f64 / f64::from(flows));
            known.push(known_ns(&core, flows, 0));
            cores.push(core);
        }
        let (known, new, bytes) = (cpu::median(known), cpu::median(new), cpu::median(bytes));
        println!("| {flows} | {known:.0} | {new:.0} | {bytes:.0} |");
    }
    println!();
}

/// Returns the CPU time per packet of known flows, in nanoseconds, starting at flow `first`.
fn known_ns(core: &Core, flows: u32, first: u32) -> f64 {
    let mut data = Template::data();
    let start = cpu::current_thread_ns();
    for n in first..first + PACKETS {
        // Strided access, so that the next flow is not in the CPU cache.
        decide(
            core,
            &mut data,
            Duration::from_secs(2),
            n.wrapping_mul(7_919) % flows,
        );
    }
    (cpu::current_thread_ns() - start) as f64 / f64::from(PACKETS)
}

/// Prints the packet rate of known flows for increasing numbers of threads.
pub fn measure_threads() {
    println!("### Parsing and decision only, {THREAD_SCALING_FLOWS} known flows\n");
    println!("| Threads | packets/s | CPU ns/packet |\n|---|---|---|");
    let core = core();
    open_flows(&core, THREAD_SCALING_FLOWS);
    for threads in [1, 2, 4, 8] {
        let mut rates = Vec::new();
        let mut times = Vec::new();
        for _ in 0..ROUNDS {
            let start = Instant::now();
            let ns = mean_known_ns(&core, threads);
            rates.push(f64::from(PACKETS) * threads as f64 / start.elapsed().as_secs_f64());
            times.push(ns);
        }
        println!(
            "| {threads} | {:.0} | {:.0} |",
            cpu::median(rates),
            cpu::median(times)
        );
    }
    println!();
}

/// Returns the mean CPU time per packet over all threads, in nanoseconds.
fn mean_known_ns(core: &Core, threads: usize) -> f64 {
    let total: f64 = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads as u32)
            .map(|t| scope.spawn(move || known_ns(core, THREAD_SCALING_FLOWS, t * 12_345)))
            .collect();
        workers.into_iter().filter_map(|w| w.join().ok()).sum()
    });
    total / threads as f64
}
