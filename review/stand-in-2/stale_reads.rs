//! The store's answers to calls with `allow_stale` are seconds old. Meanwhile manifests come
//! in quick succession, each with a new route, and targets are replaced one after the other.

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

/// Bounds of vunica-zg: `config_apply_ms` and `drain_timeout_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Tolerance for the threads of the stand-ins.
const MARGIN: Duration = Duration::from_millis(100);
/// How long a leaving target goes on after its drain was acknowledged.
const LEAVES_AFTER: Duration = Duration::from_millis(6_000);
const ROUNDS: u64 = 5;
/// A manifest follows the last one after this time, for four seconds a round.
const CHANGE_GAP: Duration = Duration::from_millis(330);
const CHANGES: u64 = 12;
/// Every third of these, a target is replaced: one each second.
const CHANGES_PER_TARGET: u64 = 3;
const ZONES: [&str; 2] = ["z-a", "z-b"];
const BALANCERS: u8 = 4;

fn zone_of(n: u8) -> &'static str {
    ZONES[usize::from(n) % 2]
}

/// Age of the data of calls with `allow_stale`, in milliseconds.
fn stale_ms() -> u64 {
    std::env::var("STALE_MS").ok().and_then(|v| v.parse().ok()).unwrap_or(3_000)
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
    let dir = temporary_folder("stale-reads");
    let store = Store::start(&net);
    let seen = Arc::new(Seen::default());
    let address = |n: u64| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443 + n as u16);
    let route = |n: u64| Route {
        address: address(n),
        service: "sessions".into(),
        kind: "non_idempotent",
        timeout_ms: 1_500,
        goal_ms: 250,
        priority: 1,
    };
    let mut routes = vec![route(0)];
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
    let in_force = Arc::new(Mutex::new(vec![address(0)]));
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
                        routes[routes.len() - 1 - (id as usize % routes.len().min(16))]
                    };
                    let sent_at = Instant::now();
                    let outcome = client.open(route).map(|mut flow| {
                        let outcome = flow.request("POST", id, ms(1_500));
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
    if trouble() {
        store.set_stale_by(ms(stale_ms()));
        record(&format!("TROUBLE: calls with allow_stale return data that is {} ms old", stale_ms()));
        thread::sleep(ms(3_000));
    }
    let mut acked: HashMap<SocketAddrV4, Instant> = HashMap::new();
    let mut leaving: Vec<(Instant, Target)> = Vec::new();
    let mut drained: HashMap<String, Instant> = HashMap::new();
    let mut number = 125;
    let leave = |leaving: &mut Vec<(Instant, Target)>| {
        while let Some(at) = leaving.iter().position(|(acked, _)| acked.elapsed() >= LEAVES_AFTER) {
            let (_, mut target) = leaving.remove(at);
            target.stop();
            store.delete("servers", &target.entry_name());
        }
    };
    for round in 0..ROUNDS {
        for change in 0..CHANGES {
            let n = round * CHANGES + change + 1;
            routes.push(route(n));
            let at = put_manifest(&store, 20 + 3 * n, &routes);
            acked.insert(address(n), at);
            lock(&in_force).push(address(n));
            if change % CHANGES_PER_TARGET == 0 {
                number += 1;
                targets.push(start(number));
                let target = targets.remove(0);
                let at = target.register(&store, "draining");
                drained.insert(target.name(), at);
                leaving.push((at, target));
            }
            leave(&mut leaving);
            thread::sleep(CHANGE_GAP);
        }
        for _ in 0..90 {
            leave(&mut leaving);
            thread::sleep(ms(100));
        }
    }
    let mut late_flows = 0;
    for o in lock(&seen.opened).iter() {
        let Some(at) = drained.get(&o.target).filter(|at| o.syn_at > **at + DRAIN_TIMEOUT + MARGIN) else {
            continue;
        };
        late_flows += 1;
        record(&format!(
            "LATE: {} opened a flow at {} through {}, {} ms after the drain was acknowledged",
            o.client, o.target, o.via, (o.syn_at - *at).as_millis()
        ));
    }
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let attempts = lock(&attempts);
    let is_late = |a: &&Attempt| acked.get(&a.route).is_some_and(|at| a.sent_at > *at + CONFIG_APPLY + MARGIN);
    let refused: Vec<_> = attempts
        .iter()
        .filter(is_late)
        .filter(|a| a.outcome == Outcome::ResetByBalancer)
        .collect();
    for a in &refused {
        record(&format!(
            "REFUSED: a flow to {} whose opening packet was sent at {} ms, {} ms after its route was acknowledged",
            a.route, at_ms(a.sent_at), (a.sent_at - acked[&a.route]).as_millis()
        ));
    }
    let served = attempts.iter().filter(|a| a.outcome == Outcome::Served).count();
    say(&format!(
        "{} requests, served {served}; refused for want of a route later than {} ms after its ack: {}; flows that reached a draining target later than {} ms after its ack: {late_flows}",
        attempts.len(), CONFIG_APPLY.as_millis(), refused.len(), DRAIN_TIMEOUT.as_millis()
    ));
    record_traffic(&seen);
    balancers.clear();
    if std::env::var("KEEP_LOGS").is_ok() {
        say(&format!("logs in {}", dir.display()));
    } else {
        let _ = std::fs::remove_dir_all(&dir);
    }
    say(if refused.is_empty() { "CONFIG held" } else { "CONFIG is broken" });
    say(if late_flows == 0 { "DRAIN held" } else { "DRAIN is broken" });
    std::process::exit(i32::from(!refused.is_empty() || late_flows > 0));
}
