//! Packets of a run: from a caller by the fabric and the balancers to a target.

use std::time::{Duration, Instant};

use rand::RngExt;
use sequoiatrail_core::{Decision, DropReason, Via};
use sequoiatrail_packet::Packet;
use sequoiatrail_types::TargetId;
use sequoiatrail_wire::message::{Body, FlowMessage};

use crate::flows::Kind;
use crate::measure::BreakCause;
use crate::world::{Happening, World};

/// Bytes of the headers of a caller's packet.
const PACKET_HEADER_BYTES: u64 = 40;
/// Time after which a caller sends a lost packet again.
const RETRANSMIT: Duration = Duration::from_millis(1_000);
/// Times that a caller sends a packet before it gives its flow up.
const MAX_TRIES: u8 = 30;
/// Time that a leaving target may still get new flows.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Every how many packets the decision is timed.
const TIMED_EVERY: u64 = 16;

impl World {
    pub fn opens(&mut self, service: usize) {
        let flow = self.add_flow(service, Kind::Short);
        self.send(flow, 0);
        let per_second = self.schedule.services[service].new_per_s;
        let gap = Duration::from_secs(1) / per_second as u32;
        let gap = gap.mul_f64(self.rng.random_range(0.5..1.5));
        self.queue.push(self.now + gap, Happening::Opens(service));
    }

    /// The fabric hands a flow's next packet to any balancer.
    pub fn send(&mut self, flow: usize, tries: u8) {
        if self.flows[flow].ended {
            return;
        }
        let candidates: Vec<usize> = (0..self.balancers.len())
            .filter(|i| self.balancers[*i].in_fabric)
            .collect();
        self.meter.packets += 1;
        if candidates.is_empty() {
            self.lost(flow, tries);
            return;
        }
        let to = candidates[self.rng.random_range(0..candidates.len())];
        let service = self.flows[flow].service as usize;
        let packet =
            self.flows[flow].packet(&self.schedule.services[service], self.addresses[service]);
        self.decide(to, flow, packet, Via::Fabric, tries);
    }

    pub fn decide(&mut self, at: usize, flow: usize, packet: Packet, via: Via, tries: u8) {
        if !self.balancers[at].takes_packets() {
            self.lost(flow, tries);
            return;
        }
        let core = &self.balancers[at].core;
        let timed = self.meter.packets.is_multiple_of(TIMED_EVERY);
        let start = timed.then(Instant::now);
        let decision = core.decide(self.now, &packet, via);
        if let Some(start) = start {
            let nanos = start.elapsed().as_nanos() as u64;
            self.meter.decision_ns.saturating_record(nanos);
        }
        if self.options.trace == Some(flow) {
            self.print_decision(at, &packet, via, decision);
        }
        self.follow(at, flow, packet, decision, tries);
    }

    fn print_decision(&self, at: usize, packet: &Packet, via: Via, decision: Decision) {
        let now = self.now.as_secs_f64();
        let opens = if packet.opens_connection() {
            "opening"
        } else {
            "further"
        };
        println!("{now:.4} s, balancer {at}: {opens} packet {via:?}: {decision:?}");
    }

    /// Does what a balancer decided.
    fn follow(&mut self, at: usize, flow: usize, packet: Packet, decision: Decision, tries: u8) {
        match decision {
            Decision::Forward { target, .. } => self.arrive(flow, target),
            Decision::Relay { to, header } => {
                let Some(to) = self.balancers.iter().position(|b| b.node == to) else {
                    self.lost(flow, tries);
                    return;
                };
                let bytes = PACKET_HEADER_BYTES + u64::from(packet.payload_bytes);
                let message = FlowMessage::Relay(header, vec![0; bytes as usize]);
                let bytes = self.bytes_of(at, Body::Flow(message));
                self.meter.relayed_packets += 1;
                self.meter.relayed_bytes += bytes;
                let from = self.balancers[at].node;
                let happening = Happening::Relayed {
                    to,
                    from,
                    header,
                    flow,
                    packet,
                    tries,
                };
                self.queue.push(self.now + self.latency(), happening);
            }
            Decision::Refuse(_) if self.flows[flow].target.is_none() => {
                self.meter.refused += 1;
                self.flows[flow].ended = true;
            }
            Decision::Refuse(_) => self.breaks(flow, BreakCause::Refused),
            Decision::Reset => self.breaks(flow, BreakCause::Reset),
            Decision::Drop(DropReason::TargetGone) if self.flows[flow].target.is_some() => {
                self.breaks(flow, BreakCause::TargetGone);
            }
            Decision::Drop(_) => self.lost(flow, tries),
        }
    }

    /// A packet reached a target.
    fn arrive(&mut self, index: usize, target: TargetId) {
        let flow = &mut self.flows[index];
        if flow.ended {
            return;
        }
        let service = flow.service as usize;
        match flow.target {
            None => {
                flow.target = Some(target);
                *self.spread[service].open.entry(target).or_default() += 1;
                let stopped = self.stopped.get(&target);
                if stopped.is_some_and(|at| self.now > *at + LEAVING_LIMIT) {
                    self.meter.late_new_flows += 1;
                }
            }
            Some(known) if known != target => {
                self.breaks(index, BreakCause::SecondTarget);
                return;
            }
            Some(_) => {}
        }
        let flow = &mut self.flows[index];
        flow.delivered += 1;
        let settings = &self.schedule.services[service];
        if flow.kind == Kind::Short && flow.delivered >= settings.short_packets {
            self.end(index);
            return;
        }
        let end = Duration::from_secs(self.schedule.duration_s);
        let gap = flow.gap(settings, self.now, end, &mut self.rng);
        let next = Happening::Send {
            flow: index,
            tries: 0,
        };
        self.queue.push(self.now + gap, next);
    }

    pub fn lost(&mut self, flow: usize, tries: u8) {
        self.meter.packets_lost += 1;
        if tries >= MAX_TRIES {
            self.breaks(flow, BreakCause::NotDelivered);
            return;
        }
        let happening = Happening::Send {
            flow,
            tries: tries + 1,
        };
        self.queue.push(self.now + RETRANSMIT, happening);
    }

    pub fn breaks(&mut self, flow: usize, cause: BreakCause) {
        if self.flows[flow].ended {
            return;
        }
        self.meter.broke(flow, cause, self.now.as_secs());
        self.end(flow);
    }

    pub fn end(&mut self, flow: usize) {
        let flow = &mut self.flows[flow];
        flow.ended = true;
        if let Some(target) = flow.target {
            *self.spread[flow.service as usize]
                .open
                .entry(target)
                .or_default() -= 1;
        }
    }
}
