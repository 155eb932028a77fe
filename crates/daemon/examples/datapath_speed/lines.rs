//! Cost of logging routing decisions in the receiving thread.

use std::error::Error;
use std::fs::OpenOptions;
use std::net::UdpSocket;
use std::time::Duration;

use sequoiatrail_events::{Format, Log, LogConfig, LogLevel};

use crate::cpu;
use crate::flood::{self, Flows};
use crate::sockets::daemon;

/// Number of rounds; the median is reported.
const ROUNDS: u32 = 5;
/// Duration of one measurement.
const TIME: Duration = Duration::from_millis(400);
/// Distance between the first flow numbers of consecutive rounds.
const NEW_STEP: u32 = 4_000_000;

/// Prints the CPU time per new flow without logging, with one line per 100 flows, and
/// with one line per flow.
pub fn measure() -> Result<(), Box<dyn Error>> {
    println!("### Log lines on new flows, one receiving thread, median of {ROUNDS} rounds\n");
    println!("| Log | CPU ns/packet | lines/packet | dropped lines/packet |\n|---|---|---|---|");
    let cases = [
        ("level info, no lines", LogLevel::Info, 1),
        ("level debug, 1 in 100", LogLevel::Debug, 100),
        ("level debug, all", LogLevel::Debug, 1),
    ];
    for (name, level, every) in cases {
        let sink = UdpSocket::bind("127.0.0.1:0")?;
        let null = OpenOptions::new().write(true).open("/dev/null")?;
        let cfg = LogConfig {
            level,
            format: Format::Json,
            ..LogConfig::default()
        };
        let log = Log::to_writer(&cfg, Box::new(null));
        let daemon = daemon(sink.local_addr()?, log.clone(), |settings| {
            settings.log.sample_placements = every;
        })?;
        let mut times = Vec::new();
        let (first, dropped) = (daemon.counters().forwarded(), log.dropped());
        for round in 0..ROUNDS {
            let (packets, start) = (daemon.counters().forwarded(), cpu::threads_ns("receive"));
            flood::run(daemon.listen(), Flows::New(NEW_STEP * (round + 1)), TIME)?;
            let packets = (daemon.counters().forwarded() - packets).max(1) as f64;
            times.push((cpu::threads_ns("receive") - start) as f64 / packets);
        }
        let packets = (daemon.counters().forwarded() - first) as f64;
        let dropped = (log.dropped() - dropped) as f64 / packets;
        let lines = if level == LogLevel::Debug {
            1.0 / every as f64
        } else {
            0.0
        };
        println!(
            "| {name} | {:.0} | {lines:.2} | {dropped:.2} |",
            cpu::median(times)
        );
    }
    println!();
    Ok(())
}
