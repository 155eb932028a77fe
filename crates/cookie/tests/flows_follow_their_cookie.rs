//! The cookie decides where packets of an open flow go, on any balancer, through
//! changes of targets, manifests and balancers.

mod common;

use common::{ONCE, REPEATABLE, World, ack, data, entry, forwarded, manifest, ms, route, syn};
use sequoiatrail_cookie::{
    Cookie, Decision, DropReason, Flags, Lifecycle, ManifestOutcome, PlaceReason, ResetReason,
    Segment, TargetChange, TargetEntry, TargetEvent, TargetId,
};

#[test]
fn a_balancer_that_never_saw_a_flow_forwards_it() {
    let mut first = World::new(4, 0);
    let target = first.open(1, REPEATABLE);
    let mut second = World::new(4, 0);
    let seg = data(1, REPEATABLE, target.cookie(), 5, 9);
    assert_eq!(forwarded(second.decide(seg)), (target, None));
}

#[test]
fn an_opening_packet_gets_the_cookie_of_its_target() {
    let mut world = World::new(4, 0);
    let (target, cookie) = forwarded(world.decide(syn(1, REPEATABLE, 0)));
    assert_eq!(cookie, Some(target.cookie()));
}

#[test]
fn a_draining_target_keeps_its_flows_and_gets_no_new_ones() {
    let mut world = World::new(1, 1);
    let target = world.open(1, REPEATABLE);
    assert_eq!(target, TargetId(1));
    let draining = TargetEntry {
        lifecycle: Lifecycle::Draining,
        ..entry(1, "a")
    };
    world.change(vec![TargetChange::Present(draining)], true);
    let seg = data(1, REPEATABLE, target.cookie(), 5, 9);
    assert_eq!(forwarded(world.decide(seg)).0, target);
    for caller in 2..20 {
        assert_eq!(world.open(caller, REPEATABLE), TargetId(2));
    }
}

#[test]
fn flows_of_a_target_that_left_are_reset_before_their_callers_use_them() {
    let mut world = World::new(2, 0);
    let target = world.open(1, REPEATABLE);
    world.change(vec![TargetChange::Gone(target)], true);
    let resets = world.effects().resets;
    assert_eq!(resets.len(), 1);
    assert_eq!(resets[0].reason, ResetReason::TargetGone);
    let seg = data(1, REPEATABLE, target.cookie(), 5, 9);
    assert_eq!(world.decide(seg), Decision::Reset(ResetReason::TargetGone));
}

#[test]
fn an_entry_that_lapses_while_the_store_has_trouble_keeps_its_flows() {
    let mut world = World::new(2, 0);
    let target = world.open(1, REPEATABLE);
    let news = world.change(vec![TargetChange::Gone(target)], false);
    assert_eq!(news, [(target, TargetEvent::Lapsed)]);
    assert_eq!(world.effects().resets, []);
    let seg = data(1, REPEATABLE, target.cookie(), 5, 9);
    assert_eq!(forwarded(world.decide(seg)).0, target);
    assert_ne!(world.open(2, REPEATABLE), target);
    world.pass(ms(2_000));
    world.change(vec![TargetChange::Present(entry(target.0, "a"))], true);
    world.pass(ms(2_000));
    world.balancer.sweep(world.now);
    assert_eq!(world.effects().resets, []);
}

#[test]
fn an_entry_that_lapsed_and_does_not_return_is_gone() {
    let mut world = World::new(2, 0);
    let target = world.open(1, REPEATABLE);
    world.change(vec![TargetChange::Gone(target)], false);
    world.pass(ms(2_600));
    let news = world.balancer.sweep(world.now);
    assert_eq!(news, [(target, TargetEvent::Gone)]);
    assert_eq!(world.effects().resets.len(), 1);
}

#[test]
fn a_target_that_started_again_under_its_identity_has_no_flows() {
    let mut world = World::new(1, 0);
    let target = world.open(1, REPEATABLE);
    let reborn = TargetEntry {
        born_ms: Some(2),
        ..entry(1, "a")
    };
    let news = world.change(vec![TargetChange::Present(reborn)], true);
    assert_eq!(news, [(target, TargetEvent::Reborn)]);
    assert_eq!(world.effects().resets.len(), 1);
    assert_eq!(world.balancer.flows().len(), 0);
    assert_eq!(world.open(2, REPEATABLE), target);
}

