//! Prints the size of stored plans by number of changes.

use sequoiatrail_plan::{Bucket, Plan};
use sequoiatrail_types::{PlanVersion, ServiceId, TargetId};

/// Default number of buckets of a service.
const BUCKETS: usize = 1_024;
/// Targets of the larger of the present services.
const TARGETS: usize = 14;

fn main() {
    println!("| changes | stored bytes |");
    println!("| ---: | ---: |");
    for changes in [1, 7, 50] {
        let plan = plan(changes);
        let bytes = serde_json::to_vec(&plan).expect("JSON").len();
        println!("| {changes} | {bytes} |");
    }
}

/// A plan in which each change has moved an equal part of the buckets.
fn plan(changes: usize) -> Plan {
    let mut plan = Plan::empty(ServiceId(1), BUCKETS);
    plan.version = PlanVersion(changes as u64);
    for (n, bucket) in plan.buckets.iter_mut().enumerate() {
        *bucket = Bucket {
            target: TargetId((n % TARGETS) as u32),
            since: PlanVersion((n * changes / BUCKETS) as u64 + 1),
        };
    }
    plan
}
