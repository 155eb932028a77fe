//! Questions to other balancers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sequoiatrail_cookie::{PeerChange, PeerInfo, Snapshot, SnapshotError, SnapshotOutcome};
use sequoiatrail_events::Event;
use sequoiatrail_platform::{Client, ClientConfig, Error, Method};
use snafu::{ResultExt, Snafu, ensure};

use super::message::{Answer, MessageError, PATH, Question, open, seal};
use super::server::Known;
use crate::cookie::changes::{log_manifest, log_news};
use crate::cookie::shared::Shared;
use crate::counters::{Count, Counters};

/// Time between two looks at whether somebody is to be asked.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Longest time to make a connection; many round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time of a question without a snapshot.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time of a question with one, also over the slowest link.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest answer, in bytes: a manifest and targets of the largest size.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
/// What log lines name as the source of news.
const SOURCE: &str = "peer";

/// Result of a question.
type Result<T, E = AskError> = std::result::Result<T, E>;

/// Why a question got no answer that can be used.
#[derive(Debug, Snafu)]
enum AskError {
    /// Nothing came back.
    #[snafu(display("no answer: {reason}"))]
    NoAnswer { reason: String },
    /// The other balancer turned the question away.
    #[snafu(display("turned away with status {status}"))]
    TurnedAway { status: u16 },
    /// The question can't be written, or the answer can't be read.
    #[snafu(display("the message can't be used: {source}"))]
    Message { source: MessageError },
    /// What the answer says can't be used.
    #[snafu(display("the snapshot can't be used: {source}"))]
    Snapshot { source: SnapshotError },
}

/// Asks, on a thread of its own.
pub(in crate::cookie) struct Asker {
    shared: Arc<Shared>,
    known: Arc<Known>,
    counters: Arc<Counters>,
    /// Where this balancer takes questions.
    own: SocketAddr,
}

impl Asker {
    pub fn new(shared: Arc<Shared>, known: Arc<Known>, own: SocketAddr) -> Asker {
        Asker {
            counters: shared.counters.for_thread(),
            shared,
            known,
            own,
        }
    }

    /// Asks until the process ends.
    pub fn run(self) {
        while !self.shared.has_ended() {
            thread::sleep(LOOK_EVERY);
            let now = self.shared.clock.now();
            let urgent = self.shared.lacks_store(now);
            let next = self.known.peers().next_to_query(now, urgent);
            if let Some(peer) = next {
                self.ask(peer, urgent);
            }
        }
    }

    fn ask(&self, peer: SocketAddr, urgent: bool) {
        self.counters.add(Count::PeerQuestions, 1);
        let asked = self.shared.clock.now();
        match self.exchange(peer, urgent) {
            Ok(answer) => self.answered(peer, answer),
            Err(error) => self.failed(peer, asked, &error),
        }
        let minority = self.known.peers().is_minority(self.shared.clock.now());
        self.shared.step_aside(minority);
    }

    fn exchange(&self, peer: SocketAddr, urgent: bool) -> Result<Answer> {
        let question = self.question(urgent);
        let key = self.known.key.as_ref();
        let body = seal(key, PATH.as_bytes(), &question).context(MessageSnafu)?;
        let client = Client::new(ClientConfig {
            endpoint: peer,
            connect_timeout: CONNECT_TIMEOUT,
            max_response_bytes: MAX_ANSWER_BYTES,
            clock: Arc::clone(&self.shared.clock),
            ..ClientConfig::default()
        });
        let timeout = if urgent {
            SNAPSHOT_TIMEOUT
        } else {
            ASK_TIMEOUT
        };
        let reply = client.exchange(Method::POST, PATH, &body, timeout);
        let reply = reply.map_err(no_answer)?;
        let status = reply.status;
        ensure!(status == 200, TurnedAwaySnafu { status });
        let context = question.nonce.to_be_bytes();
        open(key, &context, &reply.body).context(MessageSnafu)
    }

    fn question(&self, urgent: bool) -> Question {
        let balancer = self.shared.lock();
        let directory = balancer.directory();
        Question {
            from: PeerInfo {
                address: self.own,
                domain: balancer.domain(),
            },
            nonce: rand::random(),
            manifest: balancer.routes().version(),
            revision: directory.revision(),
            wants_snapshot: urgent,
        }
    }

    fn answered(&self, peer: SocketAddr, answer: Answer) {
        let now = self.shared.clock.now();
        let from = PeerInfo {
            address: peer,
            domain: Arc::clone(&answer.domain),
        };
        let mut peers = self.known.peers();
        let change = peers.record_response(&from, answer.serves, &answer.peers);
        drop(peers);
        if change == Some(PeerChange::Recovered) {
            self.shared.log.emit(Event::PeerBack { peer });
        }
        let age = Duration::from_millis(answer.age_ms);
        if let Some(snapshot) = answer.snapshot {
            self.take(now, peer, snapshot, age);
        }
        if self.shared.lock().directory().revision() == answer.revision {
            self.shared.confirm_targets(now.saturating_sub(age));
        }
    }

    fn take(&self, now: Duration, peer: SocketAddr, snapshot: Snapshot, age: Duration) {
        let (version, routes) = (snapshot.manifest.version, snapshot.manifest.routes.len());
        let (revision, targets) = (snapshot.revision, snapshot.targets.len());
        let taken = self.shared.lock().apply_snapshot(now, snapshot);
        let taken = taken.context(SnapshotSnafu);
        let SnapshotOutcome {
            manifest,
            targets: news,
        } = match taken {
            Ok(taken) => taken,
            Err(error) => return self.failed(peer, now, &error),
        };
        self.counters.add(Count::SnapshotsTaken, 1);
        self.shared.log.emit(Event::SnapshotTaken {
            peer,
            manifest: version,
            revision,
            targets,
            age_ms: age.as_millis() as u64,
        });
        log_manifest(&self.shared, manifest, version, (routes, 0), SOURCE);
        log_news(&self.shared, &news, revision, SOURCE);
        // The store's own list goes before this one as soon as it answers.
        self.shared.list_again();
    }

    fn failed(&self, peer: SocketAddr, asked: Duration, error: &AskError) {
        let now = self.shared.clock.now();
        let change = self.known.peers().record_failure(now, peer, asked);
        if change == Some(PeerChange::Lost) {
            let error = error.to_string();
            self.shared.log.emit(Event::PeerLost { peer, error });
        }
    }
}

/// The client's errors speak of the platform; only their reasons hold here.
fn no_answer(error: Error) -> AskError {
    let reason = match error {
        Error::NotSent { reason } | Error::NoResponse { reason } => reason,
        other => other.to_string(),
    };
    AskError::NoAnswer { reason }
}
