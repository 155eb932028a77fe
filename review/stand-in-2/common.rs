//! Small stand-ins for the users' platform, for the scripts of this review: store, routers,
//! targets and clients on loopback addresses, and the project's own daemon as processes.
//! Only the standard library is used.
#![allow(dead_code)]

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::hash::{Hash, Hasher};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub const DAEMON: &str = "target/release/sequoiatraild";
pub const SETTINGS_VARIABLE: &str = "SEQUOIATRAIL_NODE_FILE";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// Whether the script brings about the disruption (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The identity of a target: 8 hexadecimal digits, as in the examples of the pages.
pub fn new_id() -> u64 {
    (random() & 0xffff_ffff).max(1)
}

pub fn random() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let mut hasher = DefaultHasher::new();
    SystemTime::now().hash(&mut hasher);
    std::process::id().hash(&mut hasher);
    COUNT.fetch_add(1, Ordering::Relaxed).hash(&mut hasher);
    hasher.finish()
}

// ---------------------------------------------------------------- record

struct Record {
    started: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open_record(path: &Path) {
    let file = Mutex::new(File::create(path).expect("record.txt"));
    let started = Instant::now();
    let _ = RECORD.set(Record { started, file });
}

/// Milliseconds since the start of the script.
pub fn at_ms(t: Instant) -> u128 {
    RECORD.get().map_or(0, |r| t.saturating_duration_since(r.started).as_millis())
}

pub fn record(line: &str) {
    if let Some(r) = RECORD.get() {
        let now = at_ms(Instant::now());
        let _ = writeln!(lock(&r.file), "{now:>7} ms  {line}");
    }
}

pub fn say(line: &str) {
    println!("{line}");
    record(line);
}

/// What clients sent and how it ended, for [`record_traffic`].
static TRAFFIC: Mutex<Vec<(Instant, &'static str)>> = Mutex::new(Vec::new());

fn note(sent_at: Instant, ending: &'static str) {
    lock(&TRAFFIC).push((sent_at, ending));
}

/// Writes, for each second, what clients sent, how it ended, and what targets ran.
pub fn record_traffic(seen: &Seen) {
    let mut seconds: BTreeMap<u128, BTreeMap<&str, u32>> = BTreeMap::new();
    for (at, ending) in lock(&TRAFFIC).iter() {
        *seconds.entry(at_ms(*at) / 1_000).or_default().entry(ending).or_default() += 1;
    }
    for run in lock(&seen.runs).iter() {
        *seconds.entry(at_ms(run.at) / 1_000).or_default().entry("run by targets").or_default() += 1;
    }
    for (second, counts) in seconds {
        let counts: Vec<String> = counts.iter().map(|(ending, n)| format!("{ending} {n}")).collect();
        record(&format!("second {second}: {}", counts.join(", ")));
    }
}

// ---------------------------------------------------------------- addresses

/// Loopback addresses 127.a.b.x and ports of one run.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    a: u8,
    b: u8,
    pub port: u16,
}

impl Net {
    pub fn pick() -> Net {
        loop {
            let r = random();
            let net = Net {
                a: 16 + (r % 200) as u8,
                b: 1 + ((r >> 16) % 250) as u8,
                port: 20_000 + ((r >> 32) % 9_000) as u16,
            };
            let free = |n: u8, port: u16| {
                let address = SocketAddrV4::new(net.ip(n), port);
                UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok()
            };
            if (0..16).all(|p| free(1, net.port + p)) && free(100, net.port + 3) && free(1, 9_101) {
                return net;
            }
        }
    }

    pub fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, n)
    }

    fn datagrams(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(n), self.port)
    }

    fn readiness(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(n), self.port + 1)
    }

    fn control(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(n), self.port + 2)
    }

    fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(100), self.port + 3)
    }

    fn target(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(n), self.port + 4)
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Vec<u8>,
}

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    name: String,
    deleted: bool,
    object: Vec<u8>,
    event: Vec<u8>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    by_name: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// The platform's metadata store. It is sound: it loses nothing and answers at once. What
/// it does otherwise is set by the script.
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    /// Connections accepted before this moment get no bytes any more.
    silent_before: Mutex<Option<Instant>>,
    /// Bytes per second on each connection; 0 sets no limit.
    pub bytes_per_s: AtomicU64,
    /// How old the data of calls with `allow_stale` is.
    stale_by: Mutex<Duration>,
    /// Objects per page of a list.
    pub page: AtomicUsize,
    pub lists: AtomicU64,
    pub watches: AtomicU64,
}

