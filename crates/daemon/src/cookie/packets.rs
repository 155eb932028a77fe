//! The thread that receives packets and acts on the decisions.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_adapter::{PREFIX_BYTES, decode_packet, prefix, write_cookie};
use sequoiatrail_cookie::{
    Decision, DropReason, Effects, PlaceReason, ResetReason, Segment, TargetId,
};
use sequoiatrail_events::Event;

use super::changes::log_news;
use super::metrics::record_handling;
use super::outlet::Outlet;
use super::shared::Shared;
use crate::counters::{Count, Counters};
use crate::receive::is_transient;

/// Largest datagram that is read; packets are much smaller.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Time between two turns of the loop from which the thread stood still; it
/// waits for packets for a tenth of it, and a throttled VM stops for a fifth.
const PAUSE: Duration = Duration::from_millis(500);
/// Time between two sweeps of what is remembered.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Receives and forwards packets.
///
/// Each packet is decided on under the lock; sending, logging and asking for
/// probes follow without it.
pub(super) struct Packets {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    outlet: Arc<Outlet>,
    counters: Arc<Counters>,
    swept: Duration,
    /// When the last turn of the loop began.
    turned: Duration,
}

impl Packets {
    pub fn new(shared: Arc<Shared>, socket: Arc<UdpSocket>, outlet: Arc<Outlet>) -> Packets {
        Packets {
            outlet,
            counters: shared.counters.for_thread(),
            swept: shared.clock.now(),
            turned: shared.clock.now(),
            shared,
            socket,
        }
    }

    /// Runs until the process ends.
    pub fn run(mut self) -> io::Result<()> {
        let mut buf = [0; PREFIX_BYTES + MAX_DATAGRAM_BYTES];
        while !self.shared.has_ended() {
            self.look_for_pause();
            match self.socket.recv_from(&mut buf[PREFIX_BYTES..]) {
                Ok((length, from)) => self.handle(&mut buf[..PREFIX_BYTES + length], from),
                Err(e) if is_transient(&e) => {}
                Err(e) => return Err(e),
            }
            self.sweep();
        }
        Ok(())
    }

    /// Notices that this thread did not run for a while.
    fn look_for_pause(&mut self) {
        let now = self.shared.clock.now();
        let before = std::mem::replace(&mut self.turned, now);
        if now > before + PAUSE {
            self.shared.lock().handle_pause(now);
        }
    }

    /// Handles a packet, in front of which there is room for the prefix.
    fn handle(&self, buf: &mut [u8], from: SocketAddr) {
        let now = self.shared.clock.now();
        self.counters.add(Count::Received, 1);
        self.counters
            .add(Count::ReceivedBytes, (buf.len() - PREFIX_BYTES) as u64);
        let seg = match decode_packet(&buf[PREFIX_BYTES..]) {
            Ok(seg) => seg,
            Err(e) => return self.unreadable(now, from, &e),
        };
        let (decision, effects) = self.decide(now, &seg);
        match decision {
            Decision::Forward {
                target,
                to,
                cookie,
                reason,
            } => {
                if let Some(cookie) = cookie {
                    write_cookie(&mut buf[PREFIX_BYTES..], cookie);
                }
                buf[..PREFIX_BYTES].copy_from_slice(&prefix(target));
                self.outlet.send(now, buf, to);
                self.note_forwarded(now, &seg, target, reason);
            }
            Decision::Reset(reason) => self.reset(now, &seg, reason),
            Decision::Drop(reason) => self.dropped(reason),
        }
        self.outlet.carry_out(now, effects);
        let took = self.shared.clock.now().saturating_sub(now);
        record_handling(self.shared.handling.get(), took);
    }

    fn decide(&self, now: Duration, seg: &Segment) -> (Decision, Effects) {
        let mut balancer = self.shared.lock();
        let decision = balancer.decide(now, seg);
        (decision, balancer.take_effects())
    }

    fn note_forwarded(&self, now: Duration, seg: &Segment, target: TargetId, reason: PlaceReason) {
        let known = matches!(reason, PlaceReason::Cookie | PlaceReason::Remembered);
        let count = match known {
            true => Count::ForwardedKnown,
            false => Count::ForwardedPlaced,
        };
        self.counters.add(count, 1);
        if !known {
            self.outlet.log_placed(now, &seg.flow, target, reason);
        }
    }

    fn reset(&self, now: Duration, seg: &Segment, reason: ResetReason) {
        let count = match seg.flags.syn {
            true => Count::Refused,
            false => Count::Reset,
        };
        self.counters.add(count, 1);
        self.outlet.reset(now, &seg.flow, seg.ack, reason);
    }

    fn dropped(&self, reason: DropReason) {
        let count = match reason {
            DropReason::UnknownCookie => Count::DroppedUnknownTarget,
            _ => Count::DroppedOther,
        };
        self.counters.add(count, 1);
    }

    fn unreadable(&self, now: Duration, from: SocketAddr, error: &sequoiatrail_adapter::Error) {
        self.counters.add(Count::DroppedBroken, 1);
        if let Some(skipped) = self.shared.lines.unreadable.admit(now) {
            self.shared.log.emit(Event::PacketUnreadable {
                from,
                error: error.to_string(),
                skipped,
            });
        }
    }

    fn sweep(&mut self) {
        let now = self.shared.clock.now();
        if now < self.swept + SWEEP_EVERY {
            return;
        }
        self.swept = now;
        let (news, revision, effects) = {
            let mut balancer = self.shared.lock();
            let news = balancer.sweep(now);
            (
                news,
                balancer.directory().revision(),
                balancer.take_effects(),
            )
        };
        log_news(&self.shared, &news, revision, "sweep");
        self.outlet.carry_out(now, effects);
    }
}
