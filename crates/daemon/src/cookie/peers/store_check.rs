//! What a balancer compared with the store itself, told to others in reports, so that they
//! need not ask too.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Weak};
use std::time::Duration;

use sequoiatrail_adapter::Kind;
use sequoiatrail_cookie::SuspectReport;
use sequoiatrail_types::StoreRevision;
use serde::{Deserialize, Serialize};

use super::message::seal;
use super::reports::{CONTEXT, Report};
use super::server::SharedPeers;
use crate::cookie::shared::Shared;
use crate::counters::Count;

/// Time from a comparison to its arrival here, at most: a call and a datagram.
const MAX_AGE: Duration = Duration::from_millis(1_000);

/// Result of a comparison.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct StoreCheck {
    kind: CheckedKind,
    /// Revision of the last change of an object of the kind.
    last_change: StoreRevision,
}

/// Kind of object, as named between balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CheckedKind {
    Targets,
    Manifest,
    Evacuations,
    /// One that this build doesn't know.
    #[serde(other)]
    Unknown,
}

impl CheckedKind {
    fn of(kind: Kind) -> CheckedKind {
        match kind {
            Kind::Targets => CheckedKind::Targets,
            Kind::Manifest => CheckedKind::Manifest,
            Kind::Evacuations => CheckedKind::Evacuations,
            Kind::Balancers => CheckedKind::Unknown,
        }
    }

    fn kind(self) -> Option<Kind> {
        match self {
            CheckedKind::Targets => Some(Kind::Targets),
            CheckedKind::Manifest => Some(Kind::Manifest),
            CheckedKind::Evacuations => Some(Kind::Evacuations),
            CheckedKind::Unknown => None,
        }
    }
}

impl StoreCheck {
    /// Takes note of another balancer's comparison.
    pub fn apply(self, shared: &Shared, now: Duration) {
        let Some(kind) = self.kind.kind() else {
            return;
        };
        if shared.feed(kind).record_heard(now, self.last_change) {
            shared.record_current(kind, now.saturating_sub(MAX_AGE));
        }
    }
}

/// Tells comparisons to all known balancers.
pub(in crate::cookie) struct StoreCheckSender {
    pub shared: Arc<Shared>,
    pub peers: Arc<SharedPeers>,
    /// Gone once the threads that exchange reports have stopped, which frees the port.
    pub socket: Weak<UdpSocket>,
    /// Address of this balancer's own peer API.
    pub own: SocketAddr,
    /// Port to which all balancers send reports; 0 is the port of the peer API.
    pub port: u16,
}

impl StoreCheckSender {
    /// Tells the last change of a kind.
    pub fn send(&self, kind: Kind, last_change: StoreRevision) {
        let Some(socket) = self.socket.upgrade() else {
            return;
        };
        let report = Report {
            from: self.own,
            report: SuspectReport::default(),
            store_check: Some(StoreCheck {
                kind: CheckedKind::of(kind),
                last_change,
            }),
        };
        let datagram = match seal(self.peers.key.as_ref(), CONTEXT, &report) {
            Ok(datagram) => datagram,
            Err(e) => return self.peers.log_rejected(&self.shared, &e),
        };
        let peers = self.peers.lock().responding_peers();
        for mut peer in peers {
            if self.port != 0 {
                peer.set_port(self.port);
            }
            if socket.send_to(&datagram, peer).is_err() {
                self.shared.check_counters.add(Count::SendFailed, 1);
            }
        }
    }
}