fn object_text(name: &str, object: &Object) -> Vec<u8> {
    let mut text = format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created_revision\":{},\"finalizers\":[],\"deletion_pending\":false}},\"spec\":",
        object.revision, object.created
    )
    .into_bytes();
    text.extend_from_slice(&object.spec);
    text.extend_from_slice(b",\"status\":null}");
    text
}

impl Store {
    pub fn start(net: &Net) -> Arc<Store> {
        let listener = TcpListener::bind(net.store()).expect("store");
        let store = Arc::new(Store {
            objects: Mutex::new(Objects { revision: 100, ..Objects::default() }),
            changed: Condvar::new(),
            silent_before: Mutex::new(None),
            bytes_per_s: AtomicU64::new(0),
            stale_by: Mutex::new(Duration::ZERO),
            page: AtomicUsize::new(500),
            lists: AtomicU64::new(0),
            watches: AtomicU64::new(0),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                thread::spawn(move || store.serve(stream, Instant::now()));
            }
        });
        store
    }

    /// Writes an object; returns the moment of the answer.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> Instant {
        let mut objects = lock(&self.objects);
        let key = (kind.to_owned(), name.to_owned());
        let before = objects.by_name.get(&key).cloned();
        if before.as_ref().is_some_and(|b| b.spec == spec) {
            return Instant::now();
        }
        objects.revision += 1;
        let revision = objects.revision;
        let created = before.map_or(revision, |b| b.created);
        let object = Object { revision, created, spec: spec.to_vec() };
        objects.push(kind, name, &object, false);
        objects.by_name.insert(key, object);
        drop(objects);
        self.changed.notify_all();
        Instant::now()
    }

    /// Deletes an object; returns the moment of the answer.
    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        let mut objects = lock(&self.objects);
        let key = (kind.to_owned(), name.to_owned());
        if let Some(mut object) = objects.by_name.remove(&key) {
            objects.revision += 1;
            object.revision = objects.revision;
            objects.push(kind, name, &object, true);
        }
        drop(objects);
        self.changed.notify_all();
        Instant::now()
    }

    /// From now on, no byte passes on the connections that are open; new ones work.
    pub fn silence_open_connections(&self) -> Instant {
        let now = Instant::now();
        *lock(&self.silent_before) = Some(now);
        self.changed.notify_all();
        now
    }

    /// From now on, calls with `allow_stale` return data of this age.
    pub fn set_stale_by(&self, age: Duration) {
        *lock(&self.stale_by) = age;
    }

    fn is_silent(&self, accepted: Instant) -> bool {
        lock(&self.silent_before).is_some_and(|at| accepted < at)
    }

    fn serve(&self, stream: TcpStream, accepted: Instant) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let mut length = 0;
            loop {
                let mut header = String::new();
                if input.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                let header = header.trim().to_ascii_lowercase();
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
                if header.is_empty() {
                    break;
                }
            }
            let mut body = vec![0; length];
            if input.read_exact(&mut body).is_err() {
                return;
            }
            let (status, body) = self.answer(&path, accepted);
            while self.is_silent(accepted) {
                thread::sleep(Duration::from_secs(3_600));
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if !self.send(&mut out, &[head.as_bytes(), &body].concat()) {
                return;
            }
        }
    }

    /// Sends an answer at the speed of the link; returns whether the other end took it.
    fn send(&self, out: &mut TcpStream, bytes: &[u8]) -> bool {
        let per_s = self.bytes_per_s.load(Ordering::Relaxed);
        if per_s == 0 {
            return out.write_all(bytes).is_ok();
        }
        let step = ms(10);
        let mut due = Instant::now();
        for chunk in bytes.chunks((per_s / 100).max(1) as usize) {
            if out.write_all(chunk).is_err() {
                return false;
            }
            due += step;
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        true
    }

    fn answer(&self, path: &str, accepted: Instant) -> (u16, Vec<u8>) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let rest = path.strip_prefix("/sequoiatrail/objects/").unwrap_or_default();
        let query: HashMap<&str, &str> = query.split('&').filter_map(|q| q.split_once('=')).collect();
        let stale_by = match query.get("allow_stale") {
            Some(&"1") => *lock(&self.stale_by),
            _ => Duration::ZERO,
        };
        match rest.split_once('/') {
            Some((kind, name)) => self.read(kind, name),
            None => match query.get("watch_revision") {
                Some(after) => {
                    let wait = query.get("wait_timeout_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(rest, after.parse().unwrap_or(0), ms(wait), accepted, stale_by)
                }
                None => self.list(rest, query.get("after").map(|a| decode_percent(a)), stale_by),
            },
        }
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Vec<u8>) {
        let objects = lock(&self.objects);
        match objects.by_name.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object_text(name, object)),
            None => (404, b"{}".to_vec()),
        }
    }

    fn list(&self, kind: &str, after: Option<String>, stale_by: Duration) -> (u16, Vec<u8>) {
        self.lists.fetch_add(1, Ordering::Relaxed);
        thread::sleep(ms(4));
        let objects = lock(&self.objects);
        let page = self.page.load(Ordering::Relaxed);
        let after = after.unwrap_or_default();
        let (items, revision) = match stale_by.is_zero() {
            true => {
                let of_kind = objects.by_name.iter().filter(|((k, n), _)| k == kind && *n > after);
                let items: Vec<Vec<u8>> = of_kind.take(page + 1).map(|((_, n), o)| object_text(n, o)).collect();
                (items, objects.revision)
            }
            false => {
                let mut by_name: BTreeMap<&str, &[u8]> = BTreeMap::new();
                for change in objects.visible(stale_by).filter(|c| c.kind == kind && c.name > after) {
                    match change.deleted {
                        true => by_name.remove(change.name.as_str()),
                        false => by_name.insert(&change.name, &change.object),
                    };
                }
                let items = by_name.into_values().take(page + 1).map(<[u8]>::to_vec).collect();
                (items, objects.visible_revision(stale_by))
            }
        };
        let more = items.len() > page;
        let items = items[..items.len().min(page)].join(&b","[..]);
        let mut body = b"{\"items\":[".to_vec();
        body.extend(items);
        body.extend(format!("],\"has_more\":{more},\"read_revision\":{revision}}}").into_bytes());
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, accepted: Instant, stale_by: Duration) -> (u16, Vec<u8>) {
        self.watches.fetch_add(1, Ordering::Relaxed);
        let until = Instant::now() + wait;
        let mut objects = lock(&self.objects);
        if objects.history_is_gone(after) {
            return (410, b"{\"error_message\":\"this history is gone\"}".to_vec());
        }
        loop {
            let events: Vec<&[u8]> = objects
                .visible(stale_by)
                .filter(|c| c.revision > after && c.kind == kind)
                .map(|c| c.event.as_slice())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until || self.is_silent(accepted) {
                let mut body = b"{\"events\":[".to_vec();
                body.extend(events.join(&b","[..]));
                let revision = objects.visible_revision(stale_by);
                body.extend(format!("],\"read_revision\":{revision}}}").into_bytes());
                return (200, body);
            }
            let step = if stale_by.is_zero() { until - now } else { (until - now).min(ms(20)) };
            objects = self.changed.wait_timeout(objects, step).unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

/// How long the store keeps its history (`retention_s` of the small sites).
const RETENTION: Duration = Duration::from_secs(20);

impl Objects {
    /// Whether changes after a revision are older than the history that is kept.
    fn history_is_gone(&self, after: u64) -> bool {
        let now = Instant::now();
        self.history.iter().any(|c| c.revision > after && c.at + RETENTION <= now)
    }

    /// The changes that a replica has which is `stale_by` behind.
    fn visible(&self, stale_by: Duration) -> impl Iterator<Item = &Change> {
        let now = Instant::now();
        self.history.iter().filter(move |c| c.at + stale_by <= now)
    }

    fn visible_revision(&self, stale_by: Duration) -> u64 {
        match stale_by.is_zero() {
            true => self.revision,
            false => self.visible(stale_by).last().map_or(100, |c| c.revision),
        }
    }

    fn push(&mut self, kind: &str, name: &str, object: &Object, deleted: bool) {
        let text = object_text(name, object);
        let mut event = b"{\"object\":".to_vec();
        event.extend_from_slice(&text);
        event.extend(format!(",\"deleted\":{deleted}}}").into_bytes());
        self.history.push(Change {
            revision: object.revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            deleted,
            object: text,
            event,
        });
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- operator

#[derive(Clone, Debug)]
pub struct Route {
    pub address: SocketAddrV4,
    pub service: String,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub goal_ms: u32,
    pub priority: u32,
}

pub fn put_manifest(store: &Store, version: u64, routes: &[Route]) -> Instant {
    let texts: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(n, r)| {
            format!(
                "{{\"name\":\"route-{n}\",\"host\":\"{}\",\"path_prefix\":\"/{}/\",\"service\":\"{}\",\"type\":\"{}\",\"timeout_ms\":{},\"max_attempts\":1,\"target_latency_ms\":{},\"priority\":{}}}",
                r.address.ip(), r.address.port(), r.service, r.kind, r.timeout_ms, r.goal_ms, r.priority
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|r| r.service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("{{\"name\":\"{s}\",\"health_check_path\":\"/health\",\"max_connections\":2000}}"))
        .collect();
    let spec = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"idle_timeout_ms\":15000}}}}",
        texts.join(","),
        services.join(",")
    );
    let acked = store.put("config", "main", spec.as_bytes());
    record(&format!("operator: manifest {version} acknowledged, {} routes", routes.len()));
    acked
}

// ---------------------------------------------------------------- balancers

pub struct Balancer {
    pub name: String,
    pub zone: String,
    pub number: u8,
    net: Net,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Balancer {
    /// A balancer at 127.a.b.`number`; the settings come from the project's template.
    pub fn new(net: &Net, dir: &Path, number: u8, zone: &str, seeds: &[u8], bounds: &[(&str, &str)]) -> Balancer {
        let name = format!("frontend-{zone}-{number}");
        let file = dir.join(format!("{name}.toml"));
        let mut values: HashMap<String, Vec<String>> = HashMap::new();
        let mut set = |k: &str, v: String| values.insert(k.to_owned(), vec![v]);
        set("node_name", name.clone());
        set("zone", zone.to_owned());
        set("ip_address", net.ip(number).to_string());
        set("bind_addresses.datagram_address", net.datagrams(number).to_string());
        set("bind_addresses.readiness_address", net.readiness(number).to_string());
        set("bind_addresses.control_plane", net.control(number).to_string());
        set("internal_port_range.0", (net.port + 10).to_string());
        set("platform.address", net.store().to_string());
        set("limits.bandwidth_mbps", "1000.0".into());
        for (key, value) in bounds {
            set(&format!("bounds.{key}"), (*value).to_owned());
        }
        let seeds = seeds.iter().map(|s| net.control(*s).to_string()).collect();
        values.insert("seed_nodes".into(), seeds);
        let template = fs::read_to_string("platform/settings.toml").expect("template");
        fs::write(&file, render(&template, &values)).expect("settings");
        let log = dir.join(format!("{name}.log"));
        Balancer { name, zone: zone.to_owned(), number, net: *net, file, log, child: None }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new(DAEMON)
            .args(["--settings-from", SETTINGS_VARIABLE])
            .env(SETTINGS_VARIABLE, &self.file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("start of the daemon");
        record(&format!("{} started, process {}", self.name, child.id()));
        self.child = Some(child);
    }

    /// Identity of the running process; 0 if there is none.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record(&format!("{} killed", self.name));
        }
    }

    /// SIGTERM; the process ends by itself later.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &pid]).status();
            record(&format!("{} gets SIGTERM", self.name));
        }
    }

    /// Whether the process has ended; reaps it.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))));
        if ended {
            self.child = None;
        }
        ended
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.net.readiness(self.number))
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills in the platform's template: values, sections and commas, as DEPLOY.md tells them.
fn render(template: &str, values: &HashMap<String, Vec<String>>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let close = start + text[start..].find("}}").expect("section");
        let name = text[start + 3..close].to_owned();
        let end_mark = format!("{{{{/{name}}}}}");
        let end = start + text[start..].find(&end_mark).expect("end of section");
        let inner = text[close + 2..end].to_owned();
        let entries = values.get(&name).cloned().unwrap_or_default();
        let last = entries.len().saturating_sub(1);
        let filled: Vec<String> = entries
            .iter()
            .enumerate()
            .map(|(n, e)| inner.replace("{{.}}", e).replace("{{,}}", if n < last { "," } else { "" }))
            .collect();
        text.replace_range(start..end + end_mark.len(), &filled.concat());
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("placeholder");
        let value = values.get(&text[start + 2..end]).map(|v| v.join(",")).unwrap_or_default();
        text.replace_range(start..end + 2, &value);
    }
    text
}

fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), ms(450)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ms(450)));
    let request = format!("GET /sequoiatrail/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut buf = [0; 64];
    let n = stream.read(&mut buf).unwrap_or(0);
    buf[..n].starts_with(b"HTTP/1.1 200")
}

