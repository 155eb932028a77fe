//! Status objects of balancers that ended without removing them, without I/O.

use std::collections::HashMap;
use std::time::Duration;

use sequoiatrail_types::NodeId;

use crate::Revision;

/// Longest time between two looks at the platform that counts as looking on.
const MAX_GAP: Duration = Duration::from_secs(60);
/// Most objects removed at one look.
const AT_ONCE: usize = 4;

/// Since when each status has not been written.
///
/// A balancer writes its status every few seconds. Only time in which the
/// platform was seen to answer counts: in an outage nobody can write.
#[derive(Debug)]
pub struct StaleStatusTracker {
    /// A status is stale when it was not written for so long.
    after: Duration,
    /// Revision of each status, and since when it has been seen.
    seen: HashMap<NodeId, (Revision, Duration)>,
    /// Time of the last look.
    looked: Duration,
}

impl StaleStatusTracker {
    /// Knows of no status yet.
    pub fn new(after: Duration) -> Self {
        Self {
            after,
            seen: HashMap::new(),
            looked: Duration::ZERO,
        }
    }

    /// Takes in that a status has a revision.
    pub fn written(&mut self, now: Duration, node: NodeId, revision: Revision) {
        let known = self.seen.get(&node);
        if known.is_none_or(|(r, _)| *r != revision) {
            self.seen.insert(node, (revision, now));
        }
    }

    /// Takes in that a status is gone.
    pub fn removed(&mut self, node: NodeId) {
        self.seen.remove(&node);
    }

    /// Takes in that all changes up to now are known, and returns some stale
    /// statuses to remove if they still have that revision. Each is returned
    /// once until it is stale again.
    pub fn look(&mut self, now: Duration) -> Vec<(NodeId, Revision)> {
        let gap = now.saturating_sub(self.looked);
        self.looked = now;
        if gap > MAX_GAP {
            self.seen.values_mut().for_each(|(_, since)| *since = now);
            return Vec::new();
        }
        let after = self.after;
        let stale = self.seen.iter_mut();
        let stale = stale.filter(|(_, (_, since))| now.saturating_sub(*since) >= after);
        stale
            .take(AT_ONCE)
            .map(|(node, (revision, since))| {
                *since = now;
                (*node, *revision)
            })
            .collect()
    }
}
