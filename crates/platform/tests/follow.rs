//! Followers under platform faults.

mod common;

use std::time::{Duration, Instant};

use common::{edit, row, stand_in, store};
use sequoiatrail_plan::Plan;
use sequoiatrail_platform::{
    BackoffConfig, BalancerStatus, FollowConfig, Follower, Outage, Precondition, Revision,
    StaleStatusTracker, Store, StoreEvent,
};
use sequoiatrail_types::{
    FailureDomain, NodeId, PlanVersion, RefusalReason, ServiceId, TableVersion, Verdict,
};
use std::sync::Arc;

fn follower(store: &Arc<Store>) -> Follower {
    store.follow(config(), 1)
}

fn config() -> FollowConfig {
    FollowConfig {
        watch_wait: Duration::from_millis(50),
        batch_delay: Duration::from_millis(1),
        resync_jitter: Duration::from_millis(1),
        backoff: BackoffConfig {
            initial_delay: Duration::from_millis(5),
            max_delay: Duration::from_millis(10),
        },
        ..FollowConfig::default()
    }
}

/// Steps until a matching event arrives, for at most 10 s.
fn step_until(follower: &mut Follower, is_match: impl Fn(&StoreEvent) -> bool) -> StoreEvent {
    let deadline = Instant::now() + Duration::from_secs(10);
    while Instant::now() < deadline {
        if let Some(event) = follower.step().into_iter().find(|e| is_match(e)) {
            return event;
        }
    }
    panic!("the event did not arrive");
}

fn table_of_version(version: u64) -> impl Fn(&StoreEvent) -> bool {
    move |e| matches!(e, StoreEvent::Table(t) if t.version == TableVersion(version))
}

fn apply(store: &Store, id: &str, weight: u32) {
    store.edit_table(&edit(id, None), |_| Ok(vec![row("a", weight)]));
}

fn plan(version: u64) -> Plan {
    let mut plan = Plan::empty(ServiceId(1), 4);
    plan.version = PlanVersion(version);
    plan
}

fn status(node: u64) -> BalancerStatus {
    BalancerStatus {
        node: NodeId(node),
        vm: "entry-1".into(),
        failure_domain: FailureDomain(1),
        peer_address: "127.0.0.1:7001".parse().unwrap(),
        leaving: true,
        table: TableVersion(1),
    }
}

#[test]
fn changes_of_table_plans_and_balancers_are_reported() {
    let platform = stand_in();
    let store = store(platform.addr());
    apply(&store, "e1", 1);
    let mut follower = follower(&store);
    step_until(&mut follower, table_of_version(1));
    apply(&store, "e2", 2);
    step_until(&mut follower, table_of_version(2));
    store.write_plan(&plan(1), PlanVersion(0)).unwrap();
    step_until(
        &mut follower,
        |e| matches!(e, StoreEvent::Plan(p) if **p == plan(1)),
    );
    store.write_status(&status(9)).unwrap();
    step_until(
        &mut follower,
        |e| matches!(e, StoreEvent::Balancer(s) if *s == status(9)),
    );
    store.remove_status(NodeId(9)).unwrap();
    step_until(&mut follower, |e| {
        matches!(e, StoreEvent::BalancerRemoved(NodeId(9)))
    });
}

#[test]
fn a_follower_catches_up_after_an_outage() {
    for outage in [Outage::Refuse, Outage::Hang] {
        let platform = stand_in();
        let store = store(platform.addr());
        apply(&store, "e1", 1);
        let mut follower = follower(&store);
        step_until(&mut follower, table_of_version(1));
        platform.set_faults(|f| f.outage = outage);
        step_until(
            &mut follower,
            |e| matches!(e, StoreEvent::Failed { failures, .. } if *failures > 1),
        );
        platform.set_faults(|f| f.outage = Outage::None);
        apply(&store, "e2", 2);
        step_until(&mut follower, table_of_version(2));
    }
}

#[test]
fn a_follower_lists_again_after_the_history_expired() {
    let platform = stand_in();
    let store = store(platform.addr());
    store.write_status(&status(9)).unwrap();
    let mut follower = follower(&store);
    step_until(&mut follower, |e| matches!(e, StoreEvent::Balancer(_)));
    // Both changes are in the part of the history that expires.
    store.remove_status(NodeId(9)).unwrap();
    apply(&store, "e1", 1);
    platform.expire_history();
    step_until(&mut follower, |e| {
        matches!(e, StoreEvent::BalancerRemoved(NodeId(9)))
    });
    apply(&store, "e2", 2);
    step_until(&mut follower, table_of_version(2));
}

