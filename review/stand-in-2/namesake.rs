//! Another writer leaves entries whose names end in the digits of targets, and removes them
//! later. The targets' own entries stay as they are.

#[path = "common.rs"]
mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const ZONES: [&str; 2] = ["z-a", "z-b"];
const BALANCERS: u8 = 4;
const TARGETS: u8 = 6;
/// How long a client uses a flow.
const FLOW_TIME: Duration = Duration::from_secs(20);

fn zone_of(n: u8) -> &'static str {
    ZONES[usize::from(n) % 2]
}

struct Reset {
    client: SocketAddrV4,
    opened_at: Instant,
    at: Instant,
    request: Option<u64>,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    open_record(&Path::new(&folder).join("record.txt"));
    let net = Net::pick();
    let dir = temporary_folder("namesake");
    let store = Store::start(&net);
    let seen = Arc::new(Seen::default());
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    let routes = [Route {
        address: route,
        service: "sessions".into(),
        kind: "non_idempotent",
        timeout_ms: 1_500,
        goal_ms: 250,
        priority: 1,
    }];
    put_manifest(&store, 11, &routes);
    let start = |n: u8| {
        let target = Target::start(&net, n, new_id(), "sessions", zone_of(n), ms(60), &seen);
        target.register(&store, "ready");
        target
    };
    let targets: Vec<Target> = (120..120 + TARGETS).map(start).collect();
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
    let resets: Arc<Mutex<Vec<Reset>>> = Arc::default();
    let attempts: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let addresses: Vec<_> = (0..8u8).map(|n| Client::start(&net, 201 + n, zone_of(n), &router)).collect();
    let threads: Vec<_> = (0..32u64)
        .map(|n| {
            let client = Arc::clone(&addresses[n as usize % addresses.len()]);
            let (stop, resets, attempts) = (Arc::clone(&stop), Arc::clone(&resets), Arc::clone(&attempts));
            thread::spawn(move || {
                let mut id = n << 32;
                while !stop.load(Ordering::Acquire) {
                    let Ok(mut flow) = client.open(route) else {
                        lock(&attempts).push((Instant::now(), false));
                        thread::sleep(ms(200));
                        continue;
                    };
                    let until = Instant::now() + FLOW_TIME;
                    while !flow.closed && Instant::now() < until && !stop.load(Ordering::Acquire) {
                        id += 1;
                        let outcome = flow.request("POST", id, ms(1_500));
                        let served = outcome == Outcome::Served;
                        lock(&attempts).push((Instant::now(), served));
                        let failed = match served {
                            true => flow.idle(ms(200)),
                            false => Some(outcome),
                        };
                        let Some(outcome) = failed else { continue };
                        if outcome == Outcome::ResetByBalancer {
                            let request = (!served).then_some(id);
                            let (client, opened_at, at) = (flow.id, flow.opened_at, Instant::now());
                            lock(&resets).push(Reset { client, opened_at, at, request });
                        }
                        break;
                    }
                    flow.close();
                }
            })
        })
        .collect();
    // Two more clients open a flow for each request.
    let fresh: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let fresh_threads: Vec<_> = (0..2u64)
        .map(|n| {
            let client = Arc::clone(&addresses[n as usize]);
            let (stop, fresh) = (Arc::clone(&stop), Arc::clone(&fresh));
            thread::spawn(move || {
                let mut id = (1_000 + n) << 32;
                while !stop.load(Ordering::Acquire) {
                    id += 1;
                    let sent_at = Instant::now();
                    let outcome = client.open(route).map(|mut flow| {
                        let outcome = flow.request("POST", id, ms(1_500));
                        flow.close();
                        outcome
                    });
                    lock(&fresh).push((sent_at, outcome == Ok(Outcome::Served)));
                    thread::sleep(ms(100));
                }
            })
        })
        .collect();
    thread::sleep(ms(5_000));
    let begin = Instant::now();
    let copies: Vec<String> = targets.iter().map(|t| format!("copy-{}", &t.entry_name()[2..])).collect();
    if trouble() {
        for name in &copies {
            store.put("servers", name, b"{\"note\":\"of last night\"}");
            record(&format!("TROUBLE: another writer wrote servers/{name}"));
        }
    }
    thread::sleep(ms(6_000));
    if trouble() {
        for name in &copies {
            store.delete("servers", name);
            record(&format!("TROUBLE: another writer removed servers/{name}"));
        }
    }
    let removed = Instant::now();
    thread::sleep(ms(15_000));
    stop.store(true, Ordering::Release);
    for thread in threads.into_iter().chain(fresh_threads) {
        let _ = thread.join();
    }
    let opened = lock(&seen.opened).clone();
    let runs = lock(&seen.runs).clone();
    let (mut broken, mut lost) = (0, 0);
    for reset in lock(&resets).iter() {
        let near = |o: &&Opened| o.client == reset.client && o.open_at >= reset.opened_at - ms(5) && o.open_at <= reset.at;
        let Some(open) = opened.iter().find(near) else { continue };
        broken += 1;
        lost += u32::from(reset.request.is_some_and(|id| runs.iter().any(|r| r.request == id)));
        record(&format!(
            "RESET: flow {} opened at {} ms at {}, reset by a balancer at {} ms; the target lives",
            reset.client, at_ms(open.open_at), open.target, at_ms(reset.at)
        ));
    }
    let (attempts, fresh) = (lock(&attempts), lock(&fresh));
    let share_of = |all: &[(Instant, bool)], from: Instant, to: Instant| {
        let span: Vec<_> = all.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        (span.iter().filter(|(_, served)| *served).count(), span.len())
    };
    let spans = [(begin - ms(4_000), begin), (begin + ms(3_000), removed), (removed + ms(3_000), Instant::now())];
    for (clients, all) in [("with long flows", &attempts), ("with a flow for each request", &fresh)] {
        let [before, during, after] = spans.map(|(from, to)| share_of(all, from, to));
        say(&format!(
            "clients {clients}: served before: {} of {}; from 3 s after the entries came until they went: {} of {}; later than 3 s after they went: {} of {}",
            before.0, before.1, during.0, during.1, after.0, after.1
        ));
    }
    say(&format!("open flows that a balancer reset although their target lives: {broken}; requests on them that had run and were never answered: {lost}"));
    record_traffic(&seen);
    balancers.clear();
    drop(targets);
    if std::env::var("KEEP_LOGS").is_ok() {
        say(&format!("logs in {}", dir.display()));
    } else {
        let _ = std::fs::remove_dir_all(&dir);
    }
    say(if broken > 0 { "FLOW is broken" } else { "FLOW held" });
    std::process::exit(i32::from(broken > 0));
}
