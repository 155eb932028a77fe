//! `sequoiatrail-bench`: runs a schedule and reports the measurements.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::{Matches, Options};
use sequoiatrail_bench::{Error, Report, Result, RunOptions, Schedule, compare, plot, run};

/// Exit code for invalid usage or a run that failed.
const EXIT_USAGE: u8 = 2;
/// Exit code for a run with broken flows.
const EXIT_BROKEN: u8 = 1;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let opts = options();
    let matches = match opts.parse(&args) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("sequoiatrail-bench: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") || (matches.free.is_empty() && !matches.opt_present("version")) {
        println!(
            "{}",
            opts.usage("Usage: sequoiatrail-bench [options] SCHEDULE.toml")
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("sequoiatrail-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match execute(&matches) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("sequoiatrail-bench: {e}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("", "balancers", "override the schedule's balancers", "N");
    opts.optflag("", "compare", "compare two results: BEFORE.json AFTER.json");
    opts.optflag("h", "help", "print this help");
    opts.optopt("", "json", "write the result to a file", "FILE");
    opts.optopt("", "plot", "draw imbalance and control bytes", "FILE.svg");
    opts.optflag("q", "quiet", "print no progress");
    opts.optopt("", "scale", "multiply the schedule's flows", "FACTOR");
    opts.optopt("", "seed", "seed of the first run (default 1)", "N");
    opts.optopt("", "seeds", "number of runs, each with the next seed", "N");
    opts.optopt("", "trace", "print the decisions on one flow", "FLOW");
    opts.optflag("V", "version", "print the version");
    opts
}

fn execute(matches: &Matches) -> Result<ExitCode> {
    if matches.opt_present("compare") {
        let [before, after] = matches.free.as_slice() else {
            return Err(usage("--compare needs two results"));
        };
        print!("{}", compare(&read_report(before)?, &read_report(after)?));
        return Ok(ExitCode::SUCCESS);
    }
    let schedule = read_schedule(matches)?;
    let first = number(matches, "seed", 1)?;
    let runs = number(matches, "seeds", 1)?;
    let trace = match matches.opt_present("trace") {
        true => Some(parse(matches, "trace", 0)?),
        false => None,
    };
    let mut broken = 0;
    for seed in first..first + runs {
        let progress = (!matches.opt_present("quiet")).then_some(progress as fn(u64));
        let options = RunOptions {
            seed,
            progress,
            trace,
        };
        let report = run(&schedule, options)?;
        print_report(&report);
        write_outputs(matches, &report)?;
        broken += report.broken_total();
    }
    Ok(ExitCode::from(if broken > 0 { EXIT_BROKEN } else { 0 }))
}

fn progress(second: u64) {
    if second.is_multiple_of(10) {
        eprintln!("{second} s");
    }
}

fn read_schedule(matches: &Matches) -> Result<Schedule> {
    let mut schedule = Schedule::from_toml(&read(&matches.free[0])?)?;
    let balancers = number(matches, "balancers", schedule.balancers as u64)?;
    schedule.balancers = balancers as usize;
    let scale: f64 = parse(matches, "scale", 1.0)?;
    schedule.scale_flows(scale);
    schedule.check()?;
    Ok(schedule)
}

fn number(matches: &Matches, name: &str, default: u64) -> Result<u64> {
    parse(matches, name, default)
}

fn parse<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> Result<T> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| usage(&format!("--{name}: `{text}` is not a number")))
}

fn usage(reason: &str) -> Error {
    Error::Schedule {
        reason: reason.to_owned(),
    }
}

fn read(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File {
        path: PathBuf::from(path),
        source,
    })
}

fn read_report(path: &str) -> Result<Report> {
    serde_json::from_str(&read(path)?).map_err(|source| Error::Json { source })
}

/// Writes the result to the files given by the options.
fn write_outputs(matches: &Matches, report: &Report) -> Result<()> {
    if let Some(path) = matches.opt_str("json") {
        let json = serde_json::to_string_pretty(report).map_err(|source| Error::Json { source })?;
        std::fs::write(&path, json).map_err(|source| Error::File {
            path: PathBuf::from(&path),
            source,
        })?;
    }
    if let Some(path) = matches.opt_str("plot") {
        plot(report, Path::new(&path))?;
    }
    Ok(())
}

fn print_report(report: &Report) {
    println!(
        "{} seed {}: {} flows, {} packets, {} lost, {} refused, {} broken {:?}",
        report.schedule,
        report.seed,
        report.flows,
        report.packets,
        report.packets_lost,
        report.refused,
        report.broken_total(),
        report.broken,
    );
    if !report.broken_flows.is_empty() {
        println!(
            "  broken flows by number {:?}, by second {:?}",
            report.broken_flows, report.broken_at_s
        );
    }
    println!(
        "  late new flows {}, versions fallen {}, imbalance at the end {:.3}",
        report.late_new_flows,
        report.versions_fallen,
        report
            .samples
            .last()
            .map_or(0.0, |s| report.worst_imbalance(s.at_s, f64::INFINITY)),
    );
    println!(
        "  control {:.0} B/s a balancer (worst 10 s {:.0}, worst 1 s {}) {:?}",
        report.control_bytes_s,
        report.control_bytes_10s_max,
        report.control_bytes_s_max,
        rounded(&report.control_bytes_s_by_kind),
    );
    println!(
        "  relayed {:.2}% of packets, {} bytes; decision {} ns median, {} ns p99; {:.1} bytes a flow",
        report.relayed_share * 100.0,
        report.relayed_bytes,
        report.decision_ns.0,
        report.decision_ns.1,
        report.bytes_per_flow,
    );
    for edit in &report.edits {
        println!(
            "  {} at {} s: in force {}, settled {}",
            edit.edit,
            edit.at_s,
            seconds(edit.in_force_s),
            seconds(edit.settled_s),
        );
    }
}

fn rounded(by_kind: &std::collections::BTreeMap<String, f64>) -> Vec<(&str, u64)> {
    by_kind
        .iter()
        .map(|(kind, bytes)| (kind.as_str(), bytes.round() as u64))
        .collect()
}

fn seconds(value: Option<f64>) -> String {
    value.map_or("never".to_owned(), |s| format!("{s:.1} s"))
}
