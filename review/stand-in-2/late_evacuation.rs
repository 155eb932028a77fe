//! A zone is evacuated while open connections to the store are silent. Counts the flows that
//! reach its targets later than the rule EVAC allows.

#[path = "common.rs"]
mod common;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use common::*;

/// Bounds of tazauy-lb-now-grown: `evacuation_ms` and `settle_window_ms`.
const EVACUATION: Duration = Duration::from_millis(5_000);
const SETTLE_WINDOW: Duration = Duration::from_millis(5_000);
/// Tolerance for the threads of the stand-ins.
const MARGIN: Duration = Duration::from_millis(100);
const ROUNDS: usize = 6;
const ZONES: [&str; 2] = ["z-a", "z-b"];
const BALANCERS: u8 = 4;

fn zone_of(n: u8) -> &'static str {
    ZONES[usize::from(n) % 2]
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    open_record(&Path::new(&folder).join("record.txt"));
    let net = Net::pick();
    let dir = temporary_folder("late-evacuation");
    let store = Store::start(&net);
    let seen = Arc::new(Seen::default());
    let route = std::net::SocketAddrV4::new(std::net::Ipv4Addr::new(198, 18, 0, 1), 443);
    let routes = |timeout_ms| {
        [Route { address: route, service: "sessions".into(), kind: "non_idempotent", timeout_ms, goal_ms: 400, priority: 1 }]
    };
    put_manifest(&store, 11, &routes(2_500));
    let targets: Vec<Target> = (120..128)
        .map(|n| {
            let target = Target::start(&net, n, new_id(), "sessions", zone_of(n), ms(20), &seen);
            target.register(&store, "ready");
            target
        })
        .collect();
    let router = Router::start(&net);
    let bounds = [("max_flow_s", "60"), ("grace_period_s", "6"), ("evacuation_ms", "5000")];
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
    let (served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let threads: Vec<_> = (0..8u8)
        .map(|n| {
            let client = Client::start(&net, 201 + n, zone_of(n), &router);
            let (stop, served, other) = (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&other));
            thread::spawn(move || {
                let mut id = u64::from(n) << 32;
                while !stop.load(Ordering::Acquire) {
                    id += 1;
                    let outcome = client.open(route).map(|mut flow| {
                        let outcome = flow.request("POST", id, ms(2_500));
                        flow.close();
                        outcome
                    });
                    match outcome.unwrap_or_else(|o| o) {
                        Outcome::Served => served.fetch_add(1, Ordering::Relaxed),
                        _ => other.fetch_add(1, Ordering::Relaxed),
                    };
                    thread::sleep(ms(20));
                }
            })
        })
        .collect();
    thread::sleep(ms(2_000));
    store.put("evacuations", ZONES[1], b"{}");
    thread::sleep(ms(3_000));
    let mut late = 0;
    for round in 0..ROUNDS {
        let zone = ZONES[round % 2];
        // The operator takes the other zone back and writes a manifest.
        store.delete("evacuations", ZONES[(round + 1) % 2]);
        put_manifest(&store, 20 + 3 * round as u64, &routes(2_500 + round as u32));
        record(&format!("operator: zone {} is taken back", ZONES[(round + 1) % 2]));
        thread::sleep(ms(700));
        let silent_at = trouble().then(|| store.silence_open_connections());
        if silent_at.is_some() {
            record("TROUBLE: open connections to the store are silent from now on, new ones work");
        }
        thread::sleep(ms(100));
        let acked = store.put("evacuations", zone, b"{}");
        record(&format!("operator: the evacuation of {zone} is acknowledged"));
        thread::sleep(ms(9_200));
        let in_touch = silent_at.map_or(acked, |at| at + SETTLE_WINDOW);
        let allowed = (acked + EVACUATION).max(in_touch) + MARGIN;
        let of_zone: Vec<String> = targets.iter().filter(|t| t.zone == zone).map(Target::name).collect();
        let opened = lock(&seen.opened).clone();
        let late_here: Vec<_> = opened.iter().filter(|o| of_zone.contains(&o.target) && o.syn_at > allowed).collect();
        for o in &late_here {
            record(&format!(
                "LATE: {} opened a flow at {} in {zone} through {}, {} ms after the ack{}",
                o.client, o.target, o.via, (o.syn_at - acked).as_millis(),
                silent_at.map_or(String::new(), |at| format!(", {} ms after the silence began", (o.syn_at - at).as_millis()))
            ));
        }
        say(&format!("round {round}: {} flows reached {zone} too late", late_here.len()));
        late += late_here.len();
    }
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    say(&format!(
        "served {}, not served {}; flows that reached an evacuated zone too late: {late}",
        served.load(Ordering::Relaxed), other.load(Ordering::Relaxed)
    ));
    record_traffic(&seen);
    balancers.clear();
    drop(targets);
    if std::env::var("KEEP_LOGS").is_ok() {
        say(&format!("logs in {}", dir.display()));
    } else {
        let _ = std::fs::remove_dir_all(&dir);
    }
    say(if late > 0 { "EVAC is broken" } else { "EVAC held" });
    std::process::exit(i32::from(late > 0));
}