#[test]
fn an_unreadable_entry_gets_no_new_flows_and_harms_no_other() {
    let mut world = World::new(2, 0);
    let target = world.open(1, REPEATABLE);
    world.change(vec![TargetChange::Unreadable(target)], true);
    world.change(vec![TargetChange::Unreadable(TargetId(77))], true);
    let seg = data(1, REPEATABLE, target.cookie(), 5, 9);
    assert_eq!(forwarded(world.decide(seg)).0, target);
    for caller in 2..20 {
        assert_ne!(world.open(caller, REPEATABLE), target);
    }
}

#[test]
fn of_two_targets_with_one_cookie_the_lower_identity_has_it() {
    let low = TargetId(0x0000_0001_0000_0005);
    let high = TargetId(0x0000_0004_0000_0000);
    assert_eq!(low.cookie(), high.cookie());
    for order in [[low, high], [high, low]] {
        let mut world = World::new(0, 0);
        for id in order {
            world.change(
                vec![TargetChange::Present(TargetEntry {
                    id,
                    ..entry(1, "a")
                })],
                true,
            );
        }
        for caller in 1..20 {
            assert_eq!(world.open(caller, REPEATABLE), low);
        }
    }
}

#[test]
fn an_identity_is_never_the_cookie_that_names_nobody() {
    assert_ne!(TargetId(0x0000_0005_0000_0005).cookie(), Cookie(0));
}

#[test]
fn an_older_list_and_an_older_manifest_change_nothing() {
    let mut world = World::new(2, 0);
    let news = world
        .balancer
        .replace_targets(world.now, 9, Vec::new(), true);
    assert_eq!(news, []);
    assert_eq!(
        world.balancer.apply_manifest(manifest(1, Vec::new())),
        ManifestOutcome::Stale
    );
    world.open(1, REPEATABLE);
}

#[test]
fn without_a_route_a_flow_is_refused_at_once() {
    let mut world = World::new(2, 0);
    assert_eq!(
        world.decide(syn(1, 9, 0)),
        Decision::Reset(ResetReason::NoRoute)
    );
}

#[test]
fn a_new_manifest_leaves_open_flows_where_they_are_unless_it_removes_their_route() {
    let mut world = World::new(2, 0);
    let target = world.open(1, REPEATABLE);
    let other = world.open(2, ONCE);
    let moved = manifest(2, vec![route(REPEATABLE, &[("elsewhere", 1)])]);
    assert_eq!(
        world.balancer.apply_manifest(moved),
        ManifestOutcome::Applied { replaced: 1 }
    );
    let stays = world.decide(data(1, REPEATABLE, target.cookie(), 5, 9));
    assert_eq!(forwarded(stays).0, target);
    let ends = world.decide(data(2, ONCE, other.cookie(), 5, 9));
    assert_eq!(ends, Decision::Reset(ResetReason::RouteRemoved));
}

#[test]
fn without_a_target_a_flow_is_refused_at_once() {
    let mut world = World::new(0, 0);
    assert_eq!(
        world.decide(syn(1, REPEATABLE, 0)),
        Decision::Reset(ResetReason::NoTarget)
    );
}

#[test]
fn shares_split_new_flows_by_weight_and_alike_on_every_balancer() {
    let service = |id| if id == 1 { "app" } else { "next" };
    let world = |_| {
        let mut world = World::new(0, 0);
        world.balancer.apply_manifest(manifest(
            2,
            vec![route(REPEATABLE, &[("app", 90), ("next", 10)])],
        ));
        let targets = (1..3).map(|id| {
            TargetChange::Present(TargetEntry {
                service: service(id).into(),
                ..entry(id, "a")
            })
        });
        let targets = targets.collect();
        world.change(targets, true);
        world
    };
    let (mut one, mut two) = (world(1), world(2));
    let mut next = 0;
    for caller in 1..2_001 {
        let target = forwarded(one.decide(syn(caller, REPEATABLE, 0))).0;
        assert_eq!(forwarded(two.decide(syn(caller, REPEATABLE, 0))).0, target);
        next += u32::from(target == TargetId(2));
    }
    assert!(
        (140..260).contains(&next),
        "{next} of 2000 flows at weight 10 of 100"
    );
}

#[test]
fn a_cookie_not_known_yet_is_dropped_and_later_reset() {
    let mut world = World::new(2, 0);
    let seg = data(1, REPEATABLE, Cookie(0x99), 5, 9);
    assert_eq!(world.decide(seg), Decision::Drop(DropReason::UnknownCookie));
    world.pass(ms(2_000));
    assert_eq!(
        world.decide(seg),
        Decision::Reset(ResetReason::UnknownTarget)
    );
}

