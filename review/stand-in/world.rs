//! A small deployment on loopback: store, targets, machines, routers and requesters.

use std::fs;
use std::io::{Error, Result};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::balancer::{Machine, Ports};
use crate::client::{self, Habit, Shared, WrongReset};
use crate::router::Router;
use crate::store::Store;
use crate::target::{Boot, Seen, Target, Work};

/// Bounds of the deployment's page.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);
pub const RECOVERY: Duration = Duration::from_secs(12);
pub const SETTLE_WINDOW: Duration = Duration::from_millis(4_000);

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const SERVICE: &str = "svc-a";
/// Kinds of objects.
pub const SERVERS: &str = "servers";
pub const CONFIG: &str = "config";
const PORTS: Ports = Ports {
    packets: 8_172,
    readiness: 8_167,
    control: 8_166,
    internal: 7_720,
};
const STORE_PORT: u16 = 8_169;
const TARGET_PORT: u16 = 8_080;
const ROUTE_PORT: u16 = 8_443;
/// Longest time until all machines are in rotation.
const START_LIMIT: Duration = Duration::from_secs(15);

/// How much of everything there is.
#[derive(Clone, Copy)]
pub struct Size {
    pub machines_per_zone: u8,
    pub targets: u8,
    pub clients_per_zone: u8,
    pub habit: Habit,
    pub work: Work,
    pub goals: Goals,
}

/// What the manifest says of the requests.
#[derive(Clone, Copy)]
pub struct Goals {
    pub latency_ms: u64,
    pub timeout_ms: u64,
}

/// A running deployment.
pub struct World {
    pub started: Instant,
    pub store: Store,
    pub targets: Vec<Target>,
    pub machines: Vec<Machine>,
    pub router: Router,
    pub shared: Arc<Shared>,
    pub seen: Arc<Mutex<Seen>>,
    pub dir: PathBuf,
    clients: Vec<JoinHandle<()>>,
    size: Size,
    block: u8,
    record: Vec<String>,
}

