//! Memory use of the flow table and its eviction order.

mod common;

use common::{Fabric, data, fin, ms, rows, syn};
use sequoiatrail_core::{Core, CoreConfig, Decision, Event, ForwardReason, Via};
use sequoiatrail_types::{NodeId, TargetId};

/// Maximum bytes of memory per flow, including free entries.
const FLOW_BYTES: usize = 64;

fn small_fabric(max_flows: usize) -> Fabric {
    let cfg = CoreConfig {
        max_flows,
        shards: 1,
        ..CoreConfig::default()
    };
    Fabric::with(1, rows(3), 1, cfg)
}

#[test]
fn bytes_per_flow_are_bounded_at_any_size() {
    let f = Fabric::new(1, 3, 1);
    let core = Core::new(CoreConfig::default(), NodeId(9));
    core.handle(f.now, Event::Table(f.table.clone()));
    core.handle(f.now, Event::Plan(f.plan.clone()));
    let mut opened = 0;
    for flows in [10_000, 100_000, 500_000] {
        while opened < flows {
            core.decide(f.now, &syn(opened), Via::Fabric);
            opened += 1;
        }
        let stats = core.flow_stats();
        assert_eq!(stats.flows, flows as usize);
        let bytes = stats.bytes / stats.flows;
        println!("{flows} flows: {bytes} bytes a flow");
        assert!(bytes <= FLOW_BYTES, "{flows} flows: {bytes} bytes a flow");
    }
}

#[test]
fn syn_flood_is_bounded_and_established_flows_go_on() {
    let mut f = small_fabric(1_000);
    f.run_flows(0..400, 3);
    for client in 10_000..40_000 {
        f.send(0, syn(client));
    }
    let core = &f.balancers[0].core;
    assert!(core.flow_stats().flows <= 1_000);
    for client in 0..400 {
        let decision = core.decide(f.now, &data(client, 9), Via::Fabric);
        let known =
            matches!(decision, Decision::Forward { reason, .. } if reason == ForwardReason::Known);
        assert!(known, "client {client}: {decision:?}");
    }
}

#[test]
fn off_plan_flows_are_kept_when_others_are_evicted() {
    let mut f = small_fabric(1_000);
    f.run_flows(0..300, 3);
    f.move_buckets(64, TargetId(1));
    f.run(ms(1_000));
    assert_eq!(f.open_buckets(), 0);
    let off_plan: Vec<u32> = (0..300)
        .filter(|c| f.targets(*c) != [TargetId(1)])
        .collect();
    f.run_flows(1_000..6_000, 2);
    assert!(f.balancers[0].core.flow_stats().flows <= 1_000);
    for client in off_plan {
        let before = f.targets(client);
        f.send(0, data(client, 9));
        assert_eq!(f.targets(client), before, "client {client}");
    }
}

#[test]
fn closed_flows_are_evicted_first() {
    let mut f = small_fabric(1_000);
    f.run_flows(0..1_000, 2);
    for client in 0..500 {
        f.send(0, fin(client));
    }
    f.run_flows(2_000..2_400, 2);
    let core = &f.balancers[0].core;
    for client in 500..1_000 {
        let decision = core.decide(f.now, &data(client, 9), Via::Fabric);
        let known =
            matches!(decision, Decision::Forward { reason, .. } if reason == ForwardReason::Known);
        assert!(known, "client {client}: {decision:?}");
    }
}
