//! Rate limit and priorities of control messages, under a manual clock.

#[allow(dead_code, reason = "each test file uses only some of the helpers")]
mod cluster;

use std::sync::Arc;
use std::time::Duration;

use cluster::{identity, key, recorder, start, wait_until};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_peers::{Handlers, Kind, PeerNet, Settings, TokenBucket};
use sequoiatrail_types::{Clock, FlowHash, ManualClock, NodeId, PlanVersion, ServiceId, TargetId};
use sequoiatrail_wire::message::{Body, FlowMessage, FlowSet, Flows, Observation, TargetMessage};

const RATE_BYTES_PER_S: u64 = 3_000;
const BURST_BYTES: u64 = 6_000;
/// Upper bound of a control datagram with its headers.
const MAX_DATAGRAM_BYTES: u64 = 1_500;
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

/// Starts a balancer under a manual clock and waits until it has discovered `a`.
fn start_paced(a: &PeerNet) -> (PeerNet, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::default());
    let cfg = Settings {
        seeds: vec![a.address().control()],
        ..Settings::default()
    };
    let shared_clock: Arc<dyn Clock> = clock.clone();
    let handlers = Handlers::default();
    let net = PeerNet::start_with_clock(cfg, identity(2), key(), handlers, shared_clock).unwrap();
    wait_until("the balancer discovers the other one", || {
        clock.advance(Duration::from_millis(1));
        net.members().peer(NodeId(1)).is_some()
    });
    (net, clock)
}

#[test]
fn report_burst_is_sent_at_the_configured_rate() {
    let a = start(1, None, key(), Handlers::default());
    let (net, clock) = start_paced(&a);
    let start = clock.now();
    let before = net.stats().control_bytes_sent();
    for part in 0..1_000 {
        net.send(NodeId(1), report(part)).unwrap();
    }
    let mut elapsed = Duration::ZERO;
    while elapsed < Duration::from_secs(20) {
        clock.advance(STEP);
        elapsed = clock.now() - start;
        let sent = || net.stats().control_bytes_sent() - before;
        let refilled = RATE_BYTES_PER_S * elapsed.as_millis() as u64 / 1_000;
        wait_until("the refilled tokens are spent", || sent() >= refilled);
        assert!(sent() <= BURST_BYTES + refilled + MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn answers_precede_reports_and_load_comes_last() {
    let (flows, on_flow) = recorder();
    let (loads, on_target) = recorder();
    let arrivals = Arc::clone(&flows);
    let handlers = Handlers {
        flow: Box::new(move |_, m| on_flow.lock().unwrap().push(m)),
        target: Box::new(move |_, _| {
            let flows_before = arrivals.lock().unwrap().len();
            on_target.lock().unwrap().push(flows_before);
        }),
        ..Handlers::default()
    };
    let a = start(1, None, key(), handlers);
    let (net, clock) = start_paced(&a);
    for part in 0..20 {
        net.send(NodeId(1), report(part)).unwrap();
    }
    net.send(NodeId(1), load()).unwrap();
    net.send(NodeId(1), answer()).unwrap();
    let sent_at_once = net.stats().kind(Kind::Report).sent;
    assert!(sent_at_once < 20);
    wait_until("the answer is sent", || {
        clock.advance(Duration::from_millis(1));
        net.stats().kind(Kind::Answer).sent == 1
    });
    assert!(net.stats().kind(Kind::Report).sent <= sent_at_once + 1);
    wait_until("the load arrives", || {
        clock.advance(Duration::from_millis(10));
        !loads.lock().unwrap().is_empty()
    });
    assert_eq!(flows.lock().unwrap().len(), 21);
    assert_eq!(*loads.lock().unwrap(), [21]);
}

#[test]
fn overdue_message_precedes_a_stream_of_answers() {
    let a = start(1, None, key(), Handlers::default());
    let (net, clock) = start_paced(&a);
    for part in 0..10 {
        net.send(NodeId(1), report(part)).unwrap();
    }
    net.send(NodeId(1), load()).unwrap();
    wait_until("the load is sent despite queued answers", || {
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
    fn token_bucket_never_exceeds_rate_and_burst(
        steps in prop::collection::vec((0..500_u64, 1..1_400_usize), 1..500),
    ) {
        let mut budget = TokenBucket::new(RATE_BYTES_PER_S as u32, BURST_BYTES as u32);
        let (mut now, mut sent) = (Duration::ZERO, 0);
        for (wait, bytes) in steps {
            now += Duration::from_millis(wait);
            if budget.allows(now) {
                budget.charge(bytes);
                sent += bytes as u64;
            }
            prop_assert!(sent <= BURST_BYTES + RATE_BYTES_PER_S * now.as_millis() as u64 / 1_000 + MAX_DATAGRAM_BYTES);
        }
    }
}