impl World {
    /// Starts everything and waits until all machines are in rotation.
    pub fn start(size: Size) -> Result<World> {
        let block = free_block()?;
        let ip = |c, d| Ipv4Addr::new(127, block, c, d);
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store_address = SocketAddrV4::new(ip(3, 1), STORE_PORT);
        let store = Store::start(store_address)?;
        let seen = Arc::new(Mutex::new(Seen::default()));
        store.put(CONFIG, "main", &manifest(7, size.goals));
        let mut targets = Vec::new();
        for n in 0..size.targets {
            let zone = ZONES[usize::from(n) % ZONES.len()];
            let id = 0x7f3a_91c2_0000_0000 + u64::from(n) * 0x0101_0101 + 0x11;
            let address = SocketAddrV4::new(ip(10, n + 1), TARGET_PORT);
            // They have warmed up long ago.
            let work = Work {
                cold_for: Duration::ZERO,
                ..size.work
            };
            let target = Target::start(id, SERVICE, zone, address, PORTS.packets, work, &seen)?;
            store.put(SERVERS, &target.name(), &target.entry());
            targets.push(target);
        }
        let mut machines = Vec::new();
        let seeds = [ip(1, 1), ip(1, 2), ip(1, 3)];
        for n in 0..size.machines_per_zone * ZONES.len() as u8 {
            let zone = ZONES[usize::from(n) % ZONES.len()];
            let name = format!("frontend-{zone}-{}", n / ZONES.len() as u8 + 1);
            let ip = ip(1, n + 1);
            let machine = Machine::new(&dir, &name, zone, ip, PORTS, store_address, &seeds)?;
            machines.push(machine);
        }
        for machine in &mut machines {
            machine.start()?;
        }
        let nodes = machines.iter();
        let router = Router::start(nodes.map(|m| (m.zone.clone(), m.packets, m.readiness)));
        let shared = Arc::new(Shared {
            router: router.clone(),
            seen: Arc::clone(&seen),
            counts: Default::default(),
            wrong_resets: Mutex::default(),
            stopped: false.into(),
            next_attempt: 1.into(),
            answers: Mutex::default(),
            latencies: Mutex::default(),
        });
        let mut world = World {
            started: Instant::now(),
            store,
            targets,
            machines,
            router,
            shared,
            seen,
            dir,
            clients: Vec::new(),
            size,
            block,
            record: Vec::new(),
        };
        while world.router.in_rotation() < world.machines.len() {
            if world.started.elapsed() > START_LIMIT {
                return Err(Error::other("not all machines came into rotation"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        world.note("all machines are in rotation; traffic starts");
        for n in 0..size.clients_per_zone * ZONES.len() as u8 {
            let zone = ZONES[usize::from(n) % ZONES.len()];
            let ip = Ipv4Addr::new(127, block, 2, n + 1);
            let client =
                client::start(&world.shared, zone, ip, PORTS.packets, route(), size.habit)?;
            world.clients.push(client);
        }
        Ok(world)
    }

    /// Sleeps until a time since the start of traffic.
    pub fn sleep(time: Duration) {
        thread::sleep(time);
    }

    /// Adds a line to the record.
    pub fn note(&mut self, line: &str) {
        let line = format!("{:8.3} {line}", self.at(Instant::now()));
        println!("{line}");
        self.record.push(line);
    }

    /// Seconds since the start of the record.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Reports a target as draining; when the store acknowledged it.
    pub fn drain(&mut self, n: usize) -> Instant {
        self.targets[n].drain();
        let target = &self.targets[n];
        let acknowledged = self.store.put(SERVERS, &target.name(), &target.entry());
        let (name, boot) = (target.name(), target.boot);
        self.note(&format!(
            "target {name} (boot {boot}) is draining, acknowledged"
        ));
        acknowledged
    }

    /// Writes the entry of a target as it is now.
    pub fn renew(&mut self, n: usize) {
        let target = &self.targets[n];
        self.store.put(SERVERS, &target.name(), &target.entry());
    }

    /// Ends a target and removes its entry.
    pub fn leave(&mut self, n: usize) {
        self.targets[n].stop();
        let name = self.targets[n].name();
        self.store.delete(SERVERS, &name);
        self.note(&format!("target {name} has left"));
    }

    /// Starts a target again under its id and address.
    pub fn start_again(&mut self, n: usize) -> Result<()> {
        self.start_at(n, self.targets[n].id)
    }

    /// Starts a target again at its address, under a new id.
    pub fn replace(&mut self, n: usize) -> Result<()> {
        self.start_at(n, self.targets[n].id + 1)
    }

    fn start_at(&mut self, n: usize, id: u64) -> Result<()> {
        let old = &self.targets[n];
        let (zone, address) = (old.zone.clone(), old.address);
        let target = Target::start(
            id,
            SERVICE,
            &zone,
            address,
            PORTS.packets,
            self.size.work,
            &self.seen,
        )?;
        self.store.put(SERVERS, &target.name(), &target.entry());
        let (name, boot) = (target.name(), target.boot);
        self.targets[n] = target;
        self.note(&format!("target {name} has started again (boot {boot})"));
        Ok(())
    }

    /// Starts a new target.
    pub fn add_target(&mut self, id: u64) -> Result<()> {
        let n = self.targets.len() as u8;
        let zone = ZONES[usize::from(n) % ZONES.len()];
        let address = SocketAddrV4::new(Ipv4Addr::new(127, self.block, 10, n + 1), TARGET_PORT);
        let target = Target::start(
            id,
            SERVICE,
            zone,
            address,
            PORTS.packets,
            self.size.work,
            &self.seen,
        )?;
        self.store.put(SERVERS, &target.name(), &target.entry());
        let (name, boot) = (target.name(), target.boot);
        self.targets.push(target);
        self.note(&format!("target {name} (boot {boot}) is new"));
        Ok(())
    }

    /// Flows that opened at a boot later than the bound after its drain was acknowledged.
    /// All machines are in touch since `in_touch`.
    pub fn late_openings(&mut self, boot: Boot, acknowledged: Instant, in_touch: Instant) -> usize {
        let bound = (acknowledged + DRAIN_TIMEOUT).max(in_touch);
        let late: Vec<(Instant, String)> = {
            let seen = self.seen.lock().unwrap();
            let late = seen.openings.iter().filter(|o| o.boot == boot);
            let late = late.filter(|o| o.at > bound);
            late.map(|o| (o.at, format!("{}>{}", o.flow.0, o.flow.1)))
                .collect()
        };
        for (at, flow) in late.iter().take(5) {
            let after = at.duration_since(acknowledged).as_secs_f64();
            self.note(&format!(
                "  boot {boot} took the opening packet of {flow} at {:.3}, {after:.3} s after its \
                 drain was acknowledged",
                self.at(*at)
            ));
        }
        late.len()
    }

    /// Wrong resets so far.
    pub fn wrong_resets(&self) -> Vec<WrongReset> {
        self.shared.wrong_resets.lock().unwrap().clone()
    }

    /// Answers between two moments.
    pub fn answers_between(&self, from: Instant, to: Instant) -> usize {
        let answers = self.shared.answers.lock().unwrap();
        answers
            .iter()
            .filter(|at| **at >= from && **at < to)
            .count()
    }

    /// How long answered requests took, and how many of them stayed within a goal.
    pub fn latencies(&self, goal: Duration) -> String {
        let latencies = self.shared.latencies.lock().unwrap();
        let within = latencies.iter().filter(|l| **l <= goal).count();
        let waiting = self.seen.lock().unwrap().most_waiting;
        format!(
            "{} requests answered, {within} of them within {} ms, the longest after {} ms; at most \
             {waiting} waited at a target",
            latencies.len(),
            goal.as_millis(),
            latencies.iter().max().map_or(0, Duration::as_millis)
        )
    }

    /// Requests of requesters that open a flow for each, and how many were answered.
    pub fn tries(&self) -> (u64, u64) {
        let counts = &self.shared.counts;
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let failed = get(&counts.refused) + get(&counts.not_opened) + get(&counts.timed_out);
        let reset = get(&counts.reset_by_target) + get(&counts.reset_by_system);
        let answered = get(&counts.answered);
        (answered + failed + reset, answered)
    }

    /// The same since an earlier moment.
    pub fn tries_since(&self, before: (u64, u64)) -> (u64, u64) {
        let (tried, answered) = self.tries();
        (tried - before.0, answered - before.1)
    }

    /// Stops the requesters and writes the record.
    pub fn finish(mut self, file: &str, verdict: &str) -> Result<()> {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        let lines = self.lines_by_boot();
        self.record.extend(lines);
        let totals = self.totals();
        self.note(&totals);
        self.note(verdict);
        for machine in &mut self.machines {
            machine.kill();
        }
        fs::write(file, self.record.join("\n") + "\n")?;
        // The logs of the processes stay if they are asked for.
        if std::env::var_os("KEEP_LOGS").is_none() {
            fs::remove_dir_all(&self.dir)?;
        }
        Ok(())
    }

    /// What each start of a target took.
    fn lines_by_boot(&self) -> Vec<String> {
        let seen = self.seen.lock().unwrap();
        let boots = 0..seen.alive.len();
        let lines = boots.map(|boot| {
            let taken = seen.openings.iter().filter(|o| o.boot == boot);
            let count = taken.clone().count();
            let last = taken.last().map_or(0.0, |o| self.at(o.at));
            format!("  boot {boot}: {count} opening packets taken, the last at {last:.3}")
        });
        lines.collect()
    }

    fn totals(&self) -> String {
        let counts = &self.shared.counts;
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let seen = self.seen.lock().unwrap();
        let twice = seen.runs.values().filter(|runs| **runs > 1).count();
        format!(
            "flows: {} opened, {} refused by a reset, {} not opened; requests: {} sent, \
             {} answered, {} ended by a target's reset, {} by the system's reset, {} timed out; \
             {} ran, {twice} of them twice; {} corrupt packets; {} calls to the store",
            get(&counts.opened),
            get(&counts.refused),
            get(&counts.not_opened),
            get(&counts.sent),
            get(&counts.answered),
            get(&counts.reset_by_target),
            get(&counts.reset_by_system),
            get(&counts.timed_out),
            seen.runs.len(),
            seen.corrupt,
            self.store.calls(),
        )
    }
}

/// The route of all requesters.
fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), ROUTE_PORT)
}

/// A manifest with the route.
fn manifest(version: u64, goals: Goals) -> Vec<u8> {
    let Goals {
        latency_ms,
        timeout_ms,
    } = goals;
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{}\",\
         \"path_prefix\":\"/{ROUTE_PORT}/\",\"type\":\"idempotent\",\"timeout_ms\":{timeout_ms},\
         \"target_latency_ms\":{latency_ms},\"priority\":2,\"service\":\"{SERVICE}\",\
         \"max_attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_check_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\
         \"tls_enabled\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route().ip()
    )
    .into_bytes()
}

/// The second byte of loopback addresses that nothing else uses.
fn free_block() -> Result<u8> {
    let first = std::process::id() % 200;
    for n in 0..200 {
        let block = 20 + ((first + n) % 200) as u8;
        let address = SocketAddrV4::new(Ipv4Addr::new(127, block, 3, 1), STORE_PORT);
        if std::net::TcpListener::bind(address).is_ok() {
            return Ok(block);
        }
    }
    Err(Error::other("no free block of loopback addresses"))
}
