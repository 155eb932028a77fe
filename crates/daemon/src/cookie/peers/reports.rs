//! Reports of suspect targets to the other balancers of the failure domain.
//!
//! A report is a datagram with a message as described in `message`. A lost one costs a
//! flow at most, so none is repeated or acknowledged.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use sequoiatrail_cookie::SuspectReport;
use sequoiatrail_events::Event;
use serde::{Deserialize, Serialize};

use super::message::{open, seal};
use super::server::SharedPeers;
use super::store_check::StoreCheck;
use super::{load, load_message};
use crate::cookie::shared::Shared;
use crate::counters::{Count, Counters};
use crate::receive::is_transient;

/// Part of each authentication tag, so that no other message passes as a report.
pub(super) const CONTEXT: &[u8] = b"reports";
/// Time over which reports are collected into one datagram.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Maximum number of targets of each kind per datagram; the rest is left out.
const MAX_TARGETS: usize = 24;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Longest wait of a thread, so that it notices a shutdown. A stop waits for as long.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Targets that are suspect at the sender, or what it read from the store.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Report {
    /// Address of the sender's peer API.
    pub from: SocketAddr,
    /// The targets.
    #[serde(flatten)]
    pub report: SuspectReport,
    /// What it has compared with the store itself. Missing in reports of older builds,
    /// which ignore it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_check: Option<StoreCheck>,
}

/// Sends reports to the peers of the failure domain.
pub(in crate::cookie) struct ReportSender {
    pub shared: Arc<Shared>,
    pub peers: Arc<SharedPeers>,
    pub socket: Arc<UdpSocket>,
    /// Address of this balancer's own peer API.
    pub own: SocketAddr,
    /// Port to which all balancers send reports; 0 is the port of the peer API.
    pub port: u16,
}

impl ReportSender {
    /// Sends queued reports until the balancer shuts down.
    pub fn run(self, queued: Receiver<SuspectReport>) {
        let counters = self.shared.counters.for_thread();
        while !self.shared.is_shut_down() {
            let mut report = match queued.recv_timeout(MAX_WAIT) {
                Ok(report) => report,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            std::thread::sleep(BATCH_TIME);
            queued.try_iter().for_each(|more| report.extend(more));
            report.normalize(MAX_TARGETS);
            self.send(&counters, report);
        }
    }

    fn send(&self, counters: &Counters, report: SuspectReport) {
        let report = Report {
            from: self.own,
            report,
            store_check: None,
        };
        let datagram = match seal(self.peers.key.as_ref(), CONTEXT, &report) {
            Ok(datagram) => datagram,
            Err(e) => return self.peers.log_rejected(&self.shared, &e),
        };
        let peers = self.peers.lock().local_peers();
        for mut peer in peers {
            if self.port != 0 {
                peer.set_port(self.port);
            }
            let count = match self.socket.send_to(&datagram, peer) {
                Ok(_) => Count::ReportsSent,
                Err(_) => Count::SendFailed,
            };
            counters.add(count, 1);
        }
    }
}

/// Receives reports, also those of load, and applies them until the balancer shuts down.
///
/// # Errors
///
/// If the socket fails for good.
pub(in crate::cookie) fn receive(
    shared: &Shared,
    peers: &SharedPeers,
    socket: &UdpSocket,
) -> io::Result<()> {
    let counters = shared.counters.for_thread();
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    while !shared.is_shut_down() {
        let length = match socket.recv_from(&mut buf) {
            Ok((length, _)) => length,
            Err(e) if is_transient(&e) => continue,
            Err(e) => return Err(e),
        };
        if buf[..length].first() == Some(&load_message::KIND) {
            load::receive(shared, peers, &counters, &buf[..length]);
            continue;
        }
        counters.add(Count::ReportsReceived, 1);
        match open::<Report>(peers.key.as_ref(), CONTEXT, &buf[..length]) {
            Ok(report) => apply(shared, &report),
            Err(e) => peers.log_rejected(shared, &e),
        }
    }
    Ok(())
}

fn apply(shared: &Shared, report: &Report) {
    let now = shared.clock.now();
    if let Some(check) = report.store_check {
        check.apply(shared, now);
    }
    let avoided = shared
        .lock()
        .record_report(now, report.from, &report.report);
    for target in avoided {
        shared.log.emit(Event::TargetReported {
            target: target.to_string(),
            peer: report.from,
        });
    }
}

/// Opens the socket for reports.
///
/// # Errors
///
/// If the address can't be bound.
pub(in crate::cookie) fn open_socket(listen: SocketAddr, port: u16) -> io::Result<UdpSocket> {
    let mut address = listen;
    if port != 0 {
        address.set_port(port);
    }
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(MAX_WAIT))?;
    Ok(socket)
}