// ---------------------------------------------------------------- routers

struct Node {
    number: u8,
    zone: String,
    misses: u32,
}

/// The platform's routers: readiness twice a second, out of rotation after two misses, a
/// hash of the addresses and ports modulo the nodes of the requester's zone in rotation.
pub struct Router {
    net: Net,
    nodes: Mutex<Vec<Node>>,
}

impl Router {
    pub fn start(net: &Net) -> Arc<Router> {
        let router = Arc::new(Router { net: *net, nodes: Mutex::default() });
        let checks = Arc::clone(&router);
        thread::spawn(move || {
            loop {
                checks.check();
                thread::sleep(ms(500));
            }
        });
        router
    }

    pub fn add(&self, number: u8, zone: &str) {
        lock(&self.nodes).push(Node { number, zone: zone.to_owned(), misses: 2 });
    }

    pub fn in_rotation(&self) -> usize {
        lock(&self.nodes).iter().filter(|n| n.misses < 2).count()
    }

    pub fn wait_for(&self, nodes: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while self.in_rotation() < nodes {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(ms(50));
        }
        true
    }

    fn check(&self) {
        let numbers: Vec<u8> = lock(&self.nodes).iter().map(|n| n.number).collect();
        let net = self.net;
        let checks: Vec<_> = numbers
            .into_iter()
            .map(|n| thread::spawn(move || (n, is_ready(net.readiness(n)))))
            .collect();
        for check in checks {
            let Ok((number, ready)) = check.join() else { continue };
            for node in lock(&self.nodes).iter_mut().filter(|n| n.number == number) {
                let before = node.misses < 2;
                node.misses = if ready { 0 } else { node.misses + 1 };
                if before != (node.misses < 2) {
                    let change = if before { "out of" } else { "in" };
                    record(&format!("router: node {number} is {change} rotation"));
                }
            }
        }
    }

