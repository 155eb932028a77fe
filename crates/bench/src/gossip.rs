//! Messages between balancers that are not about flows.

use sequoiatrail_core::Event;
use sequoiatrail_membership::Output;
use sequoiatrail_wire::message::{Body, FlowMessage, MemberState, Membership, TargetMessage};

use crate::balancer::{Liveness, control_address, number_at};
use crate::simulation::{DETECTOR_TICK, SimEvent, Simulation};

impl Simulation {
    /// Runs a tick of a failure detector.
    pub fn detector_tick(&mut self, index: usize) {
        if self.balancers[index].liveness == Liveness::Gone {
            return;
        }
        if self.balancers[index].is_up() {
            let outputs = self.balancers[index].membership.tick(self.now);
            self.send_outputs(index, outputs);
        }
        self.queue
            .push(self.now + DETECTOR_TICK, SimEvent::DetectorTick(index));
    }

    /// Handles a message from another failure detector.
    pub fn receive(&mut self, to: usize, from: usize, message: &Membership) {
        if !self.balancers[to].is_up() {
            return;
        }
        let node = self.balancers[from].node;
        let address = control_address(from);
        let membership = &mut self.balancers[to].membership;
        let outputs = membership.handle(self.now, node, address, message);
        self.send_outputs(to, outputs);
    }

    /// Sends the messages of a failure detector and reports peer changes to the core.
    pub fn send_outputs(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send { to, message } = output else {
                continue;
            };
            let body = Body::Membership(message.clone());
            let bytes = self.bytes_of(from, body);
            self.meter.control(from, "membership", bytes);
            let to = number_at(to).filter(|to| *to < self.balancers.len());
            if let Some(to) = to
                && !self.draw_loss()
            {
                let sim_event = SimEvent::Membership { to, from, message };
                self.queue.push(self.now + self.latency(), sim_event);
            }
        }
        self.report_peers(from);
    }

    /// Reports the live balancers to a core if they changed.
    pub fn report_peers(&mut self, index: usize) {
        let peers = self.balancers[index].peers();
        if self.balancers[index].reported_peers == peers {
            return;
        }
        self.balancers[index].reported_peers.clone_from(&peers);
        self.balancers[index].listening |= peers.iter().any(|p| p.ready);
        let core = &self.balancers[index].core;
        let actions = core.handle(self.now, Event::Peers(peers));
        self.execute(index, actions);
    }

    /// Broadcasts each balancer's changed shares, as a daemon does every second.
    pub fn broadcast_shares(&mut self) {
        for from in 0..self.balancers.len() {
            if !self.balancers[from].is_up() {
                continue;
            }
            let shares = self.balancers[from].core.take_changed_shares();
            if shares.is_empty() {
                continue;
            }
            let message = TargetMessage {
                shares,
                ..TargetMessage::default()
            };
            self.broadcast(from, &message);
        }
    }

    fn broadcast(&mut self, from: usize, message: &TargetMessage) {
        let bytes = self.bytes_of(from, Body::Target(message.clone()));
        let node = self.balancers[from].node;
        let reported_peers = self.balancers[from].reported_peers.clone();
        for to in 0..self.balancers.len() {
            let is_peer = reported_peers
                .iter()
                .any(|p| p.node == self.balancers[to].node);
            if to == from || !is_peer {
                continue;
            }
            self.meter.control(from, "shares", bytes);
            if self.draw_loss() {
                continue;
            }
            let sim_event = SimEvent::Target {
                to,
                from: node,
                message: message.clone(),
            };
            self.queue.push(self.now + self.latency(), sim_event);
        }
    }

    /// Sends a snapshot from a ready balancer to each balancer that is not ready.
    pub fn request_snapshots(&mut self) {
        for to in 0..self.balancers.len() {
            let requester = &self.balancers[to];
            let state = requester.membership.local().state;
            let is_leaving = requester.leaving.is_some() || state == MemberState::Left;
            if !requester.is_up() || is_leaving || requester.membership.local().ready {
                continue;
            }
            let ready = requester
                .reported_peers
                .iter()
                .find(|p| p.ready)
                .map(|p| p.node);
            let Some(from) = self.balancers.iter().position(|b| Some(b.node) == ready) else {
                continue;
            };
            let node = self.balancers[to].node;
            let messages = self.balancers[from].core.snapshot_for(node);
            for message in &messages {
                let bytes = self.bytes_of(from, Body::Flow(message.clone()));
                self.meter.control(from, "snapshot", bytes);
            }
            let sim_event = SimEvent::Snapshot { to, messages };
            self.queue.push(self.now + self.latency(), sim_event);
        }
    }

    /// Imports a snapshot; on success the balancer becomes ready.
    pub fn import_snapshot(&mut self, to: usize, messages: Vec<FlowMessage>) {
        let balancer = &mut self.balancers[to];
        if balancer.is_up() && balancer.core.import_snapshot(self.now, messages) {
            balancer.membership.set_ready(true);
        }
    }
}
