//! Plays a small deployment around the project's own processes, for one case of the review.
//!
//! Usage: `stand-in CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With `TROUBLE=0` the disruption is left out.

mod balancer;
mod cases;
mod client;
mod packet;
mod router;
mod store;
mod store_cases;
mod target;
mod template;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "unreadable-entry" => cases::unreadable_entry(trouble, record),
        "large-entries" => store_cases::large_entries(trouble, record),
        "many-entries" => store_cases::many_entries(trouble, record),
        "silent-connections" => store_cases::silent_connections(trouble, record),
        "cut-watches" => store_cases::cut_watches(trouble, record),
        "cold-targets" => cases::cold_targets(trouble, record),
        "same-id" => cases::same_id(trouble, record),
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