    fn route(&self, zone: &str, client: SocketAddrV4, route: SocketAddrV4) -> Option<SocketAddrV4> {
        let nodes = lock(&self.nodes);
        let of_zone: Vec<&Node> = nodes.iter().filter(|n| n.zone == zone).collect();
        let ready: Vec<&Node> = of_zone.iter().copied().filter(|n| n.misses < 2).collect();
        let used = if ready.len() * 2 < of_zone.len() { of_zone } else { ready };
        let mut hasher = DefaultHasher::new();
        (client, route).hash(&mut hasher);
        let index = (hasher.finish() as usize).checked_rem(used.len())?;
        Some(self.net.datagrams(used[index].number))
    }
}

// ---------------------------------------------------------------- packets

pub const SYN: u8 = 64;
pub const ACK: u8 = 32;
pub const FIN: u8 = 1;
pub const RST: u8 = 2;
const HEAD: usize = 36;

#[derive(Clone, Copy, Debug)]
pub struct Header {
    pub flags: u8,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
}

fn sum(packet: &[u8]) -> u32 {
    let mut h: u32 = 0x811c_9dc5;
    for byte in b"key of the ends".iter().chain(&packet[..1]).chain(&packet[6..28]).chain(&packet[HEAD..]) {
        h = (h ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    }
    h.max(1)
}

fn encode(h: &Header, data: &[u8]) -> Vec<u8> {
    let mut p = vec![0; HEAD];
    p[0] = h.flags;
    p[6..8].copy_from_slice(&h.src.port().to_be_bytes());
    p[8..10].copy_from_slice(&h.dst.port().to_be_bytes());
    p[10..14].copy_from_slice(&h.dst.ip().octets());
    p[14..18].copy_from_slice(&h.src.ip().octets());
    p[18..20].copy_from_slice(&(data.len() as u16).to_be_bytes());
    p[20..24].copy_from_slice(&h.seq.to_be_bytes());
    p[24..28].copy_from_slice(&h.ack.to_be_bytes());
    p[32..36].copy_from_slice(&h.echo.to_be_bytes());
    p.extend_from_slice(data);
    let sum = sum(&p);
    p[28..32].copy_from_slice(&sum.to_be_bytes());
    p
}

/// Decodes a packet; the flag says whether a balancer wrote it (a reset without a sum).
fn decode(p: &[u8]) -> Option<(Header, &[u8], bool)> {
    if p.len() < HEAD {
        return None;
    }
    let u16_at = |at: usize| u16::from_be_bytes([p[at], p[at + 1]]);
    let u32_at = |at: usize| u32::from_be_bytes([p[at], p[at + 1], p[at + 2], p[at + 3]]);
    let by_balancer = p[0] == RST && u32_at(28) == 0 && p.len() == HEAD;
    if usize::from(u16_at(18)) != p.len() - HEAD || !(by_balancer || u32_at(28) == sum(p)) {
        return None;
    }
    let header = Header {
        flags: p[0],
        src: SocketAddrV4::new(u32_at(14).into(), u16_at(6)),
        dst: SocketAddrV4::new(u32_at(10).into(), u16_at(8)),
        seq: u32_at(20),
        ack: u32_at(24),
        echo: u32_at(32),
    };
    Some((header, &p[HEAD..], by_balancer))
}

// ---------------------------------------------------------------- targets

/// What a target saw of a flow.
#[derive(Clone, Debug)]
pub struct Opened {
    pub target: String,
    pub client: SocketAddrV4,
    /// Address of the balancer that sent the opening packet.
    pub via: SocketAddr,
    pub syn_at: Instant,
    /// When the end of the handshake arrived.
    pub open_at: Instant,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub target: String,
    pub request: u64,
    pub client: SocketAddrV4,
    pub via: SocketAddr,
    pub at: Instant,
}

/// What all targets saw.
#[derive(Default)]
pub struct Seen {
    pub opened: Mutex<Vec<Opened>>,
    pub runs: Mutex<Vec<Run>>,
    pub resets_sent: AtomicU64,
    pub corrupt: AtomicU64,
}

struct FlowAtTarget {
    isn: u32,
    syn_at: Instant,
    via: SocketAddr,
    open: bool,
    last: Option<(u32, Vec<u8>)>,
    working: Option<u32>,
}

struct Due {
    at: Instant,
    key: (SocketAddrV4, SocketAddrV4),
    header: Header,
    request: u64,
}

pub struct Target {
    pub id: u64,
    pub service: String,
    pub zone: String,
    pub number: u8,
    pub work: Duration,
    pub born_ms: u128,
    pub slots: u32,
    address: SocketAddrV4,
    draining: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
    sequence: AtomicU64,
}

impl Target {
    /// Starts a target at 127.a.b.`number`.
    pub fn start(net: &Net, number: u8, id: u64, service: &str, zone: &str, work: Duration, seen: &Arc<Seen>) -> Target {
        let address = net.target(number);
        let listener = TcpListener::bind(address).expect("target, TCP");
        let socket = UdpSocket::bind(address).expect("target, UDP");
        socket.set_read_timeout(Some(ms(2))).expect("timeout");
        let (draining, stopped) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let born_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let name = format!("{service}/i-{id:08x}@{number}");
        record(&format!("target {name} started"));
        let (drain, stop, seen, port) = (Arc::clone(&draining), Arc::clone(&stopped), Arc::clone(seen), net.port);
        let thread = thread::spawn(move || {
            // Accepts status checks and probes; nothing is asked of it in these scripts.
            let _ = listener.set_nonblocking(true);
            run_target(&name, id, &socket, &listener, work, port, &drain, &stop, &seen);
        });
        Target {
            id,
            service: service.to_owned(),
            zone: zone.to_owned(),
            number,
            work,
            born_ms,
            slots: 4,
            address,
            draining,
            stopped,
            thread: Some(thread),
            sequence: AtomicU64::new(1),
        }
    }

    pub fn name(&self) -> String {
        format!("{}/i-{:08x}@{}", self.service, self.id, self.number)
    }

    pub fn entry_name(&self) -> String {
        format!("i-{:08x}", self.id)
    }

    /// Registers the target, or writes its new state; returns when the store acknowledged.
    pub fn register(&self, store: &Store, state: &str) -> Instant {
        self.draining.store(state == "draining", Ordering::Release);
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1.0\",\"max_concurrent_requests\":{},\"lifecycle_state\":\"{state}\",\"warmup_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born_ms
        );
        let acked = store.put("servers", &self.entry_name(), spec.as_bytes());
        record(&format!("target {} registered as {state}", self.name()));
        acked
    }

    /// Ends the process of the target; its flows are lost.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
            record(&format!("target {} ended", self.name()));
        }
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.stop();
    }
}

