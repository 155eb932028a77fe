//! Detects status objects left behind by balancers that did not shut down cleanly.
//! I/O-free.

use std::collections::HashMap;
use std::time::Duration;

use sequoiatrail_types::NodeId;

use crate::Revision;

/// Max interval between two sweeps; after a longer one, all ages restart.
const MAX_GAP: Duration = Duration::from_secs(60);
/// Max number of statuses returned per sweep.
const MAX_PER_SWEEP: usize = 4;

/// Tracks how long each balancer status has been unchanged.
///
/// Balancers write their status every few seconds. Only time in which the platform
/// is reachable counts, since no balancer can write during an outage.
#[derive(Debug)]
pub struct StaleStatusTracker {
    /// Time without a write after which a status is stale.
    after: Duration,
    /// Revision of each status, and when it was first observed.
    statuses: HashMap<NodeId, (Revision, Duration)>,
    /// Time of the last sweep.
    last_sweep: Duration,
}

impl StaleStatusTracker {
    /// Creates an empty tracker; a status is stale after `after` without a write.
    pub fn new(after: Duration) -> Self {
        Self {
            after,
            statuses: HashMap::new(),
            last_sweep: Duration::ZERO,
        }
    }

    /// Records the current revision of a status.
    pub fn written(&mut self, now: Duration, node: NodeId, revision: Revision) {
        let known = self.statuses.get(&node);
        if known.is_none_or(|(r, _)| *r != revision) {
            self.statuses.insert(node, (revision, now));
        }
    }

    /// Records that a status was removed.
    pub fn removed(&mut self, node: NodeId) {
        self.statuses.remove(&node);
    }

    /// Returns stale statuses, to be removed if they still have the given revision.
    /// Must only be called when all changes up to `now` have been recorded. A
    /// returned status is not returned again until it has gone stale once more.
    pub fn sweep(&mut self, now: Duration) -> Vec<(NodeId, Revision)> {
        let gap = now.saturating_sub(self.last_sweep);
        self.last_sweep = now;
        if gap > MAX_GAP {
            self.statuses
                .values_mut()
                .for_each(|(_, since)| *since = now);
            return Vec::new();
        }
        let after = self.after;
        let stale = self.statuses.iter_mut();
        let stale = stale.filter(|(_, (_, since))| now.saturating_sub(*since) >= after);
        stale
            .take(MAX_PER_SWEEP)
            .map(|(node, (revision, since))| {
                *since = now;
                (*node, *revision)
            })
            .collect()
    }
}
