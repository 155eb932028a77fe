//! The context of the decision on one packet.

use std::time::Duration;

use sequoiatrail_packet::Packet;
use sequoiatrail_types::{FlowHash, NodeId, ServiceId, TargetId};
use sequoiatrail_wire::message::{RelayHeader, RelayStage};

use crate::view::View;
use crate::{Decision, DropReason, ForwardReason, Via};

/// A packet and the state needed to decide on it.
pub(crate) struct PacketContext<'a> {
    pub now: Duration,
    pub view: &'a View,
    pub service: ServiceId,
    pub flow: FlowHash,
    pub packet: &'a Packet,
    pub via: Via,
}

impl PacketContext<'_> {
    pub fn hops(&self) -> u8 {
        match self.via {
            Via::Fabric => 0,
            Via::Peer { header, .. } => header.hops,
        }
    }

    /// Whether the packet itself shows that it starts a flow.
    pub fn opens(&self) -> bool {
        self.packet.opens_connection()
    }

    /// Whether the client closes the flow with this packet.
    pub fn ends(&self) -> bool {
        self.packet.tcp.is_some_and(|tcp| tcp.fin || tcp.rst)
    }

    pub fn relay(&self, to: NodeId, stage: RelayStage, target: TargetId) -> Decision {
        let header = RelayHeader {
            hops: self.hops() + 1,
            stage,
            service: self.service,
            target,
        };
        Decision::Relay { to, header }
    }

    pub fn forward(&self, target: TargetId, reason: ForwardReason) -> Decision {
        match self.view.target(self.service, target) {
            Some(t) => Decision::Forward {
                target,
                to: t.tunnel_addr,
                reason,
            },
            None if self.view.was_removed(target) => Decision::Reset,
            None => Decision::Drop(DropReason::TargetGone),
        }
    }
}