#[allow(clippy::too_many_arguments)]
fn run_target(
    name: &str,
    id: u64,
    socket: &UdpSocket,
    listener: &TcpListener,
    work: Duration,
    port: u16,
    draining: &AtomicBool,
    stopped: &AtomicBool,
    seen: &Seen,
) {
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), FlowAtTarget> = HashMap::new();
    let mut due: Vec<Due> = Vec::new();
    let mut buf = [0; 2_048];
    let mut accepted = Vec::new();
    let send = |to: &Header, flags: u8, seq: u32, ack: u32, data: &[u8]| {
        let header = Header { flags, src: to.dst, dst: to.src, seq, ack, echo: to.echo };
        let _ = socket.send_to(&encode(&header, data), SocketAddrV4::new(*to.src.ip(), port));
    };
    while !stopped.load(Ordering::Acquire) {
        if let Ok((stream, _)) = listener.accept() {
            accepted.push(stream);
            if accepted.len() > 64 {
                accepted.remove(0);
            }
        }
        let now = Instant::now();
        let (ready, later): (Vec<Due>, Vec<Due>) = due.into_iter().partition(|d| d.at <= now);
        due = later;
        for d in ready {
            let Some(flow) = flows.get_mut(&d.key) else { continue };
            let body = format!("served {}", d.request);
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Signature: {:08x}\r\nContent-Length: {}\r\n\r\n{body}",
                d.request, sum(&[&[0; HEAD], body.as_bytes()].concat()), body.len()
            )
            .into_bytes();
            flow.working = None;
            flow.last = Some((d.header.seq, response.clone()));
            let fin = if draining.load(Ordering::Acquire) { FIN } else { 0 };
            send(&d.header, ACK | fin, flow.isn.wrapping_add(1), d.header.seq, &response);
        }
        let Ok((n, via)) = socket.recv_from(&mut buf) else { continue };
        if n < 8 {
            continue;
        }
        let to = u64::from_be_bytes(buf[..8].try_into().unwrap_or_default());
        if to != id && to != 0 {
            continue;
        }
        let Some((h, data, _)) = decode(&buf[8..n]) else {
            seen.corrupt.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let key = (h.src, h.dst);
        let now = Instant::now();
        if h.flags & RST != 0 {
            flows.remove(&key);
            continue;
        }
        if h.flags & SYN != 0 {
            let flow = flows.entry(key).or_insert_with(|| FlowAtTarget {
                isn: random() as u32,
                syn_at: now,
                via,
                open: false,
                last: None,
                working: None,
            });
            send(&h, SYN | ACK, flow.isn, h.seq.wrapping_add(1), &[]);
            continue;
        }
        let Some(flow) = flows.get_mut(&key) else {
            seen.resets_sent.fetch_add(1, Ordering::Relaxed);
            send(&h, RST | ACK, 0, h.seq, &[]);
            continue;
        };
        if !flow.open {
            flow.open = true;
            lock(&seen.opened).push(Opened {
                target: name.to_owned(),
                client: h.src,
                via: flow.via,
                syn_at: flow.syn_at,
                open_at: now,
            });
        }
        if h.flags & FIN != 0 {
            let isn = flow.isn;
            flows.remove(&key);
            send(&h, ACK | FIN, isn.wrapping_add(1), h.seq.wrapping_add(1), &[]);
            continue;
        }
        if data.is_empty() {
            continue;
        }
        // A copy of the request that was answered, or that is worked on.
        if let Some((_, response)) = flow.last.as_ref().filter(|(seq, _)| *seq == h.seq) {
            send(&h, ACK, flow.isn.wrapping_add(1), h.seq, response);
            continue;
        }
        if flow.working == Some(h.seq) {
            continue;
        }
        let text = String::from_utf8_lossy(data);
        let request = text.lines().find_map(|l| l.strip_prefix("X-Attempt-Id: ")?.trim().parse().ok()).unwrap_or(0);
        lock(&seen.runs).push(Run { target: name.to_owned(), request, client: h.src, via, at: now });
        flow.working = Some(h.seq);
        due.push(Due { at: now + work, key, header: h, request });
    }
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    ResetByBalancer,
    ResetByTarget,
    TimedOut,
}

