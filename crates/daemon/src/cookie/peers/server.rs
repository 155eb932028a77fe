//! HTTP server for requests from peer balancers.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rocket::http::Status;
use rocket::{Build, Rocket, State, post, routes};
use sequoiatrail_cookie::{PeerInfo, Peers, Snapshot};
use sequoiatrail_events::{Event, RateLimit};
use sequoiatrail_platform::{HttpServer, TokenBucket, http_config};
use sequoiatrail_wire::Key;

use super::message::{MessageError, PATH, PeerRequest, PeerResponse, open, seal};
use crate::Result;
use crate::cookie::shared::Shared;
use crate::counters::{Count, Counters};
use crate::error::ComponentSnafu;

/// Worker threads; peers send a few requests a second.
const WORKERS: usize = 1;
/// Rate limit of snapshots, in bytes per second; a small part of the slowest VM's link.
const SNAPSHOT_BYTES_PER_SECOND: f64 = 128.0 * 1_024.0;
/// Burst size of the snapshot rate limit, in bytes.
const SNAPSHOT_BURST_BYTES: f64 = 512.0 * 1_024.0;
/// Log lines per second about rejected requests.
const REJECTED_LINES_PER_SECOND: u32 = 5;

/// Peer state shared by the poller and the server.
pub(in crate::cookie) struct SharedPeers {
    peers: Mutex<Peers>,
    /// The key shared by all balancers, if configured.
    pub(super) key: Option<Key>,
    snapshot_bytes: Mutex<TokenBucket>,
    rejected_log_limit: RateLimit,
}

impl SharedPeers {
    pub fn new(peers: Peers, key: Option<Key>) -> SharedPeers {
        SharedPeers {
            peers: Mutex::new(peers),
            key,
            snapshot_bytes: TokenBucket::new(SNAPSHOT_BYTES_PER_SECOND, SNAPSHOT_BURST_BYTES)
                .into(),
            rejected_log_limit: RateLimit::new(REJECTED_LINES_PER_SECOND),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs a message that can't be encoded or was rejected, rate limited.
    pub(super) fn log_rejected(&self, shared: &Shared, error: &impl Display) {
        if let Some(skipped) = self.rejected_log_limit.admit(shared.clock.now()) {
            shared.log.emit(Event::PeerRejected {
                error: error.to_string(),
                skipped,
            });
        }
    }

    /// Whether the rate limit allows a snapshot of `bytes` now.
    fn admit_snapshot(&self, now: Duration, bytes: usize) -> bool {
        let tokens = (bytes as f64).min(SNAPSHOT_BURST_BYTES);
        let mut bucket = self
            .snapshot_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        bucket.take_many(now, tokens).is_ok()
    }
}

struct Server {
    shared: Arc<Shared>,
    peers: Arc<SharedPeers>,
    counters: Arc<Counters>,
}

/// Starts the server for peer requests.
pub(in crate::cookie) fn start(
    shared: &Arc<Shared>,
    peers: &Arc<SharedPeers>,
    listen: SocketAddr,
) -> Result<HttpServer> {
    let server = Server {
        shared: Arc::clone(shared),
        peers: Arc::clone(peers),
        counters: shared.counters.for_thread(),
    };
    HttpServer::start(rocket(server, listen), listen).or_else(|e| {
        ComponentSnafu {
            component: "cookie.peers_listen",
            reason: e.to_string(),
        }
        .fail()
    })
}

fn rocket(server: Server, listen: SocketAddr) -> Rocket<Build> {
    rocket::custom(http_config(listen, WORKERS))
        .manage(server)
        .mount(PATH, routes![news])
}

#[post("/", data = "<body>")]
fn news(server: &State<Server>, body: &[u8]) -> std::result::Result<Vec<u8>, Status> {
    server.respond(body).map_err(|e| {
        server.peers.log_rejected(&server.shared, &e);
        match e {
            MessageError::TagMismatch => Status::Forbidden,
            _ => Status::BadRequest,
        }
    })
}

impl Server {
    fn respond(&self, body: &[u8]) -> super::message::Result<Vec<u8>> {
        let key = self.peers.key.as_ref();
        let request: PeerRequest = open(key, PATH.as_bytes(), body)?;
        let now = self.shared.clock.now();
        let mut response = self.response_without_snapshot(now, &request.from);
        let context = request.nonce.to_be_bytes();
        response.snapshot = self.snapshot_for(&request);
        if request.wants_corrections {
            response.corrections = Some(self.shared.lock().corrections());
        }
        let bytes = seal(key, &context, &response)?;
        if response.snapshot.is_none() {
            return Ok(bytes);
        }
        if self.peers.admit_snapshot(now, bytes.len()) {
            self.counters.add(Count::SnapshotsGiven, 1);
            return Ok(bytes);
        }
        response.snapshot = None;
        seal(key, &context, &response)
    }

    fn response_without_snapshot(&self, now: Duration, from: &PeerInfo) -> PeerResponse {
        let sampled = {
            let mut peers = self.peers.lock();
            let sampled = peers.sample(&from.domain);
            peers.record_contact(from);
            sampled
        };
        let serves = self.shared.could_serve();
        let balancer = self.shared.lock();
        let manifest = balancer.routes().in_force();
        PeerResponse {
            domain: balancer.domain(),
            serves,
            peers: sampled,
            manifest: manifest.version,
            manifest_at: manifest.at,
            revision: balancer.directory().revision(),
            age_ms: self.shared.targets_age(now).as_millis() as u64,
            snapshot: None,
            corrections: None,
        }
    }

    fn snapshot_for(&self, request: &PeerRequest) -> Option<Snapshot> {
        if !request.wants_snapshot {
            return None;
        }
        let balancer = self.shared.lock();
        balancer.snapshot_after(&request.known_revisions())
    }
}
