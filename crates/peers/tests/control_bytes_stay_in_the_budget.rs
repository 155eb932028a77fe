//! Paced sending, with a clock that the test moves.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod cluster;

use std::sync::Arc;
use std::time::Duration;

use cluster::{identity, key, log, start, wait};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_peers::{Handlers, Kind, PeerNet, Settings, TokenBucket};
use sequoiatrail_types::{Clock, FlowHash, ManualClock, NodeId, PlanVersion, ServiceId, TargetId};
use sequoiatrail_wire::message::{Body, FlowMessage, FlowSet, Flows, Observation, TargetMessage};

const RATE: u64 = 3_000;
const BURST: u64 = 6_000;
/// Longest control datagram with its headers.
const DATAGRAM: u64 = 1_500;
const STEP: Duration = Duration::from_millis(100);

fn report(part: u16) -> Body {
    Body::Flow(FlowMessage::Report(FlowSet {
        service: ServiceId(1),
        plan: PlanVersion(1),
        view: 0,
        round: 0,
        target: TargetId(1),
        part,
        parts: 1_000,
        flows: Flows::Hashes((0..100).map(|i| FlowHash(u64::MAX - i)).collect()),
    }))
}

fn answer() -> Body {
    Body::Flow(FlowMessage::Placed {
        service: ServiceId(1),
        flow: FlowHash(1),
        target: TargetId(1),
    })
}

fn load() -> Body {
    let observation = Observation {
        target: TargetId(1),
        round: 1,
        healthy: true,
        load: 1,
    };
    Body::Target(TargetMessage {
        observations: vec![observation],
        shares: Vec::new(),
    })
}

/// A balancer under the test's clock that sees `a`.
fn paced(a: &PeerNet) -> (PeerNet, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::default());
    let cfg = Settings {
        seeds: vec![a.address().control()],
        ..Settings::default()
    };
    let used: Arc<dyn Clock> = clock.clone();
    let handlers = Handlers::default();
    let net = PeerNet::start_with_clock(cfg, identity(2), key(), handlers, used).unwrap();
    wait("it sees the other", || {
        clock.advance(Duration::from_millis(1));
        net.members().peer(NodeId(1)).is_some()
    });
    (net, clock)
}

#[test]
fn a_flood_of_reports_is_paced_and_goes_on() {
    let a = start(1, None, key(), Handlers::default());
    let (net, clock) = paced(&a);
    let start = clock.now();
    let before = net.stats().control_bytes_sent();
    for part in 0..1_000 {
        net.send(NodeId(1), report(part)).unwrap();
    }
    let mut passed = Duration::ZERO;
    while passed < Duration::from_secs(20) {
        clock.advance(STEP);
        passed = clock.now() - start;
        let grown = || net.stats().control_bytes_sent() - before;
        let earned = RATE * passed.as_millis() as u64 / 1_000;
        wait("the budget is used", || grown() >= earned);
        assert!(grown() <= BURST + earned + DATAGRAM);
    }
}

#[test]
fn answers_go_before_reports_and_load_last() {
    let (flows, on_flow) = log();
    let (loads, on_target) = log();
    let arrivals = Arc::clone(&flows);
    let handlers = Handlers {
        flow: Box::new(move |_, m| on_flow.lock().unwrap().push(m)),
        target: Box::new(move |_, _| {
            let earlier = arrivals.lock().unwrap().len();
            on_target.lock().unwrap().push(earlier);
        }),
        ..Handlers::default()
    };
    let a = start(1, None, key(), handlers);
    let (net, clock) = paced(&a);
    for part in 0..20 {
        net.send(NodeId(1), report(part)).unwrap();
    }
    net.send(NodeId(1), load()).unwrap();
    net.send(NodeId(1), answer()).unwrap();
    let sent_at_once = net.stats().kind(Kind::Report).sent;
    assert!(sent_at_once < 20);
    wait("the answer arrived", || {
        clock.advance(Duration::from_millis(1));
        net.stats().kind(Kind::Answer).sent == 1
    });
    assert!(net.stats().kind(Kind::Report).sent <= sent_at_once + 1);
    wait("the load arrived", || {
        clock.advance(Duration::from_millis(10));
        !loads.lock().unwrap().is_empty()
    });
    assert_eq!(flows.lock().unwrap().len(), 21);
    assert_eq!(*loads.lock().unwrap(), [21]);
}

#[test]
fn a_message_that_waited_long_goes_before_a_stream_of_answers() {
    let a = start(1, None, key(), Handlers::default());
    let (net, clock) = paced(&a);
    for part in 0..10 {
        net.send(NodeId(1), report(part)).unwrap();
    }
    net.send(NodeId(1), load()).unwrap();
    wait("the load went out between answers", || {
        clock.advance(Duration::from_millis(10));
        for _ in 0..10 {
            net.send(NodeId(1), answer()).unwrap();
        }
        net.stats().kind(Kind::Load).sent == 1
    });
    assert!(net.stats().kind(Kind::Answer).dropped > 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_more_than_the_rate_and_the_burst_is_let_through(
        steps in prop::collection::vec((0..500_u64, 1..1_400_usize), 1..500),
    ) {
        let mut budget = TokenBucket::new(RATE as u32, BURST as u32);
        let (mut now, mut sent) = (Duration::ZERO, 0);
        for (wait, bytes) in steps {
            now += Duration::from_millis(wait);
            if budget.allows(now) {
                budget.charge(bytes);
                sent += bytes as u64;
            }
            prop_assert!(sent <= BURST + RATE * now.as_millis() as u64 / 1_000 + DATAGRAM);
        }
    }
}