type Packet = (Header, Vec<u8>, bool);

/// The clients at one address; each flow has a port of its own.
pub struct Client {
    pub zone: String,
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Arc<Router>,
    flows: Mutex<HashMap<u16, Sender<Packet>>>,
    next_port: AtomicU16,
}

impl Client {
    pub fn start(net: &Net, number: u8, zone: &str, router: &Arc<Router>) -> Arc<Client> {
        let ip = net.ip(number);
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, net.port)).expect("client");
        let client = Arc::new(Client {
            zone: zone.to_owned(),
            ip,
            socket,
            router: Arc::clone(router),
            flows: Mutex::default(),
            next_port: AtomicU16::new(1_024),
        });
        let receiver = Arc::clone(&client);
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            while let Ok((n, _)) = receiver.socket.recv_from(&mut buf) {
                let Some((h, data, by_balancer)) = decode(&buf[..n]) else { continue };
                if let Some(tx) = lock(&receiver.flows).get(&h.dst.port()) {
                    let _ = tx.send((h, data.to_vec(), by_balancer));
                }
            }
        });
        client
    }

    /// Opens a flow as PROTOCOL.md tells: copies of the SYN after 200 and 600 ms.
    pub fn open(self: &Arc<Client>, route: SocketAddrV4) -> Result<Flow, Outcome> {
        let (tx, packets) = channel();
        let port = self.next_port.fetch_add(1, Ordering::Relaxed).max(1_024);
        lock(&self.flows).insert(port, tx);
        let mut flow = Flow {
            client: Arc::clone(self),
            id: SocketAddrV4::new(self.ip, port),
            route,
            packets,
            seq: random() as u32,
            ack: 0,
            echo: 0,
            isn: None,
            closed: false,
            opened_at: Instant::now(),
            sent_syn_at: Instant::now(),
        };
        let opened = flow.handshake();
        note(flow.sent_syn_at, match &opened {
            Ok(()) => "flows opened",
            Err(Outcome::ResetByBalancer) => "flows refused by balancers",
            Err(Outcome::ResetByTarget) => "flows refused by targets",
            Err(_) => "flows without an answer",
        });
        opened?;
        Ok(flow)
    }
}