#[test]
fn an_object_that_can_not_be_decoded_is_reported_and_ignored() {
    let platform = stand_in();
    let store = store(platform.addr());
    let client = store.client();
    client
        .put("plans/1", &"nonsense", Precondition::Any)
        .unwrap();
    client.put("plans/2", &plan(1), Precondition::Any).unwrap();
    client
        .put("plans/3", &Plan::empty(ServiceId(3), 3), Precondition::Any)
        .unwrap();
    client.put("plans/none", &1, Precondition::Any).unwrap();
    apply(&store, "e1", 1);
    let mut follower = follower(&store);
    let events = follower.step();
    let bad: Vec<_> = events
        .iter()
        .filter_map(|e| match e {
            StoreEvent::BadObject { key, .. } => Some(key.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(bad, ["plans/1", "plans/2", "plans/3"]);
    assert!(events.iter().any(table_of_version(1)));
}

#[test]
fn a_paused_planner_fails_on_the_plan_version() {
    let platform = stand_in();
    let paused = store(platform.addr());
    let other = store(platform.addr());
    paused.write_plan(&plan(1), PlanVersion(0)).unwrap();
    other.write_plan(&plan(2), PlanVersion(1)).unwrap();
    let mut late = plan(2);
    late.table = TableVersion(7);
    let error = paused.write_plan(&late, PlanVersion(1)).unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun(RefusalReason::Conflict));
    assert_eq!(
        paused.read_plan(ServiceId(1)).unwrap().unwrap().value,
        plan(2)
    );
    paused.write_plan(&plan(3), PlanVersion(2)).unwrap();
}

#[test]
fn a_plan_whose_response_is_lost_is_found_by_reading() {
    let platform = stand_in();
    let store = store(platform.addr());
    platform.set_faults(|f| f.lose_answers = 1);
    let error = store.write_plan(&plan(1), PlanVersion(0)).unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    assert_eq!(
        store.read_plan(ServiceId(1)).unwrap().unwrap().value,
        plan(1)
    );
    store.write_plan(&plan(2), PlanVersion(1)).unwrap();
}

#[test]
fn only_the_status_of_a_dead_balancer_is_removed() {
    let platform = stand_in();
    let store = store(platform.addr());
    let cfg = FollowConfig {
        stale_after: Duration::from_secs(1),
        ..config()
    };
    let mut follower = store.follow(cfg, 1);
    store.write_status(&status(1)).unwrap();
    let mut removed_nodes = Vec::new();
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut next_write = Instant::now();
    while removed_nodes.is_empty() && Instant::now() < deadline {
        // Each write ends the watch, so without a delay the loop would exceed the
        // stand-in's rate limit.
        if Instant::now() >= next_write {
            store.write_status(&status(2)).unwrap();
            next_write = Instant::now() + Duration::from_millis(50);
        }
        removed_nodes.extend(follower.step().into_iter().filter_map(|e| match e {
            StoreEvent::BalancerRemoved(node) => Some(node),
            _ => None,
        }));
    }
    assert_eq!(removed_nodes, [NodeId(1)]);
}

#[test]
fn an_outage_does_not_make_a_status_stale() {
    let secs = Duration::from_secs;
    let mut stale = StaleStatusTracker::new(secs(100));
    stale.sweep(secs(0));
    stale.written(secs(0), NodeId(1), Revision(1));
    assert_eq!(stale.sweep(secs(50)), []);
    // One hour of outage.
    assert_eq!(stale.sweep(secs(3_650)), []);
    assert_eq!(stale.sweep(secs(3_700)), []);
    stale.written(secs(3_740), NodeId(1), Revision(1));
    assert_eq!(stale.sweep(secs(3_750)), [(NodeId(1), Revision(1))]);
    assert_eq!(stale.sweep(secs(3_751)), []);
    stale.written(secs(3_760), NodeId(1), Revision(2));
    assert_eq!(stale.sweep(secs(3_800)), []);
    stale.removed(NodeId(1));
    assert_eq!(stale.sweep(secs(3_860)), []);
}
