//! Path of a packet: from a client through the fabric and the balancers to a target.

use std::time::{Duration, Instant};

use rand::RngExt;
use sequoiatrail_core::{Decision, DropReason, Via};
use sequoiatrail_packet::Packet;
use sequoiatrail_types::TargetId;
use sequoiatrail_wire::message::{Body, FlowMessage};

use crate::flows::FlowKind;
use crate::measure::BreakCause;
use crate::simulation::{SimEvent, Simulation};

/// Size of the headers of a client's packet, in bytes.
const PACKET_HEADER_BYTES: u64 = 40;
/// Time after which a client retransmits a lost packet.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Max retransmits of a packet before the client gives up the flow.
const MAX_RETRANSMITS: u8 = 30;
/// Time during which a stopped target may still get new flows.
const STOP_DEADLINE: Duration = Duration::from_secs(3);
/// Interval, in packets, at which the decision time is measured.
const DECISION_TIMING_INTERVAL: u64 = 16;

impl Simulation {
    pub fn open_flow(&mut self, service: usize) {
        let flow = self.add_flow(service, FlowKind::Short);
        self.send(flow, 0);
        let per_second = self.schedule.services[service].new_per_s;
        let gap = Duration::from_secs(1) / per_second as u32;
        let gap = gap.mul_f64(self.rng.random_range(0.5..1.5));
        self.queue.push(self.now + gap, SimEvent::OpenFlow(service));
    }

    /// Sends a flow's next packet to a random balancer of the fabric.
    pub fn send(&mut self, flow: usize, retransmits: u8) {
        if self.flows[flow].ended {
            return;
        }
        let candidates: Vec<usize> = (0..self.balancers.len())
            .filter(|i| self.balancers[*i].in_fabric)
            .collect();
        self.meter.packets += 1;
        if candidates.is_empty() {
            self.packet_lost(flow, retransmits);
            return;
        }
        let to = candidates[self.rng.random_range(0..candidates.len())];
        let service = self.flows[flow].service as usize;
        let packet =
            self.flows[flow].packet(&self.schedule.services[service], self.addresses[service]);
        self.decide(to, flow, packet, Via::Fabric, retransmits);
    }

    pub fn decide(&mut self, at: usize, flow: usize, packet: Packet, via: Via, retransmits: u8) {
        if !self.balancers[at].takes_packets() {
            self.packet_lost(flow, retransmits);
            return;
        }
        let core = &self.balancers[at].core;
        let timed = self.meter.packets.is_multiple_of(DECISION_TIMING_INTERVAL);
        let start = timed.then(Instant::now);
        let decision = core.decide(self.now, &packet, via);
        if let Some(start) = start {
            let nanos = start.elapsed().as_nanos() as u64;
            self.meter.decision_ns.saturating_record(nanos);
        }
        if self.options.trace == Some(flow) {
            self.print_decision(at, &packet, via, decision);
        }
        self.apply_decision(at, flow, packet, decision, retransmits);
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

    /// Carries out a balancer's decision.
    fn apply_decision(
        &mut self,
        at: usize,
        flow: usize,
        packet: Packet,
        decision: Decision,
        retransmits: u8,
    ) {
        match decision {
            Decision::Forward { target, .. } => self.deliver_packet(flow, target),
            Decision::Relay { to, header } => {
                let Some(to) = self.balancers.iter().position(|b| b.node == to) else {
                    self.packet_lost(flow, retransmits);
                    return;
                };
                let bytes = PACKET_HEADER_BYTES + u64::from(packet.payload_bytes);
                let message = FlowMessage::Relay(header, vec![0; bytes as usize]);
                let bytes = self.bytes_of(at, Body::Flow(message));
                self.meter.relayed_packets += 1;
                self.meter.relayed_bytes += bytes;
                let from = self.balancers[at].node;
                let sim_event = SimEvent::Relayed {
                    to,
                    from,
                    header,
                    flow,
                    packet,
                    retransmits,
                };
                self.queue.push(self.now + self.latency(), sim_event);
            }
            Decision::Refuse(_) if self.flows[flow].target.is_none() => {
                self.meter.refused += 1;
                self.flows[flow].ended = true;
            }
            Decision::Refuse(_) => self.break_flow(flow, BreakCause::Refused),
            Decision::Reset => self.break_flow(flow, BreakCause::Reset),
            Decision::Drop(DropReason::TargetGone) if self.flows[flow].target.is_some() => {
                self.break_flow(flow, BreakCause::TargetGone);
            }
            Decision::Drop(_) => self.packet_lost(flow, retransmits),
        }
    }

    /// Handles a packet that reached a target.
    fn deliver_packet(&mut self, index: usize, target: TargetId) {
        let flow = &mut self.flows[index];
        if flow.ended {
            return;
        }
        let service = flow.service as usize;
        match flow.target {
            None => {
                flow.target = Some(target);
                *self.loads[service].open.entry(target).or_default() += 1;
                let stopped = self.stopped.get(&target);
                if stopped.is_some_and(|at| self.now > *at + STOP_DEADLINE) {
                    self.meter.late_new_flows += 1;
                }
            }
            Some(known) if known != target => {
                self.break_flow(index, BreakCause::SecondTarget);
                return;
            }
            Some(_) => {}
        }
        let flow = &mut self.flows[index];
        flow.delivered += 1;
        let settings = &self.schedule.services[service];
        if flow.kind == FlowKind::Short && flow.delivered >= settings.short_packets {
            self.end_flow(index);
            return;
        }
        let end = Duration::from_secs(self.schedule.duration_s);
        let gap = flow.gap(settings, self.now, end, &mut self.rng);
        let next = SimEvent::Send {
            flow: index,
            retransmits: 0,
        };
        self.queue.push(self.now + gap, next);
    }

    pub fn packet_lost(&mut self, flow: usize, retransmits: u8) {
        self.meter.packets_lost += 1;
        if retransmits >= MAX_RETRANSMITS {
            self.break_flow(flow, BreakCause::NotDelivered);
            return;
        }
        let sim_event = SimEvent::Send {
            flow,
            retransmits: retransmits + 1,
        };
        self.queue.push(self.now + RETRANSMIT_TIMEOUT, sim_event);
    }

    pub fn break_flow(&mut self, flow: usize, cause: BreakCause) {
        if self.flows[flow].ended {
            return;
        }
        self.meter.record_break(flow, cause, self.now.as_secs());
        self.end_flow(flow);
    }

    pub fn end_flow(&mut self, flow: usize) {
        let flow = &mut self.flows[flow];
        flow.ended = true;
        if let Some(target) = flow.target {
            *self.loads[flow.service as usize]
                .open
                .entry(target)
                .or_default() -= 1;
        }
    }
}
