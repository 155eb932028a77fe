//! Memory of the flow table, and what is forgotten first.

mod common;

use common::{Fabric, data, fin, ms, rows, syn};
use sequoiatrail_core::{Core, CoreConfig, Decision, Event, ForwardReason, Via};
use sequoiatrail_types::{NodeId, TargetId};

/// Most bytes of memory for one flow, free entries included.
const FLOW_BYTES: usize = 64;

fn small(max_flows: usize) -> Fabric {
    let cfg = CoreConfig {
        max_flows,
        shards: 1,
        ..CoreConfig::default()
    };
    Fabric::with(1, rows(3), 1, cfg)
}

#[test]
fn flow_takes_no_more_than_its_bytes_at_any_size() {
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
fn flood_of_first_packets_is_bounded_and_established_flows_go_on() {
    let mut f = small(1_000);
    f.flows(0..400, 3);
    for caller in 10_000..40_000 {
        f.send(0, syn(caller));
    }
    let core = &f.balancers[0].core;
    assert!(core.flow_stats().flows <= 1_000);
    for caller in 0..400 {
        let decision = core.decide(f.now, &data(caller, 9), Via::Fabric);
        let known =
            matches!(decision, Decision::Forward { reason, .. } if reason == ForwardReason::Known);
        assert!(known, "caller {caller}: {decision:?}");
    }
}

#[test]
fn flows_off_the_plan_are_kept_when_others_are_forgotten() {
    let mut f = small(1_000);
    f.flows(0..300, 3);
    f.move_buckets(64, TargetId(1));
    f.run(ms(1_000));
    assert_eq!(f.open_buckets(), 0);
    let off_plan: Vec<u32> = (0..300)
        .filter(|c| f.targets(*c) != [TargetId(1)])
        .collect();
    f.flows(1_000..6_000, 2);
    assert!(f.balancers[0].core.flow_stats().flows <= 1_000);
    for caller in off_plan {
        let before = f.targets(caller);
        f.send(0, data(caller, 9));
        assert_eq!(f.targets(caller), before, "caller {caller}");
    }
}

#[test]
fn closed_flows_are_forgotten_first() {
    let mut f = small(1_000);
    f.flows(0..1_000, 2);
    for caller in 0..500 {
        f.send(0, fin(caller));
    }
    f.flows(2_000..2_400, 2);
    let core = &f.balancers[0].core;
    for caller in 500..1_000 {
        let decision = core.decide(f.now, &data(caller, 9), Via::Fabric);
        let known =
            matches!(decision, Decision::Forward { reason, .. } if reason == ForwardReason::Known);
        assert!(known, "caller {caller}: {decision:?}");
    }
}
