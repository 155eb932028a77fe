//! Tests of the stored form of a plan.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sequoiatrail_plan::{Bucket, Factors, Plan};
use sequoiatrail_types::{PlanVersion, ServiceId, TableVersion, TargetId};

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..Config::default()
    }
}

fn plan(buckets: Vec<Bucket>) -> Plan {
    Plan {
        service: ServiceId(1),
        version: PlanVersion(9),
        table: TableVersion(3),
        factors: Factors::default(),
        buckets,
    }
}

fn bucket(target: u32, since: u64) -> Bucket {
    Bucket {
        target: TargetId(target),
        since: PlanVersion(since),
    }
}

prop_compose! {
    /// A plan of 1 to 1,024 buckets with few or many distinct ones.
    fn plans()(power in 0u32..=10, targets in 1u32..2_000, versions in 1u64..5)
        (pairs in prop::collection::vec((0..targets, 0..versions), 1 << power)) -> Plan
    {
        plan(pairs.into_iter().map(|(target, since)| bucket(target, since)).collect())
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn a_plan_round_trips(plan in plans()) {
        let stored = serde_json::to_vec(&plan).unwrap();
        prop_assert_eq!(serde_json::from_slice::<Plan>(&stored).unwrap(), plan);
    }
}

proptest! {
    #![proptest_config(config(100_000))]

    #[test]
    fn corrupted_plans_are_valid_or_rejected(writes in any::<[(u16, u8); 3]>()) {
        let plan = plan(vec![bucket(1, 1), bucket(2, 1), bucket(1, 2), bucket(1, 1)]);
        let mut stored = serde_json::to_vec(&plan).unwrap();
        for (at, byte) in writes {
            let at = usize::from(at) % stored.len();
            stored[at] = byte;
        }
        if let Ok(read) = serde_json::from_slice::<Plan>(&stored) {
            prop_assert!(read.check().is_ok());
        }
    }
}

#[test]
fn malformed_stored_plans_are_rejected() {
    let stored = |buckets: &str| {
        let text = format!(
            r#"{{"service":1,"version":1,"table":1,"kinds":[[1,1],[2,1]],"buckets":"{buckets}"}}"#
        );
        serde_json::from_str::<Plan>(&text).map_err(|e| e.to_string())
    };
    assert_eq!(stored("AB").unwrap().buckets, [bucket(1, 1), bucket(2, 1)]);
    insta::assert_snapshot!(stored("AC").unwrap_err(), @"invalid stored plan: bucket refers to an unknown entry");
    insta::assert_snapshot!(stored("A!").unwrap_err(), @"invalid stored plan: bucket refers to an unknown entry");
    insta::assert_snapshot!(stored("ABA").unwrap_err(), @"plan has 3 buckets, expected a power of two from 1 to 65536");
    assert!(stored("").is_err());
}
