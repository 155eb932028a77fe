//! What log lines on routing decisions cost the thread that decides.

use std::error::Error;
use std::fs::OpenOptions;
use std::net::UdpSocket;
use std::time::Duration;

use sequoiatrail_events::{Format, Log, LogConfig, LogLevel};

use crate::cpu;
use crate::flood::{self, Flows};
use crate::sockets::daemon;

/// Rounds; the median counts.
const ROUNDS: u32 = 5;
/// Length of one measurement.
const TIME: Duration = Duration::from_millis(400);
/// Numbers left between the new flows of two rounds.
const NEW_STEP: u32 = 4_000_000;

/// Prints time a new flow with one line for each, for one of 100, and without.
pub fn measure() -> Result<(), Box<dyn Error>> {
    println!("### Log lines on new flows, one receiving thread, median of {ROUNDS} rounds\n");
    println!(
        "| Log | ns of processor a packet | lines a packet | dropped a packet |\n|---|---|---|---|"
    );
    let cases = [
        ("level info: no line", LogLevel::Info, 1),
        ("level debug, one of 100", LogLevel::Debug, 100),
        ("level debug, each", LogLevel::Debug, 1),
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
            let (packets, start) = (daemon.counters().forwarded(), cpu::of_threads("receive"));
            flood::run(daemon.listen(), Flows::New(NEW_STEP * (round + 1)), TIME)?;
            let packets = (daemon.counters().forwarded() - packets).max(1) as f64;
            times.push((cpu::of_threads("receive") - start) as f64 / packets);
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
