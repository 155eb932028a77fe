//! Open buckets settle, and existing flows keep their targets.

mod common;

use common::{Fabric, fin, ms};
use sequoiatrail_core::{CoreConfig, Event};
use sequoiatrail_types::TargetId;

const A: TargetId = TargetId(0);
const B: TargetId = TargetId(1);
const C: TargetId = TargetId(2);
/// Maximum control bytes that a balancer may send per second.
const BUDGET_BYTES: usize = 3_000;

#[test]
fn open_buckets_settle_and_rarely_seen_flows_keep_their_targets() {
    for (n, packets) in [(1, 1), (2, 1), (3, 2), (6, 3), (6, 30)] {
        let mut f = Fabric::new(n, 3, n as u64);
        f.run_flows(0..600, packets);
        f.move_buckets(32, B);
        assert!(f.open_buckets() > 0);
        f.run(ms(30_000));
        assert_eq!(f.open_buckets(), 0, "{n} balancers");
        f.assert_targets_kept(0..600, &format!("{n} balancers, {packets} packets"));
    }
}

#[test]
fn flows_placed_while_buckets_settle_keep_their_targets() {
    let mut f = Fabric::new(4, 3, 2);
    f.run_flows(0..300, 3);
    f.move_buckets(64, C);
    for step in 0..40 {
        f.run_flows(300 + 20 * step..320 + 20 * step, 2);
        f.run(ms(200));
    }
    f.run(ms(30_000));
    assert_eq!(f.open_buckets(), 0);
    f.assert_targets_kept(0..1_100, "placed while settling");
}

#[test]
fn settled_buckets_place_new_flows_by_the_plan_despite_filters() {
    let mut f = Fabric::new(3, 3, 3);
    f.run_flows(0..3_000, 1);
    f.move_buckets(64, B);
    f.run(ms(60_000));
    assert_eq!(f.open_buckets(), 0);
    f.run_flows(3_000..9_000, 2);
    let misplaced = (3_000..9_000).filter(|c| f.targets(*c) != [B]).count();
    assert_eq!(misplaced, 0);
}

#[test]
fn settling_survives_loss_duplication_and_reordering() {
    for seed in 0..6 {
        let mut f = Fabric::new(4, 3, seed);
        f.run_flows(0..400, 2);
        f.loss = 200;
        f.duplicates = 300;
        f.delay = ms(400);
        f.move_buckets(48, B);
        f.run(ms(120_000));
        assert_eq!(f.open_buckets(), 0, "seed {seed}");
        f.loss = 0;
        f.delay = ms(2);
        f.assert_targets_kept(0..400, &format!("seed {seed}"));
    }
}

#[test]
fn owner_that_dies_while_buckets_settle_breaks_no_flow_known_elsewhere() {
    for (seed, at) in [(1, 50), (2, 300), (3, 700), (4, 1_500), (5, 4_000)] {
        let mut f = Fabric::new(4, 3, seed);
        f.run_flows(0..500, 8);
        f.move_buckets(48, B);
        f.run(ms(at));
        f.run_flows(500..600, 2);
        f.kill(3, ms(1_000));
        f.run(ms(60_000));
        assert_eq!(f.open_buckets(), 0, "killed after {at} ms");
        // A flow whose packets all went to the dead balancer is not known to
        // any other.
        let known: Vec<u32> = (0..600).filter(|c| !f.targets(*c).is_empty()).collect();
        assert!(known.len() > 590);
        f.assert_targets_kept(0..600, &format!("killed after {at} ms"));
    }
}

#[test]
fn flow_placed_by_an_owner_that_has_all_reports_survives_its_leaving() {
    // Found by random schedules: seed 910248293341706284 of `against_naive`.
    for wait in (0..5_000).step_by(100) {
        let mut f = Fabric::new(4, 3, wait);
        f.run_flows(0..60, 3);
        f.move_buckets(64, B);
        f.run(ms(wait));
        f.run_flows(100..160, 1);
        f.kill(3, ms(10));
        f.assert_targets_kept(100..160, &format!("killed after {wait} ms"));
    }
}

