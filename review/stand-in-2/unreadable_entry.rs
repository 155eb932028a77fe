//! Another writer leaves an entry of kind `servers` that can't be read. Then a target is
//! drained, and at the end all processes of the system are killed and start again.

#[path = "common.rs"]
mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Bounds of valadares-norte-grown: `drain_timeout_ms` and `recovery_s`.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(5_000);
const RECOVERY: Duration = Duration::from_secs(15);
/// Tolerance for the threads of the stand-ins.
const MARGIN: Duration = Duration::from_millis(100);
const ZONES: [&str; 2] = ["z-a", "z-b"];
const BALANCERS: u8 = 4;

fn zone_of(n: u8) -> &'static str {
    ZONES[usize::from(n) % 2]
}

/// What the other writer wrote into the entry.
fn unreadable(variant: &str) -> Vec<u8> {
    let spec = |service: &[u8], more: &str| {
        let mut spec = b"{\"service\":\"".to_vec();
        spec.extend_from_slice(service);
        spec.extend_from_slice(format!("\",\"address\":\"none\",\"zone\":\"z-a\"{more}}}").as_bytes());
        spec
    };
    match variant {
        // A text that is no Unicode text, in the notation of JSON.
        "surrogate" => spec(b"\\ud83d", ""),
        // The same in Latin-1 bytes.
        "bytes" => spec(b"\xe9t\xe9", ""),
        // A number that no usual type holds.
        "number" => spec(b"other", ",\"warmup_remaining_ms\":1e400"),
        // Lists in lists.
        "nested" => spec(b"other", &format!(",\"version\":{}{}", "[".repeat(200), "]".repeat(200))),
        other => panic!("no variant {other}"),
    }
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let variant = std::env::args().nth(2).unwrap_or_else(|| "surrogate".into());
    open_record(&Path::new(&folder).join("record.txt"));
    let net = Net::pick();
    let dir = temporary_folder("unreadable-entry");
    let store = Store::start(&net);
    let seen = Arc::new(Seen::default());
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    let routes = [Route {
        address: route,
        service: "sessions".into(),
        kind: "idempotent",
        timeout_ms: 1_200,
        goal_ms: 200,
        priority: 2,
    }];
    put_manifest(&store, 11, &routes);
    let start = |n: u8| {
        let target = Target::start(&net, n, new_id(), "sessions", zone_of(n), ms(20), &seen);
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
                    let outcome = client.open(route).map(|mut flow| {
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
    thread::sleep(ms(4_000));
    if trouble() {
        let spec = unreadable(&variant);
        store.put("servers", "i-c0ffee00", &spec);
        record(&format!("TROUBLE: another writer wrote servers/i-c0ffee00: {}", String::from_utf8_lossy(&spec)));
    }
    thread::sleep(ms(2_000));
    let mut leaving = targets.remove(0);
    let acked = leaving.register(&store, "draining");
    thread::sleep(ms(9_000));
    let allowed = acked + DRAIN_TIMEOUT + MARGIN;
    let name = leaving.name();
    let opened = lock(&seen.opened).clone();
    let late: Vec<_> = opened.iter().filter(|o| o.target == name && o.syn_at > allowed).collect();
    for o in &late {
        record(&format!(
            "LATE: {} opened a flow at {} through {}: opening packet at {} ms, {} ms after the ack",
            o.client, o.target, o.via, at_ms(o.syn_at), (o.syn_at - acked).as_millis()
        ));
    }
    let late = late.len();
    say(&format!("{late} flows reached the draining target later than {} ms after the ack", DRAIN_TIMEOUT.as_millis()));
    store.delete("servers", &leaving.entry_name());
    leaving.stop();
    thread::sleep(ms(2_000));
    let fault_at = Instant::now();
    for balancer in &mut balancers {
        balancer.kill();
    }
    thread::sleep(ms(1_000));
    for balancer in &mut balancers {
        balancer.start();
    }
    let back_at = Instant::now();
    thread::sleep(RECOVERY + ms(8_000));
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let results = lock(&results);
    let share = |from: Instant, to: Instant| {
        let span: Vec<_> = results.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        let served = span.iter().filter(|(_, o)| *o == Outcome::Served).count();
        (served, span.len())
    };
    let before = share(acked, fault_at);
    let after = share(back_at + RECOVERY, Instant::now());
    say(&format!("served before the kill: {} of {}", before.0, before.1));
    say(&format!("served of those sent later than {} s after the processes were back: {} of {}", RECOVERY.as_secs(), after.0, after.1));
    let ready = balancers.iter().filter(|b| b.is_ready()).count();
    say(&format!("balancers that report ready at the end: {ready} of {BALANCERS}"));
    balancers.clear();
    if std::env::var("KEEP_LOGS").is_ok() {
        say(&format!("logs in {}", dir.display()));
    } else {
        let _ = std::fs::remove_dir_all(&dir);
    }
    let recover_broken = after.0 * 4 < after.1 && before.0 * 4 >= before.1;
    say(if late > 0 { "DRAIN is broken" } else { "DRAIN held" });
    say(if recover_broken { "RECOVER is broken" } else { "RECOVER held" });
    std::process::exit(i32::from(late > 0 || recover_broken));
}
