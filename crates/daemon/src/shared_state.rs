//! State shared between the control thread, the administration API and metrics.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sequoiatrail_plan::Plan;
use sequoiatrail_types::{NodeId, ServiceId, TargetId};

/// State of the control thread that other threads may access.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    /// Whether the last request to the platform succeeded.
    pub platform_reachable: AtomicBool,
    /// Whether a graceful shutdown was requested or has begun.
    pub draining: AtomicBool,
    /// Whether this balancer can own flows.
    pub ready: AtomicBool,
    /// Whether the state of a ready balancer must be fetched.
    pub wants_state: AtomicBool,
    /// Whether a leaving balancer has finished its handover.
    pub handed_over: AtomicBool,
    details: Mutex<Details>,
}

/// State behind the lock.
#[derive(Debug, Default)]
pub(crate) struct Details {
    /// Latest plan of each service.
    pub plans: HashMap<ServiceId, Arc<Plan>>,
    /// Number of open flows owned by this balancer, by target.
    pub open_flows: HashMap<TargetId, u32>,
    /// Targets that are down.
    pub down: Vec<TargetId>,
    /// VM names of the other balancers, from the platform.
    pub vms: HashMap<NodeId, String>,
}

impl SharedState {
    /// Locks the details; hold the guard only briefly.
    pub fn details(&self) -> MutexGuard<'_, Details> {
        self.details.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
