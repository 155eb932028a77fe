//! Runs the demonstration and exits with its result.

use std::process::ExitCode;

use getopts::Options;
use sequoiatrail_demo::{ClusterConfig, TrafficConfig, run};
use sequoiatrail_events::{Log, LogConfig, LogLevel};

/// Exit code if every check passed.
const EXIT_OK: u8 = 0;
/// Exit code if a check failed or the demonstration could not run.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut opts = Options::new();
    opts.optopt("", "balancers", "number of balancers, at least 2 (3)", "N");
    opts.optopt("", "log", "log level of the balancers (warning)", "LEVEL");
    opts.optflag("h", "help", "print this help");
    let matches = match opts.parse(std::env::args_os().skip(1)) {
        Ok(matches) => matches,
        Err(e) => return usage_error(&e.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage("Usage: sequoiatrail-demo [options]"));
        return EXIT_OK.into();
    }
    let balancers = match matches.opt_get_default("balancers", 3) {
        Ok(n) if n >= 2 => n,
        _ => return usage_error("--balancers needs a number of at least 2"),
    };
    let level = match matches.opt_get_default("log", LogLevel::Warning) {
        Ok(level) => level,
        Err(e) => return usage_error(&format!("--log: {e}")),
    };
    let log = LogConfig {
        level,
        ..LogConfig::default()
    };
    let cfg = ClusterConfig {
        balancers,
        log: Log::to_stderr(&log),
        ..ClusterConfig::default()
    };
    match run(&cfg, TrafficConfig::default(), |line| println!("{line}")) {
        Ok(report) => {
            println!("\n{report}");
            let code = if report.passed() {
                EXIT_OK
            } else {
                EXIT_FAILED
            };
            code.into()
        }
        Err(e) => {
            eprintln!("sequoiatrail-demo: {e}");
            EXIT_FAILED.into()
        }
    }
}

fn usage_error(text: &str) -> ExitCode {
    eprintln!("sequoiatrail-demo: {text}\nTry --help.");
    EXIT_USAGE.into()
}