pub struct Flow {
    client: Arc<Client>,
    pub id: SocketAddrV4,
    pub route: SocketAddrV4,
    packets: Receiver<Packet>,
    seq: u32,
    ack: u32,
    echo: u32,
    isn: Option<u32>,
    /// Whether the target has closed the flow.
    pub closed: bool,
    pub opened_at: Instant,
    pub sent_syn_at: Instant,
}

impl Flow {
    fn handshake(&mut self) -> Result<(), Outcome> {
        let started = Instant::now();
        for (copy, until) in [(0, ms(200)), (1, ms(600)), (2, ms(1_400))] {
            self.send(SYN, self.seq, copy, &[]);
            while let Some((h, _, by_balancer)) = self.next(started + until) {
                if h.flags & RST != 0 {
                    return Err(if by_balancer { Outcome::ResetByBalancer } else { Outcome::ResetByTarget });
                }
                if h.flags & SYN != 0 {
                    self.isn = Some(h.seq);
                    self.ack = h.seq.wrapping_add(1);
                    self.seq = self.seq.wrapping_add(1);
                    self.send(ACK, self.seq, self.ack, &[]);
                    self.opened_at = Instant::now();
                    return Ok(());
                }
            }
        }
        Err(Outcome::TimedOut)
    }

    /// Sends a request and waits for its answer; copies after 200 ms, doubling up to 1.6 s.
    pub fn request(&mut self, method: &str, id: u64, budget: Duration) -> Outcome {
        let sent_at = Instant::now();
        let outcome = self.exchange(method, id, budget);
        note(sent_at, match outcome {
            Outcome::Served => "requests served",
            Outcome::ResetByBalancer => "requests reset by balancers",
            Outcome::ResetByTarget => "requests reset by targets",
            Outcome::TimedOut => "requests without an answer",
        });
        outcome
    }

