//! A deployment with as many targets as the users' first letter names. Then all processes of
//! the system are killed and start again.

#[path = "common.rs"]
mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// `recovery_s` of vunica-zg.
const RECOVERY: Duration = Duration::from_secs(12);
const ZONES: [&str; 2] = ["z-a", "z-b"];
const BALANCERS: u8 = 4;

fn zone_of(n: u8) -> &'static str {
    ZONES[usize::from(n) % 2]
}

/// Registered targets of a service to which nobody sends.
fn idle_targets() -> usize {
    std::env::var("IDLE_TARGETS").ok().and_then(|v| v.parse().ok()).unwrap_or(25_000)
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    open_record(&Path::new(&folder).join("record.txt"));
    let net = Net::pick();
    let dir = temporary_folder("many-targets");
    let store = Store::start(&net);
    if let Some(page) = std::env::var("PAGE").ok().and_then(|v| v.parse().ok()) {
        store.page.store(page, Ordering::Relaxed);
    }
    let seen = Arc::new(Seen::default());
    let address = |n: u16| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443 + n);
    let route = |n: u16, service: &str| Route {
        address: address(n),
        service: service.into(),
        kind: "idempotent",
        timeout_ms: 1_200,
        goal_ms: 200,
        priority: 2,
    };
    put_manifest(&store, 11, &[route(0, "sessions"), route(1, "archive")]);
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
    let stop = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<Vec<(Instant, Outcome)>>> = Arc::default();
    let threads: Vec<_> = (0..8u8)
        .map(|n| {
            let client = Client::start(&net, 201 + n, zone_of(n), &router);
            let (stop, results) = (Arc::clone(&stop), Arc::clone(&results));
            thread::spawn(move || {
                let mut id = u64::from(n) << 32;
                while !stop.load(Ordering::Acquire) {
                    id += 1;
                    let sent_at = Instant::now();
                    let outcome = client.open(address(0)).map(|mut flow| {
                        let outcome = flow.request("GET", id, ms(1_200));
                        flow.close();
                        outcome
                    });
                    lock(&results).push((sent_at, outcome.unwrap_or_else(|o| o)));
                    thread::sleep(ms(20));
                }
            })
        })
        .collect();
    let count = idle_targets();
    for n in 0..count {
        let (host, port) = (net.ip(220 + (n % 8) as u8), 30_000 + (n % 20_000));
        let spec = format!(
            "{{\"service\":\"archive\",\"address\":\"{host}:{port}\",\"zone\":\"{}\",\"version\":\"v1\",\"max_concurrent_requests\":2,\"lifecycle_state\":\"ready\",\"warmup_remaining_ms\":0,\"sequence\":1}}",
            ZONES[n % 2]
        );
        store.put("servers", &format!("i-{:08x}", new_id()), spec.as_bytes());
        if n % 100 == 99 {
            thread::sleep(ms(40));
        }
    }
    say(&format!("{count} further targets have registered"));
    thread::sleep(ms(8_000));
    let fault_at = Instant::now();
    if trouble() {
        record("TROUBLE: all processes are killed");
        for balancer in &mut balancers {
            balancer.kill();
        }
        thread::sleep(ms(1_000));
        for balancer in &mut balancers {
            balancer.start();
        }
    }
    let back_at = Instant::now();
    let lists = store.lists.load(Ordering::Relaxed);
    thread::sleep(RECOVERY + ms(20_000));
    say(&format!("{} calls to list since the processes are back", store.lists.load(Ordering::Relaxed) - lists));
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let results = lock(&results);
    let share = |from: Instant, to: Instant| {
        let span: Vec<_> = results.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        (span.iter().filter(|(_, o)| *o == Outcome::Served).count(), span.len())
    };
    let before = share(fault_at - ms(5_000), fault_at);
    let after = share(back_at + RECOVERY, Instant::now());
    say(&format!("served in the 5 s before: {} of {}", before.0, before.1));
    say(&format!("served of those sent later than {} s after the processes were back: {} of {}", RECOVERY.as_secs(), after.0, after.1));
    let ready = balancers.iter().filter(|b| b.is_ready()).count();
    say(&format!("balancers that report ready at the end: {ready} of {BALANCERS}"));
    balancers.clear();
    drop(targets);
    if std::env::var("KEEP_LOGS").is_ok() {
        say(&format!("logs in {}", dir.display()));
    } else {
        let _ = std::fs::remove_dir_all(&dir);
    }
    let broken = after.0 * 4 < after.1 && before.0 * 4 >= before.1;
    say(if broken { "RECOVER is broken" } else { "RECOVER held" });
    std::process::exit(i32::from(broken));
}
