//! Transport of messages between balancers.

use std::time::Duration;

use rand::RngExt;
use sequoiatrail_core::Action;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::encode;
use sequoiatrail_wire::message::{Body, Datagram, FlowMessage};

use crate::simulation::{HEADER_BYTES, SimEvent, Simulation};

impl Simulation {
    /// Executes the actions of a core.
    pub fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send_message(from, to, message),
                Action::Prepared { service, plan } => {
                    let membership = &mut self.balancers[from].membership;
                    membership.set_prepared(service, plan);
                }
            }
        }
    }

    fn send_message(&mut self, from: usize, to: NodeId, message: FlowMessage) {
        let kind: &'static str = match &message {
            FlowMessage::Relay(..) => "relay",
            FlowMessage::Placed { .. } => "placed",
            FlowMessage::Offer(_) => "offer",
            FlowMessage::Report(_) => "report",
            FlowMessage::Settled(_) => "settled",
            FlowMessage::Gathered(_) => "gathered",
            FlowMessage::Missing(_) => "missing",
        };
        let bytes = self.bytes_of(from, Body::Flow(message.clone()));
        self.meter.control(from, kind, bytes);
        let Some(to) = self.balancers.iter().position(|b| b.node == to) else {
            return;
        };
        if self.draw_loss() {
            return;
        }
        let from = self.balancers[from].node;
        let sim_event = SimEvent::Message { to, from, message };
        self.queue.push(self.now + self.latency(), sim_event);
    }

    pub fn draw_loss(&mut self) -> bool {
        self.rng.random_range(0..1_000) < self.schedule.loss_permille
    }

    pub fn latency(&self) -> Duration {
        Duration::from_micros(self.schedule.latency_us)
    }

    /// A random duration below `limit`.
    pub fn random_below(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Size of a message on the wire in bytes, including headers.
    pub fn bytes_of(&self, from: usize, body: Body) -> u64 {
        let datagram = Datagram {
            from: self.balancers[from].node,
            serial: 1,
            body,
        };
        encode(&datagram, &self.key).len() as u64 + HEADER_BYTES
    }
}