#[test]
fn flows_placed_while_a_target_was_briefly_down_are_listed() {
    // Found by random schedules: seed 11147610035262797841 of `against_naive`.
    for wait in (0..2_500).step_by(100) {
        let mut f = Fabric::new(4, 3, wait);
        f.move_buckets(14, A);
        f.run_flows(0..20, 2);
        f.run(ms(wait));
        let (target, agreed_at) = (A, f.now);
        f.deliver_to_all(&Event::TargetDown { target, agreed_at });
        f.run_flows(20..60, 1);
        f.deliver_to_all(&Event::TargetUp { target });
        f.run(ms(30_000));
        f.assert_targets_kept(0..60, &format!("down after {wait} ms"));
    }
}

#[test]
fn changes_in_a_row_settle_at_the_newest_plan() {
    let mut f = Fabric::new(3, 3, 5);
    f.run_flows(0..300, 2);
    for (step, target) in [B, C, A, B, A].into_iter().enumerate() {
        f.move_buckets(16 + 8 * step, target);
        f.run(ms(700));
        let from = 300 + 50 * step as u32;
        f.run_flows(from..from + 50, 2);
    }
    f.run(ms(30_000));
    assert_eq!(f.open_buckets(), 0);
    f.assert_targets_kept(0..550, "five changes");
}

#[test]
fn buckets_of_a_dead_target_settle_after_it_returns() {
    let mut f = Fabric::new(3, 3, 6);
    f.run_flows(0..300, 2);
    let agreed_at = f.now;
    f.deliver_to_all(&Event::TargetDown {
        target: A,
        agreed_at,
    });
    f.run_flows(300..600, 2);
    f.run(ms(20_000));
    assert!(f.open_buckets() > 0);
    f.deliver_to_all(&Event::TargetUp { target: A });
    f.run(ms(20_000));
    assert_eq!(f.open_buckets(), 0);
    assert!((300..600).all(|c| f.targets(c) != [A]));
    f.assert_targets_kept(0..600, "target down and up");
    // Down and up again between two ticks, under the plan that is already
    // settled.
    f.deliver_to_all(&Event::TargetDown {
        target: A,
        agreed_at,
    });
    f.deliver_to_all(&Event::TargetUp { target: A });
    assert!(f.open_buckets() > 0);
    f.run(ms(20_000));
    assert_eq!(f.open_buckets(), 0);
}

#[test]
fn packet_in_a_filter_is_relayed_until_the_owner_has_answered() {
    let mut f = Fabric::new(3, 3, 9);
    f.run_flows(0..200, 2);
    f.move_buckets(64, B);
    f.run(ms(20_000));
    f.assert_targets_kept(0..200, "first packets");
    f.run(ms(20_000));
    let relayed = f.relayed;
    assert!(relayed > 0);
    f.assert_targets_kept(0..200, "later packets");
    assert_eq!(f.relayed, relayed);
}

#[test]
fn control_bytes_stay_inside_the_budget_in_every_second() {
    let mut f = Fabric::new(6, 3, 7);
    f.run_flows(0..4_000, 4);
    f.move_buckets(64, B);
    for second in 0..40 {
        let before: Vec<_> = f.balancers.iter().map(|b| b.control_bytes).collect();
        f.run(ms(1_000));
        for (index, before) in before.into_iter().enumerate() {
            let sent = f.balancers[index].control_bytes - before;
            assert!(sent <= BUDGET_BYTES, "{sent} bytes in second {second}");
        }
    }
}

#[test]
fn off_plan_flow_that_ends_anywhere_is_removed_by_its_owner() {
    let mut f = Fabric::new(3, 3, 8);
    f.run_flows(0..200, 2);
    f.move_buckets(64, C);
    f.run(ms(30_000));
    for client in 0..200 {
        f.spray(fin(client));
    }
    let cfg = CoreConfig::default();
    f.run(cfg.closed_linger + ms(7_000));
    let left: usize = f.balancers[..3]
        .iter()
        .map(|b| b.core.flow_stats().flows)
        .sum();
    // Besides its owner, each flow was known to at most two balancers.
    assert!(left <= 400, "{left}");
}
