//! Randomized fault soak: real balancer processes, callers and targets on
//! loopback, faults from outside, and the promises checked while it runs.
//!
//! A seed gives the schedule of faults; a failure names its seed, and the logs
//! of its processes stay where the last line says.

mod balancers;
mod callers;
mod error;
mod proxy;
mod run;
mod schedule;
mod targets;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::{Matches, Options};

use crate::error::Result;
use crate::run::{Report, Run, Settings};

/// Exit code if a promise was broken.
const EXIT_BROKEN: u8 = 1;
/// Exit code for a wrong command line, or if a run could not be made.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    let opts = options();
    let matches = match opts.parse(std::env::args_os().skip(1)) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("sequoiatrail-soak: {e}");
            return EXIT_FAILED.into();
        }
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage("Usage: sequoiatrail-soak [options]"));
        return ExitCode::SUCCESS;
    }
    match soak(&matches) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => EXIT_BROKEN.into(),
        Err(e) => {
            eprintln!("sequoiatrail-soak: {e}");
            EXIT_FAILED.into()
        }
    }
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("", "seed", "first seed (1)", "N");
    opts.optopt("", "seeds", "seeds to play, one after the other (1)", "N");
    opts.optopt("", "seconds", "time of faults of each seed (15)", "S");
    opts.optopt("", "balancers", "balancer processes (4)", "N");
    opts.optopt("", "program", "the balancer (beside this program)", "FILE");
    opts.optflag("h", "help", "print this help");
    opts
}

/// Plays the seeds; returns how many broke a promise.
fn soak(matches: &Matches) -> Result<u64> {
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| error::Error::Option {
            name: name.to_owned(),
            text,
        }),
    };
    let first = number("seed", 1)?;
    let seeds = number("seeds", 1)?;
    let settings = Settings {
        faults_for: Duration::from_secs(number("seconds", 15)?),
        balancers: number("balancers", 4)? as usize,
        program: program(matches),
    };
    let mut broken = 0;
    for seed in first..first + seeds {
        let report = Run::play(seed, &settings)?;
        print(seed, &report);
        broken += u64::from(!report.broken.is_empty());
    }
    println!("{} passed, {broken} failed", seeds - broken);
    Ok(broken)
}

fn program(matches: &Matches) -> PathBuf {
    if let Some(file) = matches.opt_str("program") {
        return file.into();
    }
    let beside = std::env::current_exe().unwrap_or_default();
    beside.with_file_name("sequoiatraild")
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
    if report.broken.is_empty() {
        return;
    }
    for step in &report.steps {
        println!("  {step}");
    }
    for broken in &report.broken {
        println!("  BROKEN: {broken}");
    }
    println!("  logs: {}", report.logs.display());
}
