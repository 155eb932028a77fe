//! Targets are replaced one after the other while open connections to the store go silent.
//! Counts the flows that reach a draining target later than the rule DRAIN allows.

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

/// Bounds of vunica-zg: `drain_timeout_ms` and `settle_window_ms`.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);
const SETTLE_WINDOW: Duration = Duration::from_millis(4_000);
/// Tolerance for the threads of the stand-ins.
const MARGIN: Duration = Duration::from_millis(100);
/// How long a leaving target goes on after its drain was acknowledged: the drain timeout
/// and a little longer.
const LEAVES_AFTER: Duration = Duration::from_millis(4_800);
/// Time that a request takes at a target.
const WORK: Duration = Duration::from_millis(150);
const ROUNDS: u64 = 6;
const ZONES: [&str; 2] = ["z-a", "z-b"];
const BALANCERS: u8 = 4;

fn zone_of(n: u8) -> &'static str {
    ZONES[usize::from(n) % 2]
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    open_record(&Path::new(&folder).join("record.txt"));
    let net = Net::pick();
    let dir = temporary_folder("late-to-drain");
    let store = Store::start(&net);
    let seen = Arc::new(Seen::default());
    let route = std::net::SocketAddrV4::new(std::net::Ipv4Addr::new(198, 18, 0, 1), 443);
    let routes = |timeout_ms| {
        [Route { address: route, service: "sessions".into(), kind: "non_idempotent", timeout_ms, goal_ms: 250, priority: 1 }]
    };
    put_manifest(&store, 11, &routes(1_200));
    let start = |n: u8| {
        let id = new_id();
        let target = Target::start(&net, n, id, "sessions", zone_of(n), WORK, &seen);
        target.register(&store, "ready");
        target
    };
    let mut targets: Vec<Target> = (120..126).map(start).collect();
    let router = Router::start(&net);
    let bounds = [("max_flow_s", "60"), ("grace_period_s", "6")];
    let mut balancers: Vec<Balancer> = (1..=BALANCERS)
        .map(|n| Balancer::new(&net, &dir, n, zone_of(n), &[1, 2, 3], &bounds))
        .collect();
    for balancer in &mut balancers {
        balancer.start();
        router.add(balancer.number, &balancer.zone);
    }
    if !router.wait_for(usize::from(BALANCERS), Duration::from_secs(15)) {
        say("the balancers never became ready");
        balancers.clear();
        std::process::exit(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<HashMap<u64, Outcome>>> = Arc::default();
    let addresses: Vec<_> = (0..8u8).map(|n| Client::start(&net, 201 + n, zone_of(n), &router)).collect();
    let threads: Vec<_> = (0..32u64)
        .map(|n| {
            let client = Arc::clone(&addresses[n as usize % addresses.len()]);
            let (stop, outcomes) = (Arc::clone(&stop), Arc::clone(&outcomes));
            thread::spawn(move || {
                let mut id = n << 32;
                while !stop.load(Ordering::Acquire) {
                    id += 1;
                    let outcome = client.open(route).map(|mut flow| {
                        let outcome = flow.request("POST", id, ms(1_500));
                        flow.close();
                        outcome
                    });
                    lock(&outcomes).insert(id, outcome.unwrap_or_else(|o| o));
                    thread::sleep(ms(100));
                }
            })
        })
        .collect();
    thread::sleep(ms(4_000));
    let (mut late, mut late_runs) = (0, Vec::new());
    for round in 0..ROUNDS {
        // The operator writes a manifest while the replacement of a target starts.
        put_manifest(&store, 20 + 3 * round, &routes(1_200 + round as u32));
        targets.push(start(126 + round as u8));
        thread::sleep(ms(1_300));
        let silent_at = trouble().then(|| store.silence_open_connections());
        if silent_at.is_some() {
            record("TROUBLE: open connections to the store are silent from now on, new ones work");
        }
        thread::sleep(ms(100));
        let mut leaving = targets.remove(0);
        let acked = leaving.register(&store, "draining");
        thread::sleep(LEAVES_AFTER);
        leaving.stop();
        store.delete("servers", &leaving.entry_name());
        let in_touch = silent_at.map_or(acked, |at| at + SETTLE_WINDOW);
        let allowed = (acked + DRAIN_TIMEOUT).max(in_touch) + MARGIN;
        let name = leaving.name();
        let opened = lock(&seen.opened).clone();
        let late_here: Vec<_> = opened.iter().filter(|o| o.target == name && o.syn_at > allowed).collect();
        for o in &late_here {
            record(&format!(
                "LATE: {} opened a flow at {} through {}: opening packet at {} ms, {} ms after the ack{}",
                o.client, o.target, o.via, at_ms(o.syn_at), (o.syn_at - acked).as_millis(),
                silent_at.map_or(String::new(), |at| format!(", {} ms after the silence began", (o.syn_at - at).as_millis()))
            ));
        }
        let runs = lock(&seen.runs).clone();
        let runs = runs.into_iter().filter(|r| r.target == name && late_here.iter().any(|o| o.client == r.client));
        let runs: Vec<u64> = runs.map(|r| r.request).collect();
        say(&format!("round {round}: {} flows reached the draining target too late, {} requests ran there on them", late_here.len(), runs.len()));
        late += late_here.len();
        late_runs.extend(runs);
        thread::sleep(ms(2_500));
    }
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let outcomes = lock(&outcomes);
    let served = outcomes.values().filter(|o| **o == Outcome::Served).count();
    let lost: Vec<_> = late_runs.iter().filter(|id| outcomes.get(id) != Some(&Outcome::Served)).collect();
    for id in &lost {
        record(&format!("LOST: request {id} ran at a draining target on a late flow and was never answered: {:?}", outcomes.get(id)));
    }
    say(&format!(
        "{} requests, served {served}, corrupt packets {}; late flows {late}, requests that ran on them and were never answered {}",
        outcomes.len(), seen.corrupt.load(Ordering::Relaxed), lost.len()
    ));
    balancers.clear();
    let keep = std::env::var("KEEP_LOGS").is_ok();
    if keep { say(&format!("logs in {}", dir.display())); } else { let _ = std::fs::remove_dir_all(&dir); }
    let broken = late > 0;
    say(if broken { "DRAIN is broken" } else { "DRAIN held" });
    std::process::exit(i32::from(broken));
}
