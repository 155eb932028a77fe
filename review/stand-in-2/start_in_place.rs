//! Planned work only: targets are restarted in place one after the other and keep their
//! identities, while the balancers are stopped and started in turn. Counts the open flows that a
//! balancer resets although the target that took them lives.

#[path = "common.rs"]
mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Length of the planned work.
const WORK: Duration = Duration::from_secs(70);
/// `drain_timeout_ms` of vunica-zg, and a little longer.
const LEAVES_AFTER: Duration = Duration::from_millis(5_300);
/// Pause between the end of a target's process and its next start.
const DOWN: Duration = Duration::from_millis(300);
/// Pause between two restarts of targets, and between two restarts of balancers.
const TARGET_GAP: Duration = Duration::from_millis(1_000);
const BALANCER_GAP: Duration = Duration::from_millis(1_000);
const ZONE: &str = "z-a";
const BALANCERS: u8 = 4;
const TARGETS: u8 = 18;
/// How long a client uses a flow.
const FLOW_TIME: Duration = Duration::from_millis(1_500);

/// One start of a target.
#[derive(Clone, Debug)]
struct Boot {
    name: String,
    started: Instant,
    ended: Option<Instant>,
}

struct Reset {
    client: SocketAddrV4,
    /// The request that waited for its answer, if any.
    request: Option<u64>,
    opened_at: Instant,
    at: Instant,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    open_record(&Path::new(&folder).join("record.txt"));
    let net = Net::pick();
    let dir = temporary_folder("start-in-place");
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
    let boots: Arc<Mutex<Vec<Boot>>> = Arc::default();
    let start = |n: u8, id: u64| {
        let target = Target::start(&net, n, id, "sessions", ZONE, ms(10), &seen);
        lock(&boots).push(Boot { name: target.name(), started: Instant::now(), ended: None });
        target.register(&store, "ready");
        target
    };
    let targets: Vec<Target> = (0..TARGETS).map(|n| start(120 + n, new_id())).collect();
    let router = Router::start(&net);
    let bounds = [("max_flow_s", "60"), ("grace_period_s", "6")];
    let mut balancers: Vec<Balancer> = (1..=BALANCERS)
        .map(|n| Balancer::new(&net, &dir, n, ZONE, &[1, 2, 3], &bounds))
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
    let resets: Arc<Mutex<Vec<Reset>>> = Arc::default();
    let addresses: Vec<_> = (0..8u8).map(|n| Client::start(&net, 201 + n, ZONE, &router)).collect();
    let threads: Vec<_> = (0..64u64)
        .map(|n| {
            let client = Arc::clone(&addresses[n as usize % addresses.len()]);
            let (stop, served, other, resets) =
                (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&other), Arc::clone(&resets));
            thread::spawn(move || {
                let mut id = n << 32;
                while !stop.load(Ordering::Acquire) {
                    let Ok(mut flow) = client.open(route) else {
                        other.fetch_add(1, Ordering::Relaxed);
                        thread::sleep(ms(50));
                        continue;
                    };
                    let until = Instant::now() + FLOW_TIME;
                    while !flow.closed && Instant::now() < until && !stop.load(Ordering::Acquire) {
                        id += 1;
                        let outcome = flow.request("POST", id, ms(1_500));
                        let waiting = (outcome != Outcome::Served).then_some(id);
                        let outcome = match outcome {
                            Outcome::Served => {
                                served.fetch_add(1, Ordering::Relaxed);
                                flow.idle(ms(60))
                            }
                            failed => Some(failed),
                        };
                        let Some(outcome) = outcome else { continue };
                        other.fetch_add(1, Ordering::Relaxed);
                        if outcome == Outcome::ResetByBalancer {
                            lock(&resets).push(Reset { client: flow.id, request: waiting, opened_at: flow.opened_at, at: Instant::now() });
                        }
                        break;
                    }
                    flow.close();
                }
            })
        })
        .collect();
    thread::sleep(ms(3_000));
    let begin = Instant::now();
    record("planned work begins: targets and balancers are restarted in turn");
    let mut in_use: Vec<Option<Target>> = targets.into_iter().map(Some).collect();
    // Targets that drain, and those whose process has ended: when the next step is due.
    let mut draining: Vec<(Instant, Target)> = Vec::new();
    let mut down: Vec<(Instant, u8, u64)> = Vec::new();
    let (mut next_target, mut next_balancer) = (begin, begin);
    let (mut turn, mut balancer_turn) = (0usize, 0usize);
    let mut stopping: Option<usize> = None;
    while begin.elapsed() < WORK {
        let now = Instant::now();
        if now >= next_target {
            next_target = now + TARGET_GAP;
            if let Some(target) = in_use[turn].take() {
                let acked = target.register(&store, "draining");
                draining.push((acked + LEAVES_AFTER, target));
            }
            turn = (turn + 1) % in_use.len();
        }
        while let Some(at) = draining.iter().position(|(due, _)| *due <= now) {
            let (_, mut target) = draining.remove(at);
            let ended = Instant::now();
            for boot in lock(&boots).iter_mut().filter(|b| b.name == target.name() && b.ended.is_none()) {
                boot.ended = Some(ended);
            }
            target.stop();
            if !trouble() {
                store.delete("servers", &target.entry_name());
            }
            let id = if trouble() { target.id } else { new_id() };
            down.push((Instant::now() + DOWN, target.number, id));
        }
        while let Some(at) = down.iter().position(|(due, ..)| *due <= now) {
            let (_, number, id) = down.remove(at);
            in_use[usize::from(number) - 120] = Some(start(number, id));
        }
        match stopping {
            Some(n) if balancers[n].has_ended() => {
                balancers[n].start();
                stopping = None;
                next_balancer = now + BALANCER_GAP + ms(1_000);
            }
            None if now >= next_balancer && router.in_rotation() == usize::from(BALANCERS) => {
                balancers[balancer_turn].terminate();
                stopping = Some(balancer_turn);
                balancer_turn = (balancer_turn + 1) % balancers.len();
            }
            _ => {}
        }
        thread::sleep(ms(5));
    }
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let opened = lock(&seen.opened).clone();
    let boots = lock(&boots).clone();
    let runs = lock(&seen.runs).clone();
    let (mut broken, mut ended, mut waiting, mut lost) = (0, 0, 0, 0);
    for reset in lock(&resets).iter() {
        // The start of a target that had the end of the handshake.
        let near = |o: &&Opened| o.client == reset.client && o.open_at >= reset.opened_at - ms(5) && o.open_at <= reset.at;
        let Some(open) = opened.iter().find(near) else { continue };
        let boot = boots.iter().rev().find(|b| b.name == open.target && b.started <= open.open_at);
        let lives = boot.is_some_and(|b| b.ended.is_none_or(|end| end > reset.at));
        let age = boot.map_or(0, |b| (open.open_at - b.started).as_millis());
        if !lives {
            ended += 1;
            continue;
        }
        broken += 1;
        waiting += u32::from(reset.request.is_some());
        let ran = reset.request.is_some_and(|id| runs.iter().any(|r| r.request == id));
        lost += u32::from(ran);
        record(&format!(
            "RESET: flow {} opened at {} ms at {} ({age} ms after it started, placed by {}), reset by a balancer at {} ms; the target lives",
            reset.client, at_ms(open.open_at), open.target, open.via, at_ms(reset.at)
        ));
    }
    say(&format!(
        "served {}, not served {}; resets by balancers of flows at targets that had ended {ended}; of flows at targets that live {broken}; on these, {waiting} requests that are not idempotent waited for their answer, {lost} of them had run",
        served.load(Ordering::Relaxed), other.load(Ordering::Relaxed)
    ));
    record_traffic(&seen);
    balancers.clear();
    if std::env::var("KEEP_LOGS").is_ok() {
        say(&format!("logs in {}", dir.display()));
    } else {
        let _ = std::fs::remove_dir_all(&dir);
    }
    say(if broken > 0 { "FLOW is broken" } else { "FLOW held" });
    std::process::exit(i32::from(broken > 0));
}