#[test]
fn a_packet_without_cookie_goes_where_its_flow_went() {
    let mut world = World::new(2, 0);
    let target = world.open(1, REPEATABLE);
    let Decision::Forward {
        target: to, reason, ..
    } = world.decide(data(1, REPEATABLE, Cookie(0), 5, 9))
    else {
        panic!("not forwarded");
    };
    assert_eq!((to, reason), (target, PlaceReason::Remembered));
    let unknown = world.decide(data(2, REPEATABLE, Cookie(0), 5, 9));
    assert_eq!(unknown, Decision::Drop(DropReason::NoCookie));
}

#[test]
fn a_reset_is_never_answered_by_a_reset() {
    let mut world = World::new(2, 0);
    let rst = Segment {
        flags: Flags {
            rst: true,
            ..Flags::default()
        },
        ..syn(1, 9, 0)
    };
    assert!(!matches!(world.decide(rst), Decision::Reset(_)));
    let target = world.open(1, REPEATABLE);
    world.change(vec![TargetChange::Gone(target)], true);
    let rst = Segment {
        flags: Flags {
            rst: true,
            ..Flags::default()
        },
        ..ack(1, REPEATABLE, target.cookie(), 9)
    };
    assert_eq!(
        world.decide(rst),
        Decision::Drop(DropReason::PointlessReset)
    );
}

#[test]
fn a_target_long_gone_is_forgotten_and_its_place_used_again() {
    let mut world = World::new(2, 0);
    for id in 3..200 {
        world.change(vec![TargetChange::Present(entry(id, "a"))], true);
        world.change(vec![TargetChange::Gone(TargetId(id))], true);
        world.pass(ms(80_000));
        world.balancer.sweep(world.now);
    }
    assert_eq!(world.balancer.directory().listed().count(), 2);
    assert_eq!(
        world.balancer.directory().by_cookie(TargetId(50).cookie()),
        None
    );
}

#[test]
fn a_snapshot_starts_another_balancer() {
    let mut first = World::new(3, 2);
    let target = first.open(1, REPEATABLE);
    let snapshot = first.balancer.snapshot().unwrap();
    let mut second = World::new(0, 0);
    let list = snapshot
        .targets
        .into_iter()
        .map(TargetChange::Present)
        .collect();
    second
        .balancer
        .replace_targets(second.now, snapshot.revision, list, true);
    let seg = data(1, REPEATABLE, target.cookie(), 5, 9);
    assert_eq!(forwarded(second.decide(seg)).0, target);
}

#[test]
fn a_late_copy_of_the_opening_packet_of_an_open_flow_goes_nowhere() {
    let mut world = World::new(8, 0);
    for caller in 1..20 {
        world.open(caller, REPEATABLE);
        world.pass(ms(400));
        let late = world.decide(syn(caller, REPEATABLE, 1));
        assert_eq!(late, Decision::Drop(DropReason::HeldUp));
    }
}

#[test]
fn opening_packets_that_a_pause_held_up_go_nowhere() {
    let mut world = World::new(2, 0);
    world.pass(ms(4_000));
    world.balancer.handle_pause(world.now);
    let held_up = world.decide(syn(1, REPEATABLE, 0));
    assert_eq!(held_up, Decision::Drop(DropReason::HeldUp));
    let target = TargetId(1);
    let seg = data(2, REPEATABLE, target.cookie(), 5, 9);
    assert_eq!(forwarded(world.decide(seg)).0, target, "data is not lost");
    world.pass(ms(30));
    forwarded(world.decide(syn(1, REPEATABLE, 1)));
}

#[test]
fn a_draining_target_whose_entry_lapses_keeps_its_flows_for_a_while() {
    let mut world = World::new(2, 0);
    let target = world.open(1, REPEATABLE);
    let draining = TargetEntry {
        lifecycle: Lifecycle::Draining,
        ..entry(target.0, "a")
    };
    world.change(vec![TargetChange::Present(draining)], true);
    let news = world.change(vec![TargetChange::Gone(target)], false);
    assert_eq!(news, [(target, TargetEvent::Lapsed)]);
    assert_eq!(world.effects().resets, []);
}

#[test]
fn a_target_that_goes_takes_only_its_own_flows_and_not_those_of_its_cookies_owner() {
    let low = TargetId(0x0000_0001_0000_0005);
    let high = TargetId(0x0000_0004_0000_0000);
    let mut world = World::new(0, 0);
    for id in [low, high] {
        let entry = TargetEntry {
            id,
            ..entry(1, "a")
        };
        world.change(vec![TargetChange::Present(entry)], true);
    }
    world.open(1, REPEATABLE);
    world.change(vec![TargetChange::Gone(high)], true);
    assert_eq!(world.effects().resets, []);
}
