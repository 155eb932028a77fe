//! Benchmarks of the data path against a baseline forwarder, and of the decision core.
//!
//! `cargo run --release -p sequoiatrail-daemon --example datapath_speed` prints
//! Markdown tables. Times are CPU times of the working threads, read from
//! `/proc/self/task/*/schedstat` to reduce the influence of other load; the
//! baseline forwarder and the balancer alternate in the same run.

mod bare;
mod cores;
mod cpu;
mod flood;
mod lines;
mod packets;
mod sockets;

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let wanted = |name: &str| selected.is_empty() || selected.iter().any(|s| s == name);
    if wanted("sockets") {
        sockets::measure()?;
    }
    if wanted("flows") {
        cores::measure_flows();
    }
    if wanted("threads") {
        cores::measure_threads();
    }
    if wanted("lines") {
        lines::measure()?;
    }
    Ok(())
}
