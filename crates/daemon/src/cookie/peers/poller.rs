//! Polling of peer balancers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sequoiatrail_cookie::{PeerChange, PeerInfo, Snapshot, SnapshotError, SnapshotOutcome};
use sequoiatrail_events::Event;
use sequoiatrail_platform::{Client, ClientConfig, Error, Method};
use snafu::{ResultExt, Snafu, ensure};

use super::message::{MessageError, PATH, PeerRequest, PeerResponse, open, seal};
use super::server::SharedPeers;
use crate::cookie::changes::{log_evacuations, log_manifest, log_target_events};
use crate::cookie::shared::Shared;
use crate::counters::{Count, Counters};

/// Interval between checks whether a peer is due to be polled.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for connecting to a peer; many round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a request without a snapshot.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a request with a snapshot; long enough for the slowest link.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest response, in bytes: a manifest and targets of the largest size.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// Number of peers to ask for corrections: the first one may have started at the
/// same time.
const ENOUGH_CORRECTIONS: u32 = 3;
/// Source of changes in log lines.
const SOURCE: &str = "peer";

/// Result of polling a peer.
type Result<T, E = PollError> = std::result::Result<T, E>;

/// Why polling a peer failed.
#[derive(Debug, Snafu)]
enum PollError {
    /// The peer did not respond.
    #[snafu(display("no response: {reason}"))]
    NoResponse { reason: String },
    /// The peer rejected the request.
    #[snafu(display("request rejected with status {status}"))]
    Rejected { status: u16 },
    /// The request can't be encoded, or the response can't be decoded.
    #[snafu(display("invalid message: {source}"))]
    Message { source: MessageError },
    /// The snapshot in the response is invalid.
    #[snafu(display("invalid snapshot: {source}"))]
    Snapshot { source: SnapshotError },
}

/// Polls peer balancers on a dedicated thread.
pub(in crate::cookie) struct Poller {
    shared: Arc<Shared>,
    peers: Arc<SharedPeers>,
    counters: Arc<Counters>,
    /// Address of this balancer's own peer API.
    own: SocketAddr,
    /// Number of peers that told what they know better than a restored store.
    corrections_heard: Cell<u32>,
}

impl Poller {
    pub fn new(shared: Arc<Shared>, peers: Arc<SharedPeers>, own: SocketAddr) -> Poller {
        Poller {
            counters: shared.counters.for_thread(),
            shared,
            peers,
            own,
            corrections_heard: Cell::new(0),
        }
    }

    /// Polls until the balancer shuts down.
    pub fn run(self) {
        while !self.shared.is_shut_down() {
            thread::sleep(CHECK_INTERVAL);
            let now = self.shared.clock.now();
            let urgent = self.shared.needs_peer_snapshot(now);
            let next = self.peers.lock().next_to_query(now, urgent);
            if let Some(peer) = next {
                self.poll(peer, urgent);
            }
        }
    }

    fn poll(&self, peer: SocketAddr, urgent: bool) {
        self.counters.add(Count::PeerQuestions, 1);
        let requested_at = self.shared.clock.now();
        let response = self.exchange(peer, urgent).and_then(|response| {
            match !urgent && self.has_lost_manifest(&response) {
                true => self.exchange(peer, true),
                false => Ok(response),
            }
        });
        match response {
            Ok(response) => self.handle_response(peer, response),
            Err(error) => self.handle_failure(peer, requested_at, &error),
        }
        let now = self.shared.clock.now();
        let peers = self.peers.lock();
        let (minority, connected) = (peers.is_minority(now), peers.is_connected());
        let local = peers.local_peers();
        drop(peers);
        self.shared.set_minority(minority);
        if connected {
            self.shared.lock().record_members(now, self.own, &local);
        }
    }

