//! Passive health evidence from new flows.

mod common;

use common::{Fabric, data, ms, syn};
use sequoiatrail_core::FlowEvidence;
use sequoiatrail_types::TargetId;

fn evidence(f: &Fabric) -> Vec<FlowEvidence> {
    f.balancers[0].core.take_flow_evidence()
}

fn expected(answered: u32, retransmitted: u32) -> Vec<FlowEvidence> {
    let target = TargetId(0);
    vec![FlowEvidence {
        target,
        answered,
        retransmitted,
    }]
}

#[test]
fn flows_that_go_on_at_once_show_that_the_target_answers() {
    let mut f = Fabric::new(1, 1, 1);
    for client in 0..5 {
        f.send(0, syn(client));
        f.run(ms(100));
        f.send(0, data(client, 1));
        f.send(0, data(client, 2));
    }
    f.run(ms(100));
    assert_eq!(evidence(&f), expected(5, 0));
    assert_eq!(evidence(&f), [], "each flow counts once");
}

#[test]
fn retransmitted_first_packets_show_that_it_does_not() {
    let mut f = Fabric::new(1, 1, 1);
    for client in 0..5 {
        f.send(0, syn(client));
    }
    f.run(ms(1_000));
    for client in 0..5 {
        f.send(0, syn(client));
    }
    f.run(ms(100));
    assert_eq!(evidence(&f), expected(0, 5));
}

#[test]
fn a_second_packet_that_comes_late_shows_nothing() {
    let mut f = Fabric::new(1, 1, 1);
    f.send(0, syn(0));
    f.run(ms(1_500));
    f.send(0, data(0, 1));
    f.run(ms(100));
    assert_eq!(evidence(&f), []);
}
