//! Callbacks for traffic from other balancers.

use std::fmt;

use sequoiatrail_membership::Event;
use sequoiatrail_types::{NodeId, PlanVersion, ServiceId, TableVersion};
use sequoiatrail_wire::message::{FlowMessage, RelayHeader, TargetMessage};

/// Handles an event of the failure detector. [`crate::PeerNet::members`] already
/// reflects it.
pub type OnEvent = Box<dyn Fn(Event) + Send + Sync>;
/// Handles a message about flows, except relayed packets.
pub type OnFlow = Box<dyn Fn(NodeId, FlowMessage) + Send + Sync>;
/// Handles a message about targets.
pub type OnTarget = Box<dyn Fn(NodeId, TargetMessage) + Send + Sync>;
/// Handles a relayed packet.
pub type OnRelay = Box<dyn Fn(NodeId, RelayHeader, Vec<u8>) + Send + Sync>;
/// Returns the version and the serialized body of the local table, if any.
pub type GetTable = Box<dyn Fn() -> Option<(TableVersion, Vec<u8>)> + Send + Sync>;
/// Returns the version and the serialized body of the newest local plan of a
/// service, if any.
pub type GetPlan = Box<dyn Fn(ServiceId) -> Option<(PlanVersion, Vec<u8>)> + Send + Sync>;
/// Returns the flow state that a joining balancer needs.
pub type GetState = Box<dyn Fn(NodeId) -> Vec<FlowMessage> + Send + Sync>;

/// Callbacks for traffic from other balancers.
pub struct Handlers {
    /// Called on an event of the failure detector.
    pub event: OnEvent,
    /// Called on a message about flows.
    pub flow: OnFlow,
    /// Called on a message about targets.
    pub target: OnTarget,
    /// Called on a relayed packet.
    pub relay: OnRelay,
    /// Provides the table for balancers with an older one.
    pub table: GetTable,
    /// Provides a plan for balancers with an older one.
    pub plan: GetPlan,
    /// Provides reports and filters for the given balancer, which is joining.
    pub state: GetState,
}

impl Default for Handlers {
    fn default() -> Self {
        Self {
            event: Box::new(|_| {}),
            flow: Box::new(|_, _| {}),
            target: Box::new(|_, _| {}),
            relay: Box::new(|_, _, _| {}),
            table: Box::new(|| None),
            plan: Box::new(|_| None),
            state: Box::new(|_| Vec::new()),
        }
    }
}

impl fmt::Debug for Handlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Handlers")
    }
}
