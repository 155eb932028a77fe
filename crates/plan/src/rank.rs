//! Ranking of balancers for shared work, identical on every balancer.

use std::cmp::Reverse;

use sequoiatrail_types::{FlowHash, NodeId, ServiceId};

/// Rank of `node` among the live balancers for this service; 0 is the first.
///
/// Rendezvous hashing: when a balancer dies, only its own work is reassigned.
pub fn rank(node: NodeId, service: ServiceId, live: &[NodeId]) -> usize {
    let order_key = |n: NodeId| (Reverse(score(n, service)), n);
    let own = order_key(node);
    live.iter().filter(|n| order_key(**n) < own).count()
}

fn score(node: NodeId, service: ServiceId) -> u64 {
    FlowHash(u64::from(service.0)).score(node.0)
}
