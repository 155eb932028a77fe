//! The thread that receives packets and carries out forwarding decisions.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use sequoiatrail_adapter::{PREFIX_BYTES, decode_packet, prefix, write_cookie};
use sequoiatrail_cookie::{
    Decision, DropReason, Effects, FlowReset, PlaceReason, ResetReason, Segment, TargetId,
};
use sequoiatrail_events::Event;

use super::changes::{log_evacuations, log_target_events};
use super::egress::Egress;
use super::metrics::record_handling;
use super::shared::Shared;
use crate::counters::{Count, Counters};
use crate::receive::is_transient;

/// Largest datagram accepted, in bytes; packets are much smaller.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Gap between two loop iterations that counts as a pause of the thread. A normal
/// iteration waits a tenth of it for packets; a throttled VM stalls for a fifth.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Interval between removals of expired flows and targets.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Receives and forwards packets.
///
/// The lock is held only while a decision is made; sending, logging and requesting
/// probes happen after it is released.
pub(super) struct PacketLoop {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    egress: Arc<Egress>,
    counters: Arc<Counters>,
    last_sweep: Duration,
    /// Start of the last loop iteration.
    last_iteration: Duration,
}

impl PacketLoop {
    pub fn new(shared: Arc<Shared>, socket: Arc<UdpSocket>, egress: Arc<Egress>) -> PacketLoop {
        PacketLoop {
            egress,
            counters: shared.counters.for_thread(),
            last_sweep: shared.clock.now(),
            last_iteration: shared.clock.now(),
            shared,
            socket,
        }
    }

    /// Runs until the balancer shuts down.
    pub fn run(mut self) -> io::Result<()> {
        let mut buf = [0; PREFIX_BYTES + MAX_DATAGRAM_BYTES];
        while !self.shared.is_shut_down() {
            self.detect_pause();
            match self.socket.recv_from(&mut buf[PREFIX_BYTES..]) {
                Ok((length, from)) => self.handle(&mut buf[..PREFIX_BYTES + length], from),
                Err(e) if is_transient(&e) => {}
                Err(e) => return Err(e),
            }
            self.sweep();
        }
        Ok(())
    }

    /// Discards evidence against targets if this thread was paused.
    fn detect_pause(&mut self) {
        let now = self.shared.clock.now();
        let before = std::mem::replace(&mut self.last_iteration, now);
        if now > before + PAUSE_THRESHOLD {
            self.shared.lock().handle_pause(now);
        }
    }

    /// Handles a packet; `buf` has room for the target prefix in front of it.
    fn handle(&self, buf: &mut [u8], from: SocketAddr) {
        let now = self.shared.clock.now();
        self.counters.add(Count::Received, 1);
        self.counters
            .add(Count::ReceivedBytes, (buf.len() - PREFIX_BYTES) as u64);
        let seg = match decode_packet(&buf[PREFIX_BYTES..]) {
            Ok(seg) => seg,
            Err(e) => return self.record_unreadable(now, from, &e),
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
                self.egress.send(now, buf, to);
                self.record_forwarded(now, &seg, target, reason);
            }
            Decision::Reset(reason) => self.reset(now, &seg, reason),
            Decision::Drop(reason) => self.record_dropped(reason),
        }
        self.egress.apply_effects(now, effects);
        let elapsed = self.shared.clock.now().saturating_sub(now);
        record_handling(self.shared.handling.get(), elapsed);
    }

    /// Decides what to do with a packet. While what was listed at the start may lack anything,
    /// flows are neither placed nor reset.
    fn decide(&self, now: Duration, seg: &Segment) -> (Decision, Effects) {
        let is_unsure = self.shared.awaits_first_check(now);
        if is_unsure && seg.flags.syn {
            return (Decision::Drop(DropReason::NotReady), Effects::default());
        }
        let mut balancer = self.shared.lock();
        let decision = match balancer.decide(now, seg) {
            Decision::Reset(_) if is_unsure => Decision::Drop(DropReason::NotReady),
            decision => decision,
        };
        (decision, balancer.take_effects())
    }

    fn record_forwarded(
        &self,
        now: Duration,
        seg: &Segment,
        target: TargetId,
        reason: PlaceReason,
    ) {
        let known = matches!(reason, PlaceReason::Cookie | PlaceReason::Remembered);
        let count = match known {
            true => Count::ForwardedKnown,
            false => Count::ForwardedPlaced,
        };
        self.counters.add(count, 1);
        if !known {
            self.egress.log_placed(now, &seg.flow, target, reason);
        }
    }

    fn reset(&self, now: Duration, seg: &Segment, reason: ResetReason) {
        let count = match seg.flags.syn {
            true => Count::Refused,
            false => Count::Reset,
        };
        self.counters.add(count, 1);
        let reset = FlowReset {
            flow: seg.flow,
            acked: seg.ack,
            cookie: seg.cookie,
            reason,
        };
        self.egress.reset(now, &reset);
    }

    fn record_dropped(&self, reason: DropReason) {
        let count = match reason {
            DropReason::UnknownCookie => Count::DroppedUnknownTarget,
            _ => Count::DroppedOther,
        };
        self.counters.add(count, 1);
    }

    fn record_unreadable(
        &self,
        now: Duration,
        from: SocketAddr,
        error: &sequoiatrail_adapter::Error,
    ) {
        self.counters.add(Count::DroppedBroken, 1);
        if let Some(skipped) = self.shared.log_limits.unreadable.admit(now) {
            self.shared.log.emit(Event::PacketUnreadable {
                from,
                error: error.to_string(),
                skipped,
            });
        }
    }

    fn sweep(&mut self) {
        let now = self.shared.clock.now();
        if now < self.last_sweep + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let (events, evacuations, revision, effects) = {
            let mut balancer = self.shared.lock();
            balancer.set_wall_clock(now, wall_clock());
            let events = balancer.sweep(now);
            let evacuations = balancer.sweep_evacuations(now);
            let revision = balancer.directory().revision();
            (events, evacuations, revision, balancer.take_effects())
        };
        log_evacuations(&self.shared, &evacuations, "sweep");
        log_target_events(&self.shared, &events, revision, "sweep");
        self.egress.apply_effects(now, effects);
    }
}

/// Time since the Unix epoch; zero if the clock is set to an earlier time.
fn wall_clock() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}
