//! Answers to other balancers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rocket::http::Status;
use rocket::{Build, Rocket, State, post, routes};
use sequoiatrail_cookie::{PeerInfo, Peers, Snapshot};
use sequoiatrail_events::{Event, RateLimit};
use sequoiatrail_platform::{HttpServer, TokenBucket, http_config};
use sequoiatrail_wire::Key;

use super::message::{Answer, MessageError, PATH, Question, open, seal};
use crate::Result;
use crate::cookie::shared::Shared;
use crate::counters::{Count, Counters};
use crate::error::ComponentSnafu;

/// Threads that answer; peers ask a few times a second.
const WORKERS: usize = 1;
/// Bytes of snapshots a second, a small part of the slowest VM's link.
const SNAPSHOT_BYTES_PER_SECOND: f64 = 128.0 * 1_024.0;
/// Bytes of snapshots at once after a quiet time.
const SNAPSHOT_BURST_BYTES: f64 = 512.0 * 1_024.0;
/// Lines a second about questions that were not answered.
const REJECTED_LINES_PER_SECOND: u32 = 5;

/// What the thread that asks and the server that answers share.
pub(in crate::cookie) struct Known {
    peers: Mutex<Peers>,
    /// The key that all balancers share, if they have one.
    pub(super) key: Option<Key>,
    snapshot_bytes: Mutex<TokenBucket>,
    rejected: RateLimit,
}

impl Known {
    pub fn new(peers: Peers, key: Option<Key>) -> Known {
        Known {
            peers: Mutex::new(peers),
            key,
            snapshot_bytes: TokenBucket::new(SNAPSHOT_BYTES_PER_SECOND, SNAPSHOT_BURST_BYTES)
                .into(),
            rejected: RateLimit::new(REJECTED_LINES_PER_SECOND),
        }
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a snapshot of so many bytes may leave now.
    fn admits(&self, now: Duration, bytes: usize) -> bool {
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
    known: Arc<Known>,
    counters: Arc<Counters>,
}

/// Starts the server.
pub(in crate::cookie) fn start(
    shared: &Arc<Shared>,
    known: &Arc<Known>,
    listen: SocketAddr,
) -> Result<HttpServer> {
    let server = Server {
        shared: Arc::clone(shared),
        known: Arc::clone(known),
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
    server.answer(body).map_err(|e| {
        server.rejected(&e);
        match e {
            MessageError::WrongTag => Status::Forbidden,
            _ => Status::BadRequest,
        }
    })
}

impl Server {
    fn answer(&self, body: &[u8]) -> super::message::Result<Vec<u8>> {
        let key = self.known.key.as_ref();
        let question: Question = open(key, PATH.as_bytes(), body)?;
        let now = self.shared.clock.now();
        let mut answer = self.answer_without_snapshot(now, &question.from);
        let context = question.nonce.to_be_bytes();
        answer.snapshot = self.snapshot_for(&question);
        let bytes = seal(key, &context, &answer)?;
        if answer.snapshot.is_none() {
            return Ok(bytes);
        }
        if self.known.admits(now, bytes.len()) {
            self.counters.add(Count::SnapshotsGiven, 1);
            return Ok(bytes);
        }
        answer.snapshot = None;
        seal(key, &context, &answer)
    }

    fn answer_without_snapshot(&self, now: Duration, from: &PeerInfo) -> Answer {
        let named = {
            let mut peers = self.known.peers();
            let named = peers.sample(&from.domain);
            peers.record_contact(from);
            named
        };
        let serves = self.shared.could_serve();
        let balancer = self.shared.lock();
        Answer {
            domain: balancer.domain(),
            serves,
            peers: named,
            revision: balancer.directory().revision(),
            age_ms: self.shared.targets_age(now).as_millis() as u64,
            snapshot: None,
        }
    }

    fn snapshot_for(&self, question: &Question) -> Option<Snapshot> {
        if !question.wants_snapshot {
            return None;
        }
        let balancer = self.shared.lock();
        balancer.snapshot_after(question.manifest, question.revision)
    }

    fn rejected(&self, error: &MessageError) {
        if let Some(skipped) = self.known.rejected.admit(self.shared.clock.now()) {
            self.shared.log.emit(Event::PeerRejected {
                error: error.to_string(),
                skipped,
            });
        }
    }
}
