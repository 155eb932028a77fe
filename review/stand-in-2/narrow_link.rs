//! Manifests with many routes come in quick succession, and the machines' links are narrow.
//! Nothing fails, and no link is harmed.

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// `config_apply_ms` of varnapot-lb-grown.
const CONFIG_APPLY: Duration = Duration::from_millis(5_000);
/// Tolerance for the threads of the stand-ins.
const MARGIN: Duration = Duration::from_millis(200);
/// Bytes per second of a link of 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// The storm of manifests, as on the day scale-2 of vunica-zg.
const STORM: Duration = Duration::from_millis(1_500);
const STORM_GAP: Duration = Duration::from_millis(60);
/// Late refusals that the record names one by one.
const MAX_LINES: usize = 200;
const WATCHED: Duration = Duration::from_secs(30);
const ZONES: [&str; 2] = ["z-a", "z-b"];
const BALANCERS: u8 = 4;

fn zone_of(n: u8) -> &'static str {
    ZONES[usize::from(n) % 2]
}

/// Routes that see no traffic: 240, and twice 1,400 that `big_config` has added.
fn idle_routes() -> u16 {
    std::env::var("IDLE_ROUTES").ok().and_then(|v| v.parse().ok()).unwrap_or(3_040)
}

struct Attempt {
    route: SocketAddrV4,
    sent_at: Instant,
    outcome: Outcome,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    open_record(&Path::new(&folder).join("record.txt"));
    let net = Net::pick();
    let dir = temporary_folder("narrow-link");
    let store = Store::start(&net);
    store.bytes_per_s.store(LINK_BYTES_PER_S, Ordering::Relaxed);
    let seen = Arc::new(Seen::default());
    let route = |address: SocketAddrV4| Route {
        address,
        service: "sessions".into(),
        kind: "non_idempotent",
        timeout_ms: 2_000,
        goal_ms: 500,
        priority: 1,
    };
    let used = |n: u16| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443 + n);
    let mut routes = vec![route(used(0))];
    routes.extend((0..idle_routes()).map(|n| {
        let ip = Ipv4Addr::new(198, 18, 1 + (n / 250) as u8, 1 + (n % 250) as u8);
        route(SocketAddrV4::new(ip, 8_443))
    }));
    put_manifest(&store, 11, &routes);
    let start = |n: u8| {
        let target = Target::start(&net, n, new_id(), "sessions", zone_of(n), ms(20), &seen);
        target.register(&store, "ready");
        target
    };
    let targets: Vec<Target> = (120..126).map(start).collect();
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
    let in_force = Arc::new(Mutex::new(vec![used(0)]));
    let stop = Arc::new(AtomicBool::new(false));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let addresses: Vec<_> = (0..8u8).map(|n| Client::start(&net, 201 + n, zone_of(n), &router)).collect();
    let threads: Vec<_> = (0..16u64)
        .map(|n| {
            let client = Arc::clone(&addresses[n as usize % addresses.len()]);
            let (stop, attempts, in_force) = (Arc::clone(&stop), Arc::clone(&attempts), Arc::clone(&in_force));
            thread::spawn(move || {
                let mut id = n << 32;
                while !stop.load(Ordering::Acquire) {
                    id += 1;
                    let route = {
                        let routes = lock(&in_force);
                        routes[id as usize % routes.len()]
                    };
                    let sent_at = Instant::now();
                    let outcome = client.open(route).map(|mut flow| {
                        let outcome = flow.request("POST", id, ms(2_000));
                        flow.close();
                        outcome
                    });
                    let outcome = outcome.unwrap_or_else(|o| o);
                    lock(&attempts).push(Attempt { route, sent_at, outcome });
                    thread::sleep(ms(50));
                }
            })
        })
        .collect();
    thread::sleep(ms(4_000));
    // Each version adds a route; without the storm there is one version with all of them.
    let versions = (STORM.as_millis() / STORM_GAP.as_millis()) as u16;
    let mut acked: HashMap<SocketAddrV4, Instant> = HashMap::new();
    let begin = Instant::now();
    if trouble() {
        record("TROUBLE: manifests come in quick succession");
    }
    for n in 1..=versions {
        routes.insert(0, route(used(n)));
        if !trouble() && n < versions {
            continue;
        }
        let at = put_manifest(&store, 20 + 3 * u64::from(n), &routes);
        for n in 1..=n {
            acked.entry(used(n)).or_insert(at);
        }
        let mut in_force = lock(&in_force);
        *in_force = (0..=n).map(used).collect();
        drop(in_force);
        let next = begin + STORM_GAP * u32::from(n);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    thread::sleep(WATCHED);
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let attempts = lock(&attempts);
    let is_late = |a: &&Attempt| acked.get(&a.route).is_some_and(|at| a.sent_at > *at + CONFIG_APPLY + MARGIN);
    let late: Vec<_> = attempts.iter().filter(is_late).collect();
    let refused: Vec<_> = late.iter().filter(|a| a.outcome == Outcome::ResetByBalancer).collect();
    for a in refused.iter().take(MAX_LINES) {
        record(&format!(
            "REFUSED: a flow to {} whose opening packet was sent at {} ms, {} ms after its route was acknowledged",
            a.route, at_ms(a.sent_at), (a.sent_at - acked[&a.route]).as_millis()
        ));
    }
    let last = refused.iter().map(|a| (a.sent_at - acked[&a.route]).as_millis()).max().unwrap_or(0);
    let served = attempts.iter().filter(|a| a.outcome == Outcome::Served).count();
    say(&format!(
        "{} requests, served {served}; {} sent later than {} ms after the ack of their route, {} of them refused for want of it, the last {last} ms after the ack",
        attempts.len(), late.len(), CONFIG_APPLY.as_millis(), refused.len()
    ));
    record_traffic(&seen);
    balancers.clear();
    drop(targets);
    if std::env::var("KEEP_LOGS").is_ok() {
        say(&format!("logs in {}", dir.display()));
    } else {
        let _ = std::fs::remove_dir_all(&dir);
    }
    say(if refused.is_empty() { "CONFIG held" } else { "CONFIG is broken" });
    std::process::exit(i32::from(!refused.is_empty()));
}
