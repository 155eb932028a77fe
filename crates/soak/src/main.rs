//! Randomized fault soak: runs real balancer processes, clients and targets on
//! loopback, injects faults from outside and checks the invariants meanwhile.
//!
//! The seed determines the schedule of faults. On a failure the report names the
//! seed and the directory that keeps the logs of the processes.

mod balancers;
mod clients;
mod copies;
mod error;
mod proxy;
mod run;
mod schedule;
mod targets;
mod upgrade;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::{Matches, Options};

use crate::error::Result;
use crate::run::{Report, Run, Settings};

/// Exit code if an invariant was violated.
const EXIT_VIOLATION: u8 = 1;
/// Exit code for an invalid command line or a run that could not be set up.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    let opts = options();
    let matches = match opts.parse(std::env::args_os().skip(1)) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("sequoiatrail-soak: {e}");
            return EXIT_ERROR.into();
        }
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage("Usage: sequoiatrail-soak [options]"));
        return ExitCode::SUCCESS;
    }
    match soak(&matches) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => EXIT_VIOLATION.into(),
        Err(e) => {
            eprintln!("sequoiatrail-soak: {e}");
            EXIT_ERROR.into()
        }
    }
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("", "seed", "first seed (1)", "N");
    opts.optopt("", "seeds", "number of seeds to run in sequence (1)", "N");
    opts.optopt(
        "",
        "seconds",
        "duration of the faults per seed, in seconds (15)",
        "S",
    );
    opts.optopt("", "balancers", "balancer processes (4)", "N");
    opts.optopt(
        "",
        "program",
        "balancer executable (next to this program)",
        "FILE",
    );
    opts.optopt(
        "",
        "old-binary",
        "older balancer executable, which all start with and which is replaced, forth and halfway back",
        "FILE",
    );
    opts.optflag("h", "help", "print this help");
    opts
}

/// Runs the seeds; returns how many violated an invariant.
fn soak(matches: &Matches) -> Result<u64> {
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| error::Error::Option {
            name: name.to_owned(),
            text,
        }),
    };
    let first_seed = number("seed", 1)?;
    let seeds = number("seeds", 1)?;
    let settings = Settings {
        faults_for: Duration::from_secs(number("seconds", 15)?),
        balancers: number("balancers", 4)? as usize,
        program: program(matches),
        old_program: matches.opt_str("old-binary").map(PathBuf::from),
    };
    let mut failed = 0;
    for seed in first_seed..first_seed + seeds {
        let report = Run::execute(seed, &settings)?;
        print(seed, &report);
        failed += u64::from(!report.violations.is_empty());
    }
    println!("{} passed, {failed} failed", seeds - failed);
    Ok(failed)
}

fn program(matches: &Matches) -> PathBuf {
    if let Some(file) = matches.opt_str("program") {
        return file.into();
    }
    let exe = std::env::current_exe().unwrap_or_default();
    exe.with_file_name("sequoiatraild")
}

fn print(seed: u64, report: &Report) {
    println!(
        "seed {seed}: {} steps ({}), {} answered, {} reset, {} timed out",
        report.steps.len(),
        if report.planned {
            "planned work only"
        } else {
            "faults"
        },
        report.answered,
        report.reset,
        report.timed_out,
    );
    if report.violations.is_empty() {
        return;
    }
    for step in &report.steps {
        println!("  {step}");
    }
    for violation in &report.violations {
        println!("  BROKEN: {violation}");
    }
    println!("  logs: {}", report.logs.display());
}
