//! Bucket plan of one service.

use std::collections::HashMap;

use sequoiatrail_types::{FlowHash, PlanVersion, ServiceId, TableVersion, TargetId};
use serde::{Deserialize, Serialize};

use crate::error::BucketCountSnafu;
use crate::stored::StoredPlan;
use crate::{Factors, Result};

/// Placeholder in a bucket while no target takes new flows.
pub const NO_TARGET: TargetId = TargetId(u32::MAX);
/// Maximum number of buckets of a service.
const MAX_BUCKETS: usize = 65_536;

/// One bucket of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// Target of new flows, or [`NO_TARGET`].
    pub target: TargetId,
    /// Plan version that last changed the target. It tells a balancer that skipped
    /// versions that the bucket had another target in between.
    pub since: PlanVersion,
}

/// Which target each bucket of a service sends new flows to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "StoredPlan", try_from = "StoredPlan")]
pub struct Plan {
    /// The service.
    pub service: ServiceId,
    /// Version of the plan; each plan is computed from the previous version.
    pub version: PlanVersion,
    /// Version of the table that the plan was computed from.
    pub table: TableVersion,
    /// Target factors that the plan was computed with.
    pub factors: Factors,
    /// The buckets; their number is a power of two and never changes.
    pub buckets: Vec<Bucket>,
}

impl Plan {
    /// Creates a plan of version 0 in which no bucket has a target.
    pub fn empty(service: ServiceId, buckets: usize) -> Plan {
        let bucket = Bucket {
            target: NO_TARGET,
            since: PlanVersion(0),
        };
        Plan {
            service,
            version: PlanVersion(0),
            table: TableVersion(0),
            factors: Factors::default(),
            buckets: vec![bucket; buckets],
        }
    }

    /// Returns an error unless the number of buckets is a power of two in range.
    pub fn check(&self) -> Result<()> {
        let buckets = self.buckets.len();
        if !buckets.is_power_of_two() || buckets > MAX_BUCKETS {
            return BucketCountSnafu { buckets }.fail();
        }
        Ok(())
    }

    /// Number of buckets per target, including [`NO_TARGET`].
    pub fn bucket_counts(&self) -> HashMap<TargetId, usize> {
        let mut held = HashMap::new();
        for bucket in &self.buckets {
            *held.entry(bucket.target).or_default() += 1;
        }
        held
    }

    /// The bucket of a flow.
    pub fn bucket(&self, flow: FlowHash) -> Bucket {
        self.buckets[flow.bucket(self.buckets.len())]
    }
}
