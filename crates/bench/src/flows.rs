//! Flows of a run: when they send, and what they have met.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sequoiatrail_packet::{Packet, TcpFields};
use sequoiatrail_types::{FlowKey, Protocol, TargetId};

use crate::schedule;

/// Kind of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Lasts beyond the run.
    Long,
    /// Lasts beyond the run and is silent for most of it.
    Idle,
    /// Ends after its packets.
    Short,
}

/// A flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    pub kind: Kind,
    /// Index of the service.
    pub service: u16,
    /// Caller, by number.
    pub caller: u32,
    /// Packets sent that reached a target.
    pub delivered: u32,
    /// The target of the first packet; `None` until one was delivered.
    pub target: Option<TargetId>,
    /// Sends nothing more.
    pub ended: bool,
}

impl Flow {
    /// Whether the flow counts as open.
    pub fn is_open(&self) -> bool {
        self.target.is_some() && !self.ended
    }

    /// The next packet: SYN until something was delivered, FIN with the last.
    pub fn packet(&self, service: &schedule::Service, address: SocketAddr) -> Packet {
        let opens = self.delivered == 0;
        let last = self.kind == Kind::Short && self.delivered + 1 >= service.short_packets;
        Packet {
            flow: FlowKey {
                protocol: Protocol::Tcp,
                src: caller(self.caller),
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

    /// Time until the next packet after one that was delivered.
    pub fn gap(
        &self,
        service: &schedule::Service,
        now: Duration,
        end: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Duration {
        let mean = match self.kind {
            Kind::Short => service.short_gap_ms,
            Kind::Idle if self.delivered >= 3 && now < end.mul_f64(0.9) => {
                let late = end.mul_f64(rng.random_range(0.9..1.0));
                return late.saturating_sub(now);
            }
            Kind::Idle => service.short_gap_ms,
            Kind::Long if self.delivered < 3 => service.short_gap_ms,
            Kind::Long => service.long_gap_ms,
        };
        Duration::from_millis(mean).mul_f64(rng.random_range(0.5..1.5))
    }
}

/// Address and port of a caller; each number has its own.
fn caller(number: u32) -> SocketAddr {
    let ports = 50_000;
    let ip = Ipv4Addr::from_bits(0x0A00_0000 + number / ports);
    SocketAddr::new(IpAddr::V4(ip), (1_024 + number % ports) as u16)
}
