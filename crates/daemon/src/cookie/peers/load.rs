//! Exchange of load between the balancers of a failure domain, and of a small fleet.
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

/// Most peers of other failure domains to exchange load with: reports of more come so
/// seldom that they are out of date.
const MAX_REMOTE_PEERS: usize = 24;

/// Sends load reports to the peers of the failure domain, and to all others in a small
/// fleet.
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
        let start = self.shared.clock.now();
        let mut local = LoadRotation::new(cfg, self.own, start);
        let mut remote = LoadRotation::new(cfg, self.own, start);
        while !self.shared.is_shut_down() {
            std::thread::sleep(cfg.interval);
            let now = self.shared.clock.now();
            let peers = self.local_recipients(now);
            self.send(&counters, &mut local, &peers, now);
            let peers = self.remote_recipients(now);
            self.send(&counters, &mut remote, &peers, now);
        }
    }

    fn local_recipients(&self, now: Duration) -> Vec<SocketAddr> {
        let known = self.peers.lock().local_peers();
        let mut balancer = self.shared.lock();
        balancer.refresh_domain_load(now, self.own, known)
    }

    /// Recipients in other failure domains; none if not all are known, or if they are so
    /// many that what they report would be too old to decide by.
    fn remote_recipients(&self, now: Duration) -> Vec<SocketAddr> {
        let known = self.peers.lock().remote_peers();
        let Some(known) = known.filter(|known| known.len() <= MAX_REMOTE_PEERS) else {
            return Vec::new();
        };
        let mut balancer = self.shared.lock();
        balancer.refresh_remote_load(now, self.own, known)
    }

    fn send(
        &self,
        counters: &Counters,
        rotation: &mut LoadRotation,
        peers: &[SocketAddr],
        now: Duration,
    ) {
        if peers.is_empty() || !rotation.is_due(now) {
            return;
        }
        let mut balancer = self.shared.lock();
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
        for peer in rotation.next_peers(peers, datagram.len()) {
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
    let counts = match message.domain == balancer.domain() {
        true => balancer.record_load_report(now, message.from, message.report),
        false => balancer.record_remote_report(now, message.from, message.report),
    };
    drop(balancer);
    if !counts {
        counters.add(Count::LoadReportsIgnored, 1);
    }
}