    fn exchange(&self, peer: SocketAddr, urgent: bool) -> Result<PeerResponse> {
        let request = self.build_request(urgent);
        let key = self.peers.key.as_ref();
        let body = seal(key, PATH.as_bytes(), &request).context(MessageSnafu)?;
        let client = Client::new(ClientConfig {
            endpoint: peer,
            connect_timeout: CONNECT_TIMEOUT,
            max_response_bytes: MAX_RESPONSE_BYTES,
            clock: Arc::clone(&self.shared.clock),
            ..ClientConfig::default()
        });
        let timeout = if urgent {
            SNAPSHOT_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        let reply = client.exchange(Method::POST, PATH, &body, timeout);
        let reply = reply.map_err(no_response)?;
        let status = reply.status;
        ensure!(status == 200, RejectedSnafu { status });
        let context = request.nonce.to_be_bytes();
        open(key, &context, &reply.body).context(MessageSnafu)
    }

    /// Whether the peer's manifest is newer and was lost when the store was restored.
    /// Otherwise the store has it too.
    fn has_lost_manifest(&self, response: &PeerResponse) -> bool {
        response.manifest > self.shared.lock().routes().version()
            && response.manifest_at.era < self.shared.era()
    }

    fn build_request(&self, urgent: bool) -> PeerRequest {
        let balancer = self.shared.lock();
        let directory = balancer.directory();
        let manifest = balancer.routes().in_force();
        PeerRequest {
            from: PeerInfo {
                address: self.own,
                domain: balancer.domain(),
            },
            nonce: rand::random(),
            manifest: manifest.version,
            manifest_at: manifest.at,
            revision: directory.revision(),
            evacuations_at: balancer.followed_evacuations(),
            wants_snapshot: urgent,
            wants_corrections: self.corrections_heard.get() < ENOUGH_CORRECTIONS,
        }
    }

    fn handle_response(&self, peer: SocketAddr, response: PeerResponse) {
        let now = self.shared.clock.now();
        let from = PeerInfo {
            address: peer,
            domain: Arc::clone(&response.domain),
        };
        let mut peers = self.peers.lock();
        let change = peers.record_response(&from, response.serves, &response.peers);
        drop(peers);
        if change == Some(PeerChange::Recovered) {
            self.shared.log.emit(Event::PeerBack { peer });
        }
        if let Some(corrections) = response.corrections {
            self.corrections_heard.update(|heard| heard + 1);
            self.shared.lock().record_corrections(now, corrections);
        }
        let age = Duration::from_millis(response.age_ms);
        if let Some(snapshot) = response.snapshot {
            self.apply_snapshot(now, peer, snapshot, age);
        }
        if self.shared.lock().directory().revision() == response.revision {
            self.shared.confirm_targets(now.saturating_sub(age));
        }
    }

    fn apply_snapshot(&self, now: Duration, peer: SocketAddr, snapshot: Snapshot, age: Duration) {
        let (version, routes) = (snapshot.manifest.version, snapshot.manifest.routes.len());
        let (revision, targets) = (snapshot.revision, snapshot.targets.len());
        let outcome = self.shared.lock().apply_snapshot(now, snapshot);
        let outcome = outcome.context(SnapshotSnafu);
        let SnapshotOutcome {
            manifest,
            targets: events,
            evacuations,
        } = match outcome {
            Ok(outcome) => outcome,
            Err(error) => return self.handle_failure(peer, now, &error),
        };
        self.counters.add(Count::SnapshotsTaken, 1);
        self.shared.log.emit(Event::SnapshotTaken {
            peer,
            manifest: version,
            revision: revision.number,
            targets,
            age_ms: age.as_millis() as u64,
        });
        log_manifest(&self.shared, manifest, version, (routes, 0), SOURCE);
        log_target_events(&self.shared, &events, revision, SOURCE);
        log_evacuations(&self.shared, &evacuations, SOURCE);
        // The store is authoritative: relist as soon as it responds.
        self.shared.request_relist();
    }

    fn handle_failure(&self, peer: SocketAddr, requested_at: Duration, error: &PollError) {
        let now = self.shared.clock.now();
        let change = self.peers.lock().record_failure(now, peer, requested_at);
        if change == Some(PeerChange::Lost) {
            let error = error.to_string();
            self.shared.log.emit(Event::PeerLost { peer, error });
        }
    }
}

/// Keeps only the reason of a client error, whose message refers to the platform.
fn no_response(error: Error) -> PollError {
    let reason = match error {
        Error::NotSent { reason } | Error::NoResponse { reason } => reason,
        other => other.to_string(),
    };
    PollError::NoResponse { reason }
}
