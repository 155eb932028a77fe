//! Selection of the balancers of a failure domain that watch the platform.

use sequoiatrail_types::{FailureDomain, NodeId};

/// Selects the `count` balancers of `domain` with the lowest identifiers.
///
/// Balancers with the same view of the members agree without communication.
/// While views differ, other or additional balancers watch, which only costs
/// API calls.
pub fn watchers(
    nodes: impl Iterator<Item = (NodeId, FailureDomain)>,
    domain: FailureDomain,
    count: usize,
) -> Vec<NodeId> {
    let mut ranked: Vec<_> = nodes
        .filter(|(_, d)| *d == domain)
        .map(|(node, _)| node)
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(count);
    ranked
}
