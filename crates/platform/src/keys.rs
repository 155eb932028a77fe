//! Keys of the load balancer's objects in the platform's store.

use sequoiatrail_types::{NodeId, ServiceId};

/// Key of the service table.
pub const TABLE_KEY: &str = "tables/default";
/// Key prefix of plans, one object per service.
pub const PLANS_PREFIX: &str = "plans/";
/// Key prefix of balancer statuses, one object per balancer.
pub const BALANCERS_PREFIX: &str = "balancers/";

/// Type of an object, derived from its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// The service table.
    Table,
    /// The plan of a service.
    Plan(ServiceId),
    /// The status of a balancer.
    Balancer(NodeId),
}

/// Key of a service's plan.
pub fn plan_key(service: ServiceId) -> String {
    format!("{PLANS_PREFIX}{service}")
}

/// Key of a balancer's status.
pub fn balancer_key(node: NodeId) -> String {
    format!("{BALANCERS_PREFIX}{node}")
}

/// Parses a key; `None` if it is not a key of the load balancer.
pub fn kind_of(key: &str) -> Option<KeyKind> {
    if key == TABLE_KEY {
        return Some(KeyKind::Table);
    }
    if let Some(service) = key.strip_prefix(PLANS_PREFIX) {
        return Some(KeyKind::Plan(ServiceId(service.parse().ok()?)));
    }
    let node = key.strip_prefix(BALANCERS_PREFIX)?;
    Some(KeyKind::Balancer(NodeId(node.parse().ok()?)))
}
