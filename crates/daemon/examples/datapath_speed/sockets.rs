//! Benchmarks of the data path over sockets, alternating with baseline forwarders.

use std::error::Error;
use std::fmt::Write as _;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use sequoiatrail_daemon::Daemon;
use sequoiatrail_events::Log;
use sequoiatrail_settings::Settings;
use sequoiatrail_types::TableVersion;

use crate::bare::{self, BaselineForwarder};
use crate::cpu;
use crate::flood::{self, Flows};

/// Number of rounds; the median is reported.
const ROUNDS: u32 = 7;
/// Duration of one measurement.
const TIME: Duration = Duration::from_millis(600);
/// Number of known flows.
const KNOWN_FLOWS: u32 = 10_000;
/// Distance between the first flow numbers of consecutive rounds.
const NEW_STEP: u32 = 4_000_000;

/// Result of one measurement.
struct Sample {
    /// CPU time per packet, in nanoseconds.
    ns: f64,
    /// Packets per second.
    per_second: f64,
}

/// Starts a daemon on loopback whose only target is `sink`.
pub fn daemon(
    sink: SocketAddr,
    log: Log,
    edit: impl Fn(&mut Settings),
) -> Result<Daemon, Box<dyn Error>> {
    let table = table_file(sink)?;
    let mut settings = Settings::default();
    settings.data.listen = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.data.threads = 1;
    settings.platform.embedded = true;
    settings.platform.embedded_table = table.display().to_string();
    settings.admin.listen = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.health.probe = sequoiatrail_settings::Probe::None;
    settings.peers.control_port = 0;
    settings.peers.relay_port = 0;
    settings.peers.bulk_port = 0;
    edit(&mut settings);
    let daemon = Daemon::start(settings, log)?;
    while !daemon.has_applied(TableVersion(1)) {
        std::thread::sleep(Duration::from_millis(10));
    }
    std::fs::remove_file(table)?;
    Ok(daemon)
}

fn table_file(sink: SocketAddr) -> std::io::Result<PathBuf> {
    let mut csv =
        String::from("service,address,port,protocol,target,target_address,failure_domain,weight\n");
    let _ = writeln!(csv, "speed,192.0.2.1,443,tcp,sink,{sink},1,10");
    let file = std::env::temp_dir().join(format!("datapath-speed-{}.csv", std::process::id()));
    std::fs::write(&file, csv)?;
    Ok(file)
}

/// Prints CPU time per packet and packet rate of the baseline forwarders and the balancer.
pub fn measure() -> Result<(), Box<dyn Error>> {
    let sink = UdpSocket::bind("127.0.0.1:0")?;
    let single = BaselineForwarder::start(bare::SINGLE, sink.local_addr()?)?;
    let batched = BaselineForwarder::start(bare::BATCHED, sink.local_addr()?)?;
    let daemon = daemon(sink.local_addr()?, Log::discard(), |_| {})?;
    let mut samples: [Vec<Sample>; 4] = Default::default();
    let known = Flows::Known(KNOWN_FLOWS);
    for round in 0..ROUNDS {
        for (at, bare, thread) in [(0, &single, bare::SINGLE), (1, &batched, bare::BATCHED)] {
            let forwarded = || bare.forwarded.load(Ordering::Relaxed);
            samples[at].push(sample(bare.addr, known, thread, forwarded)?);
        }
        let forwarded = || daemon.counters().forwarded();
        samples[2].push(sample(daemon.listen(), known, "receive", forwarded)?);
        let new = Flows::New(NEW_STEP * (round + 1));
        samples[3].push(sample(daemon.listen(), new, "receive", forwarded)?);
    }
    println!("### One receiving thread over sockets, median of {ROUNDS} rounds\n");
    println!(
        "| Forwarder | CPU ns/packet | packets/s | speed relative to bare | speed relative to batched bare |"
    );
    println!("|---|---|---|---|---|");
    let names = ["bare", "bare, batched", "known flows", "new flows"];
    let ns = |samples: &[Sample]| cpu::median(samples.iter().map(|s| s.ns).collect());
    let (single_ns, batched_ns) = (ns(&samples[0]), ns(&samples[1]));
    for (name, samples) in names.iter().zip(&samples) {
        let ns = ns(samples);
        let rate = cpu::median(samples.iter().map(|s| s.per_second).collect());
        let (single, batched) = (single_ns / ns, batched_ns / ns);
        println!("| {name} | {ns:.0} | {rate:.0} | {single:.2} | {batched:.2} |");
    }
    println!();
    Ok(())
}

fn sample(
    to: SocketAddr,
    flows: Flows,
    threads: &str,
    forwarded: impl Fn() -> u64,
) -> std::io::Result<Sample> {
    let (packets, cpu, start) = (forwarded(), cpu::threads_ns(threads), Instant::now());
    flood::run(to, flows, TIME)?;
    let packets = (forwarded() - packets).max(1) as f64;
    Ok(Sample {
        ns: (cpu::threads_ns(threads) - cpu) as f64 / packets,
        per_second: packets / start.elapsed().as_secs_f64(),
    })
}
