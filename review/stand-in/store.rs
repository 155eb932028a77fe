//! The platform's store of objects, as far as balancers use it: lists and watches over HTTP.
//!
//! Stale reads are up to date here, as the page allows.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Objects per list page unless it is set otherwise.
const PAGE_SIZE: usize = 500;
/// Most bytes of objects per list page.
const PAGE_BYTES: usize = 1_000_000;
/// Time that a list takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Longest time for which a waiting watch sleeps.
const WATCH_POLL: Duration = Duration::from_millis(50);
/// Time without a request after which a connection is closed.
const CONNECTION_IDLE: Duration = Duration::from_secs(60);

/// A change of one object. The store keeps all of them.
struct Change {
    revision: u64,
    kind: &'static str,
    name: String,
    /// The object as it is sent.
    object: Vec<u8>,
    deleted: bool,
}

struct Inner {
    revision: u64,
    changes: Vec<Change>,
    calls: u64,
    /// Connections accepted before this moment are silent.
    silent_before: Option<Instant>,
    /// Number of times that all waiting watches were cut off.
    cuts: u64,
    /// Objects per list page.
    page_size: usize,
    /// Changes up to this revision can't be watched any more.
    forgotten: u64,
}

/// A response: status line and body.
type Response = (&'static str, Vec<u8>);

impl Default for Inner {
    fn default() -> Inner {
        Inner {
            // Revisions start above 0.
            revision: 100,
            changes: Vec::new(),
            calls: 0,
            silent_before: None,
            cuts: 0,
            page_size: PAGE_SIZE,
            forgotten: 0,
        }
    }
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddrV4) -> std::io::Result<Store> {
        let store = Store::default();
        let listener = TcpListener::bind(address)?;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.0.lock().unwrap()
    }

    /// Writes an object; `spec` is sent as it is. Returns when the write was acknowledged.
    pub fn put(&self, kind: &'static str, name: &str, spec: &[u8]) -> Instant {
        self.change(kind, name, Some(spec))
    }

    /// Removes an object. Returns when the removal was acknowledged.
    pub fn delete(&self, kind: &'static str, name: &str) -> Instant {
        self.change(kind, name, None)
    }

    fn change(&self, kind: &'static str, name: &str, spec: Option<&[u8]>) -> Instant {
        let mut inner = self.lock();
        inner.revision += 1;
        let revision = inner.revision;
        let mut object = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\
             \"created_revision\":{revision},\"finalizers\":[],\"deletion_pending\":false}},\
             \"spec\":"
        )
        .into_bytes();
        object.extend_from_slice(spec.unwrap_or(b"null"));
        object.extend_from_slice(b",\"status\":null}");
        let at = Instant::now();
        inner.changes.push(Change {
            revision,
            kind,
            name: name.to_owned(),
            object,
            deleted: spec.is_none(),
        });
        self.shared.1.notify_all();
        at
    }

    /// Silences all connections that are open now, for good; new ones work.
    pub fn silence_connections(&self) {
        self.lock().silent_before = Some(Instant::now());
    }

    /// Cuts off all watches that are waiting now: their connections are closed without a
    /// response. All other calls are answered as ever.
    pub fn cut_watches(&self) {
        self.lock().cuts += 1;
        self.shared.1.notify_all();
    }

    /// Discards the history: a watch from any revision so far is answered with 410, also
    /// one that is waiting.
    pub fn forget_history(&self) {
        let mut inner = self.lock();
        inner.forgotten = inner.revision;
        // Watches that continue from the last revision have missed something too.
        inner.revision += 1;
        self.shared.1.notify_all();
    }

    /// Sets the number of objects per list page.
    pub fn set_page_size(&self, objects: usize) {
        self.lock().page_size = objects;
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(CONNECTION_IDLE));
        let accepted = Instant::now();
        let mut buf = Vec::new();
        while let Some(path) = read_request(&mut stream, &mut buf) {
            let Some((status, body)) = self.respond(&path) else {
                return;
            };
            let silent_before = self.lock().silent_before;
            if silent_before.is_some_and(|at| accepted < at) {
                // Neither a response nor a reset.
                thread::sleep(CONNECTION_IDLE);
                return;
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// The response to a call; `None` if it was cut off.
    fn respond(&self, path: &str) -> Option<Response> {
        self.lock().calls += 1;
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let Some(kind) = path.strip_prefix("/sequoiatrail/objects/") else {
            return Some(("404 Not Found", b"{}".to_vec()));
        };
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name);
            values.next().map(|(_, value)| value.to_owned())
        };
        match field("watch_revision").and_then(|text| text.parse().ok()) {
            Some(after) => {
                let wait = field("wait_timeout_ms").and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                self.watch(kind, after, wait)
            }
            None => {
                thread::sleep(ANSWER_TIME);
                let after = percent_decode(&field("after").unwrap_or_default());
                Some(("200 OK", self.list(kind, &after)))
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let inner = self.lock();
        let visible = inner.revision;
        let mut objects: BTreeMap<&str, &[u8]> = BTreeMap::new();
        let changes = inner.changes.iter().filter(|c| c.kind == kind);
        for change in changes.take_while(|c| c.revision <= visible) {
            match change.deleted {
                true => objects.remove(change.name.as_str()),
                false => objects.insert(&change.name, &change.object),
            };
        }
        let rest: Vec<&[u8]> = objects
            .into_iter()
            .filter(|(name, _)| *name > after)
            .map(|(_, object)| object)
            .collect();
        let page = page_length(&rest, inner.page_size);
        let has_more = rest.len() > page;
        let mut body = b"{\"items\":[".to_vec();
        body.extend_from_slice(&rest[..page].join(&b','));
        let end = format!("],\"has_more\":{has_more},\"read_revision\":{visible}}}");
        body.extend_from_slice(end.as_bytes());
        body
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<Response> {
        let deadline = Instant::now() + wait;
        let mut inner = self.lock();
        let cuts = inner.cuts;
        loop {
            if after <= inner.forgotten {
                return Some(("410 Gone", b"{}".to_vec()));
            }
            let visible = inner.revision;
            let events: Vec<Vec<u8>> = inner
                .changes
                .iter()
                .filter(|c| c.kind == kind && c.revision > after && c.revision <= visible)
                .map(Change::event)
                .collect();
            if !events.is_empty() || Instant::now() >= deadline {
                let mut body = b"{\"events\":[".to_vec();
                body.extend_from_slice(&events.join(&b','));
                let end = format!("],\"read_revision\":{}}}", visible.max(after));
                body.extend_from_slice(end.as_bytes());
                return Some(("200 OK", body));
            }
            if inner.cuts != cuts {
                return None;
            }
            let waited = self.shared.1.wait_timeout(inner, WATCH_POLL);
            inner = waited.unwrap().0;
        }
    }
}

impl Change {
    fn event(&self) -> Vec<u8> {
        let mut event = format!("{{\"deleted\":{},\"object\":", self.deleted).into_bytes();
        event.extend_from_slice(&self.object);
        event.push(b'}');
        event
    }
}

/// Number of objects on a page that begins with these: at least one.
fn page_length(objects: &[&[u8]], most: usize) -> usize {
    let mut bytes = 0;
    let fits = objects.iter().take(most).take_while(|object| {
        bytes += object.len();
        bytes <= PAGE_BYTES
    });
    fits.count().max(1).min(objects.len())
}

/// Decodes the percent-encoded bytes of a value in a query.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a request without a body; its path, or `None` at the end of the connection.
fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0; 2_048];
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            buf.drain(..end + 4);
            return text.split(' ').nth(1).map(str::to_owned);
        }
        match stream.read(&mut chunk) {
            Ok(length) if length > 0 => buf.extend_from_slice(&chunk[..length]),
            _ => return None,
        }
    }
}
