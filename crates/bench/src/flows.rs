//! Flows of a run: their packets, timing and state.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sequoiatrail_packet::{Packet, TcpFields};
use sequoiatrail_types::{FlowKey, Protocol, TargetId};

use crate::schedule;

/// Traffic pattern of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowKind {
    /// Outlasts the run.
    Long,
    /// Outlasts the run and is silent for most of it.
    Idle,
    /// Ends after a fixed number of packets.
    Short,
}

/// A flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    pub kind: FlowKind,
    /// Index of the service.
    pub service: u16,
    /// Number of the client.
    pub client: u32,
    /// Packets that reached a target.
    pub delivered: u32,
    /// Target of the first packet; `None` until it was delivered.
    pub target: Option<TargetId>,
    /// Whether the flow sends no more packets.
    pub ended: bool,
}

impl Flow {
    /// Whether the flow counts as open.
    pub fn is_open(&self) -> bool {
        self.target.is_some() && !self.ended
    }

    /// Builds the next packet: a SYN until one was delivered, a FIN with the last.
    pub fn packet(&self, service: &schedule::Service, address: SocketAddr) -> Packet {
        let opens = self.delivered == 0;
        let last = self.kind == FlowKind::Short && self.delivered + 1 >= service.short_packets;
        Packet {
            flow: FlowKey {
                protocol: Protocol::Tcp,
                src: client(self.client),
                dst: address,
            },
            tcp: Some(TcpFields {
                syn: opens,
                ack: !opens,
                fin: last && !opens,
                sequence: self.delivered.wrapping_mul(100),
                ..TcpFields::default()
            }),
            payload_bytes: if opens { 0 } else { 100 },
        }
    }

    /// Time from a delivered packet to the next one.
    pub fn gap(
        &self,
        service: &schedule::Service,
        now: Duration,
        end: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Duration {
        let mean = match self.kind {
            FlowKind::Short => service.short_gap_ms,
            FlowKind::Idle if self.delivered >= 3 && now < end.mul_f64(0.9) => {
                let late = end.mul_f64(rng.random_range(0.9..1.0));
                return late.saturating_sub(now);
            }
            FlowKind::Idle => service.short_gap_ms,
            FlowKind::Long if self.delivered < 3 => service.short_gap_ms,
            FlowKind::Long => service.long_gap_ms,
        };
        Duration::from_millis(mean).mul_f64(rng.random_range(0.5..1.5))
    }
}

/// Address and port of a client, unique for each number.
fn client(number: u32) -> SocketAddr {
    let ports = 50_000;
    let ip = Ipv4Addr::from_bits(0x0A00_0000 + number / ports);
    SocketAddr::new(IpAddr::V4(ip), (1_024 + number % ports) as u16)
}
