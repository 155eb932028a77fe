//! Exchange of load between the balancers of a failure domain.
//!
//! Load reports are datagrams as described in `load_message`, sent and received at the
//! socket of the reports of suspect targets. A lost one is followed by the next.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_cookie::{LoadMessage, LoadRotation, LoadRotationConfig};

use super::load_message::{OpenError, open, seal};
use super::server::SharedPeers;
use crate::cookie::shared::Shared;
use crate::counters::{Count, Counters};

/// Sends load reports to the peers of the failure domain.
pub(in crate::cookie) struct LoadSender {
    pub shared: Arc<Shared>,
    pub peers: Arc<SharedPeers>,
    pub socket: Arc<UdpSocket>,
    /// Address of this balancer's own peer API.
    pub own: SocketAddr,
    /// Port to which all balancers send reports; 0 is the port of the peer API.
    pub port: u16,
}

impl LoadSender {
    /// Sends reports until the balancer shuts down.
    pub fn run(self) {
        let counters = self.shared.counters.for_thread();
        let cfg = LoadRotationConfig::default();
        let mut rotation = LoadRotation::new(cfg, self.own, self.shared.clock.now());
        while !self.shared.is_shut_down() {
            std::thread::sleep(cfg.interval);
            let now = self.shared.clock.now();
            self.send(&counters, &mut rotation, now);
        }
    }

    fn send(&self, counters: &Counters, rotation: &mut LoadRotation, now: Duration) {
        let local_peers = self.peers.lock().local_peers();
        let mut balancer = self.shared.lock();
        let peers = balancer.refresh_domain_load(now, self.own, local_peers);
        if peers.is_empty() || !rotation.is_due(now) {
            return;
        }
        let Some(mut report) = balancer.load_report(now) else {
            return;
        };
        report.turn = rotation.turn(peers.len());
        let domain = balancer.domain();
        drop(balancer);
        let message = LoadMessage {
            from: self.own,
            domain,
            report,
        };
        let max_bytes = rotation.report_bytes(peers.len());
        let datagram = seal(self.peers.key.as_ref(), &message, max_bytes);
        for peer in rotation.next_peers(&peers, datagram.len()) {
            self.send_to(counters, &datagram, peer);
        }
    }

    fn send_to(&self, counters: &Counters, datagram: &[u8], peer: SocketAddr) {
        let mut to = peer;
        if self.port != 0 {
            to.set_port(self.port);
        }
        match self.socket.send_to(datagram, to) {
            Ok(bytes) => {
                counters.add(Count::LoadReportsSent, 1);
                counters.add(Count::LoadReportBytesSent, bytes as u64);
            }
            Err(_) => counters.add(Count::SendFailed, 1),
        }
    }
}

/// Applies a datagram with a load report.
pub(super) fn receive(shared: &Shared, peers: &SharedPeers, counters: &Counters, datagram: &[u8]) {
    counters.add(Count::LoadReportsReceived, 1);
    match open(peers.key.as_ref(), datagram) {
        Ok(message) => apply(shared, counters, message),
        // Another build; its log lines would go on until the fleet is updated.
        Err(OpenError::UnknownVersion) => {
            counters.add(Count::LoadReportsUnknown, 1);
        }
        Err(e) => {
            counters.add(Count::LoadReportsRejected, 1);
            peers.log_rejected(shared, &e);
        }
    }
}

fn apply(shared: &Shared, counters: &Counters, message: LoadMessage) {
    let now = shared.clock.now();
    let mut balancer = shared.lock();
    // A VM of another failure domain may have got the address of a peer that was here.
    let local = message.domain == balancer.domain();
    let counts = local && balancer.record_load_report(now, message.from, message.report);
    drop(balancer);
    if !counts {
        counters.add(Count::LoadReportsIgnored, 1);
    }
}
