//! Prints request rates of 6, 60 and 600 followers around a platform outage,
//! simulated in virtual time, as a Markdown table.

#[path = "../tests/common/herd.rs"]
mod herd;

use std::time::Duration;

use herd::{Scenario, Stats, run};
use sequoiatrail_platform::Outage;

fn main() {
    print_outages();
    println!();
    print_changes();
}

/// Frequent table changes, without an outage.
fn print_changes() {
    println!("| a change every ms | followers | calls a second | in force after ms |");
    println!("| ---: | ---: | ---: | ---: |");
    for change_every in [48_000, 1_000, 100] {
        for followers in [6, 60, 600] {
            let stats = run(Scenario {
                followers,
                change_every: Duration::from_millis(change_every),
                ..Scenario::default()
            });
            let Stats {
                steady_peak,
                change_ms,
                ..
            } = stats;
            println!("| {change_every} | {followers} | {steady_peak} | {change_ms} |");
        }
    }
}

/// An outage and the recovery from it.
fn print_outages() {
    println!(
        "| waits | outage | history | followers | steady | away | return | return, 100 ms | over rate | in force after ms |"
    );
    println!("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for naive in [true, false] {
        for outage in [Outage::Refuse, Outage::Hang] {
            for expire in [false, true] {
                for followers in [6, 60, 600] {
                    print_line(Scenario {
                        followers,
                        outage,
                        expire,
                        naive,
                        ..Scenario::default()
                    });
                }
            }
        }
    }
}

fn print_line(scenario: Scenario) {
    let stats = run(scenario);
    let waits = if scenario.naive {
        "fixed 1 s"
    } else {
        "jittered"
    };
    let history = if scenario.expire { "expired" } else { "kept" };
    println!(
        "| {waits} | {} | {history} | {} | {} | {} | {} | {} | {} | {} |",
        scenario.outage,
        scenario.followers,
        stats.steady_peak,
        stats.outage_peak,
        stats.recovery_peak,
        stats.recovery_burst,
        stats.over_rate,
        stats.recovery_ms,
    );
}