    fn exchange(&mut self, method: &str, id: u64, budget: Duration) -> Outcome {
        let text = format!("{method} / HTTP/1.1\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        let until = Instant::now() + budget;
        let mut wait = ms(200);
        let mut copy_at = Instant::now();
        loop {
            if Instant::now() >= copy_at {
                self.send(ACK, self.seq, self.ack, &text);
                copy_at = Instant::now() + wait;
                wait = (wait * 2).min(ms(1_600));
            }
            if let Some((h, data, by_balancer)) = self.next(copy_at.min(until)) {
                if h.flags & RST != 0 {
                    return if by_balancer { Outcome::ResetByBalancer } else { Outcome::ResetByTarget };
                }
                if !data.is_empty() && h.ack == self.seq {
                    self.closed |= h.flags & FIN != 0;
                    self.seq = self.seq.wrapping_add(text.len() as u32);
                    self.ack = self.ack.wrapping_add(data.len() as u32);
                    self.send(ACK, self.seq, self.ack, &[]);
                    return Outcome::Served;
                }
            } else if Instant::now() >= until {
                return Outcome::TimedOut;
            }
        }
    }

    /// Waits idly; returns a reset that arrives meanwhile.
    pub fn idle(&mut self, time: Duration) -> Option<Outcome> {
        let until = Instant::now() + time;
        while let Some((h, _, by_balancer)) = self.next(until) {
            if h.flags & RST != 0 {
                return Some(if by_balancer { Outcome::ResetByBalancer } else { Outcome::ResetByTarget });
            }
            self.closed |= h.flags & FIN != 0;
        }
        None
    }

    pub fn close(mut self) {
        self.send(FIN | ACK, self.seq, self.ack, &[]);
        self.closed = true;
    }

    fn next(&mut self, until: Instant) -> Option<Packet> {
        loop {
            let wait = until.saturating_duration_since(Instant::now());
            let packet = self.packets.recv_timeout(wait).ok()?;
            let h = packet.0;
            // A second target that answered a copy of the SYN: the flow isn't open there.
            if h.flags & SYN != 0 && self.isn.is_some_and(|isn| isn != h.seq) {
                continue;
            }
            if h.flags & RST == 0 {
                self.echo = h.echo;
            }
            return Some(packet);
        }
    }

    fn send(&self, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let header = Header { flags, src: self.id, dst: self.route, seq, ack, echo: self.echo };
        if let Some(node) = self.client.router.route(&self.client.zone, self.id, self.route) {
            let _ = self.client.socket.send_to(&encode(&header, data), node);
        }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        lock(&self.client.flows).remove(&self.id.port());
    }
}

/// A private temporary folder of this run.
pub fn temporary_folder(case: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("temporary folder");
    dir
}
