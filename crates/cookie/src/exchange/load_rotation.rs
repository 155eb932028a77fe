//! Whom to tell the load next, within a fixed number of bytes per second.
//!
//! Handles failure domains of any size: the cost per balancer is bounded, whatever the
//! number of balancers. Peers are told in turn. With few of them each is told in each
//! interval; with many, reports get smaller and a turn takes longer.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of [`LoadRotation`].
#[derive(Clone, Copy, Debug)]
pub struct LoadRotationConfig {
    /// Time between two reports to one peer while the bytes suffice.
    pub interval: Duration,
    /// Time between them that larger reports may lead to: requests in flight change
    /// within about this time.
    pub max_turn: Duration,
    /// Bytes per second of all reports, headers included.
    pub bytes_per_s: f64,
    /// Bytes of the headers of a datagram: IPv4 and UDP.
    pub header_bytes: usize,
    /// Size up to which reports may lead to longer turns, in bytes.
    pub min_report_bytes: usize,
    /// Largest report, in bytes; fits into one packet.
    pub max_report_bytes: usize,
}

impl Default for LoadRotationConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(100),
            max_turn: Duration::from_millis(300),
            // 1% of the smallest link of 10 Mbit/s; as much is received.
            bytes_per_s: 12_000.0,
            header_bytes: 28,
            min_report_bytes: 256,
            max_report_bytes: 1_400,
        }
    }
}

/// Order in which peers are told the load.
#[derive(Debug)]
pub struct LoadRotation {
    cfg: LoadRotationConfig,
    /// The peer that was told last; at first the own address, so that balancers start
    /// at different peers.
    last: SocketAddr,
    /// Bytes that may be sent now; negative after the last report exceeded them.
    credit: f64,
    credited_at: Duration,
    /// Bytes of the last report with its headers.
    last_cost: f64,
}

impl LoadRotation {
    /// Creates a rotation that starts at `now`.
    pub fn new(cfg: LoadRotationConfig, own: SocketAddr, now: Duration) -> LoadRotation {
        LoadRotation {
            cfg,
            last: own,
            credit: 0.0,
            credited_at: now,
            last_cost: 0.0,
        }
    }

    /// Time between two reports to one of this number of peers, if they are as large as
    /// the last one.
    pub fn turn(&self, peers: usize) -> Duration {
        let turn = peers as f64 * self.last_cost / self.cfg.bytes_per_s;
        self.cfg.interval.max(Duration::from_secs_f64(turn))
    }

    /// Largest report to send to this number of peers, in bytes.
    pub fn report_bytes(&self, peers: usize) -> usize {
        let bytes_per_turn = self.cfg.bytes_per_s * self.cfg.max_turn.as_secs_f64();
        let share = bytes_per_turn / peers.max(1) as f64;
        let bytes = (share as usize).saturating_sub(self.cfg.header_bytes);
        bytes.clamp(self.cfg.min_report_bytes, self.cfg.max_report_bytes)
    }

    /// Whether a report may be sent now.
    pub fn is_due(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.credited_at);
        self.credited_at = now;
        let largest = self.cfg.bytes_per_s * self.cfg.interval.as_secs_f64();
        let earned = self.cfg.bytes_per_s * elapsed.as_secs_f64();
        self.credit = (self.credit + earned).min(largest);
        self.credit > 0.0
    }

    /// The peers to send a report of `bytes` to, each at most once; to be called when
    /// [`LoadRotation::is_due`]. `peers` is sorted.
    pub fn next_peers(&mut self, peers: &[SocketAddr], bytes: usize) -> Vec<SocketAddr> {
        let cost = (bytes + self.cfg.header_bytes) as f64;
        self.last_cost = cost;
        let start = peers.partition_point(|peer| *peer <= self.last);
        let in_order = peers[start..].iter().chain(&peers[..start]);
        let mut next = Vec::new();
        for peer in in_order {
            if self.credit <= 0.0 {
                break;
            }
            self.credit -= cost;
            self.last = *peer;
            next.push(*peer);
        }
        next
    }
}
