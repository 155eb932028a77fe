//! Stalled flows, which retransmit one payload without progress, are reset.

mod common;

use common::{Fabric, data, ms, syn};
use sequoiatrail_core::{Decision, Event};
use sequoiatrail_types::TargetId;

/// A fabric with one balancer, one target and a flow that has carried data.
fn fabric() -> Fabric {
    let mut f = Fabric::new(1, 1, 1);
    f.send(0, syn(0));
    f.send(0, data(0, 1));
    f.run(ms(1_000));
    f
}

/// Opens flows of other clients for some time, with or without the target
/// answering.
fn run_other_clients(f: &mut Fabric, from: u32, seconds: u32, answered: bool) {
    for client in from..from + 2 * seconds {
        f.send(0, syn(client));
        f.run(ms(100));
        if answered {
            f.send(0, data(client, 1));
        }
        f.run(ms(400));
    }
}

#[test]
fn flow_that_retransmits_one_payload_while_others_work_is_reset() {
    let mut f = fabric();
    for round in 0..6 {
        f.send(0, data(0, 500));
        run_other_clients(&mut f, 100 * (round + 1), 3, true);
    }
    assert_eq!(f.refused.get(&0), Some(&Decision::Reset));
}

#[test]
fn flow_that_retransmits_one_payload_for_a_short_time_goes_on() {
    let mut f = fabric();
    for round in 0..6 {
        f.send(0, data(0, 500));
        run_other_clients(&mut f, 100 * (round + 1), 1, true);
    }
    assert_eq!(f.refused.get(&0), None);
}

#[test]
fn no_flow_is_reset_while_its_target_answers_nobody() {
    let mut f = fabric();
    for round in 0..20 {
        f.send(0, data(0, 500));
        run_other_clients(&mut f, 100 * (round + 1), 3, false);
    }
    assert_eq!(f.refused.get(&0), None);
}

#[test]
fn outage_that_begins_while_flows_work_resets_nothing() {
    let mut f = fabric();
    run_other_clients(&mut f, 1_000, 20, true);
    for client in 5_000..5_100 {
        f.send(0, syn(client));
    }
    f.run(ms(20_000));
    f.send(0, data(0, 500));
    // From here on the target answers no client, and all flows retransmit.
    for round in 0..20 {
        f.run(ms(3_000));
        f.send(0, data(0, 500));
        run_other_clients(&mut f, 2_000 + 100 * round, 1, false);
        for client in 1_000..1_040 {
            f.send(0, data(client, 2));
        }
        // Opened long ago, and not seen here again until now.
        f.send(0, data(5_000 + round, 1));
    }
    assert!(f.refused.is_empty(), "{:?}", f.refused);
}

#[test]
fn dead_target_resets_nothing() {
    let mut f = fabric();
    let agreed_at = f.now;
    let target = TargetId(0);
    f.deliver_to_all(&Event::TargetDown { target, agreed_at });
    for round in 0..6 {
        f.send(0, data(0, 500));
        run_other_clients(&mut f, 100 * (round + 1), 3, true);
    }
    assert_eq!(f.refused.get(&0), None);
}

#[test]
fn keepalive_probes_and_progress_are_no_stall() {
    let mut f = fabric();
    let mut probe = data(0, 99);
    probe.payload_bytes = 1;
    for round in 0..10 {
        f.send(0, probe);
        f.send(0, data(0, 500 + round));
        run_other_clients(&mut f, 100 * (round + 1), 3, true);
    }
    assert_eq!(f.refused.get(&0), None);
}

#[test]
fn resets_of_one_target_are_a_second_apart() {
    let mut f = Fabric::new(1, 1, 1);
    for client in 0..50 {
        f.send(0, syn(client));
        f.send(0, data(client, 1));
    }
    for round in 0..4 {
        f.run(ms(2_000));
        for client in 0..50 {
            f.send(0, data(client, 500));
        }
        run_other_clients(&mut f, 1_000 + 100 * round, 2, true);
    }
    let resets = f.refused.len();
    assert!((1..=4).contains(&resets), "{resets} resets");
}
