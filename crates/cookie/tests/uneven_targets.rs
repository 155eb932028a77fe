//! Targets of one service that differ in pace; each test replays one load pattern.

mod common;

use std::time::Duration;

use common::replay::{Counts, Replay};
use common::{IDEMPOTENT, flow, ms};
use sequoiatrail_cookie::{OverloadConfig, Paces, TargetId};

/// Load in multiples of the capacity of the targets.
const LOAD: f64 = 0.4;

/// Two balancers and ten targets under load, before one of them turns slow.
fn ten_targets() -> Replay {
    let mut replay = Replay::with_targets(2, 10, OverloadConfig::default());
    replay.run_load(LOAD, ms(2_000), &[IDEMPOTENT]);
    replay.take_counts();
    replay
}

fn counts_after(replay: &mut Replay, time: Duration) -> Counts {
    replay.run_load(LOAD, time, &[IDEMPOTENT]);
    replay.take_counts()
}

fn late_share(counts: Counts) -> f64 {
    f64::from(counts.late) / f64::from(counts.in_time + counts.late)
}

#[test]
fn a_target_five_times_slower_than_nine_others_gets_few_flows() {
    let mut replay = ten_targets();
    replay.slow.insert(TargetId(1), 5);
    let first = counts_after(&mut replay, ms(1_000));
    let later = counts_after(&mut replay, ms(4_000));
    // It has a tenth of the slots, and no request on it meets the goal.
    assert!(late_share(later) < 0.025, "{first:?} then {later:?}");
}

#[test]
fn a_target_of_usual_pace_keeps_its_share_despite_some_long_requests() {
    let mut paces = Paces::default();
    let mut now = Duration::ZERO;
    for number in 0..200 {
        now += ms(20);
        let latency = if number % 30 == 29 {
            210
        } else {
            20 + number % 20
        };
        paces.record(
            now,
            TargetId(number % 10),
            flow(1, IDEMPOTENT).route,
            ms(latency),
        );
    }
    for id in 0..10 {
        assert!(paces.slowness(now, TargetId(id)) < 1.5, "{id}");
    }
}

#[test]
fn a_target_that_has_recovered_regains_its_share_step_by_step() {
    let mut paces = Paces::default();
    let mut now = Duration::ZERO;
    for number in 0..200 {
        now += ms(20);
        let latency = if number % 10 == 0 { 100 } else { 20 };
        paces.record(
            now,
            TargetId(number % 10),
            flow(1, IDEMPOTENT).route,
            ms(latency),
        );
    }
    assert_eq!(paces.slowness(now, TargetId(1)), 1.0);
    let slowness = |after| paces.slowness(now + ms(after), TargetId(0));
    assert!(slowness(0) > 2.5, "{}", slowness(0));
    assert!((1.5..2.5).contains(&slowness(4_000)), "{}", slowness(4_000));
    assert!(slowness(10_000) < 1.2, "{}", slowness(10_000));
}
