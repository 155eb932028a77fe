//! What balancers of a run tell each other besides flows.

use sequoiatrail_core::Event;
use sequoiatrail_membership::Output;
use sequoiatrail_wire::message::{Body, FlowMessage, MemberState, Membership, TargetMessage};

use crate::balancer::{Life, control_address, number_at};
use crate::world::{Happening, PROBE_TICK, World};

impl World {
    /// A failure detector's tick.
    pub fn probe(&mut self, index: usize) {
        if self.balancers[index].life == Life::Gone {
            return;
        }
        if self.balancers[index].is_up() {
            let outputs = self.balancers[index].membership.tick(self.now);
            self.put_out(index, outputs);
        }
        self.queue
            .push(self.now + PROBE_TICK, Happening::Probe(index));
    }

    /// A message of another failure detector.
    pub fn hear(&mut self, to: usize, from: usize, message: &Membership) {
        if !self.balancers[to].is_up() {
            return;
        }
        let node = self.balancers[from].node;
        let address = control_address(from);
        let membership = &mut self.balancers[to].membership;
        let outputs = membership.handle(self.now, node, address, message);
        self.put_out(to, outputs);
    }

    /// Sends what a failure detector wants sent and tells the core of changes.
    pub fn put_out(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send { to, message } = output else {
                continue;
            };
            let body = Body::Membership(message.clone());
            let bytes = self.bytes_of(from, body);
            self.meter.control(from, "membership", bytes);
            let to = number_at(to).filter(|to| *to < self.balancers.len());
            if let Some(to) = to
                && !self.is_lost()
            {
                let happening = Happening::Membership { to, from, message };
                self.queue.push(self.now + self.latency(), happening);
            }
        }
        self.tell_peers(from);
    }

    /// Tells a core which balancers live, if that changed.
    pub fn tell_peers(&mut self, index: usize) {
        let peers = self.balancers[index].peers();
        if self.balancers[index].told == peers {
            return;
        }
        self.balancers[index].told.clone_from(&peers);
        self.balancers[index].listening |= peers.iter().any(|p| p.ready);
        let core = &self.balancers[index].core;
        let actions = core.handle(self.now, Event::Peers(peers));
        self.act(index, actions);
    }

    /// Each balancer tells the others its counts, as a daemon does each second.
    pub fn tell_shares(&mut self) {
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
            self.tell_all(from, &message);
        }
    }

    fn tell_all(&mut self, from: usize, message: &TargetMessage) {
        let bytes = self.bytes_of(from, Body::Target(message.clone()));
        let node = self.balancers[from].node;
        let told = self.balancers[from].told.clone();
        for to in 0..self.balancers.len() {
            let is_peer = told.iter().any(|p| p.node == self.balancers[to].node);
            if to == from || !is_peer {
                continue;
            }
            self.meter.control(from, "shares", bytes);
            if self.is_lost() {
                continue;
            }
            let happening = Happening::Target {
                to,
                from: node,
                message: message.clone(),
            };
            self.queue.push(self.now + self.latency(), happening);
        }
    }

    /// Each balancer that is not ready asks a ready one for a snapshot.
    pub fn ask_for_snapshots(&mut self) {
        for to in 0..self.balancers.len() {
            let asking = &self.balancers[to];
            let state = asking.membership.local().state;
            let leaves = asking.leaving.is_some() || state == MemberState::Left;
            if !asking.is_up() || leaves || asking.membership.local().ready {
                continue;
            }
            let ready = asking.told.iter().find(|p| p.ready).map(|p| p.node);
            let Some(from) = self.balancers.iter().position(|b| Some(b.node) == ready) else {
                continue;
            };
            let node = self.balancers[to].node;
            let messages = self.balancers[from].core.snapshot_for(node);
            for message in &messages {
                let bytes = self.bytes_of(from, Body::Flow(message.clone()));
                self.meter.control(from, "snapshot", bytes);
            }
            let happening = Happening::Snapshot { to, messages };
            self.queue.push(self.now + self.latency(), happening);
        }
    }

    /// Takes a snapshot over; the balancer is ready if that went well.
    pub fn import(&mut self, to: usize, messages: Vec<FlowMessage>) {
        let balancer = &mut self.balancers[to];
        if balancer.is_up() && balancer.core.import_snapshot(self.now, messages) {
            balancer.membership.set_ready(true);
        }
    }
}
