//! Balancers that learn from one another while the store does not answer them.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{REPEATABLE, World, data, entry, forwarded, ms};
use sequoiatrail_cookie::{
    ManifestOutcome, PeerChange, PeerInfo, Peers, PeersConfig, SnapshotError, TargetChange,
    TargetEvent, TargetId,
};

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8_166).into()
}

fn name(number: u8, domain: &str) -> PeerInfo {
    PeerInfo {
        address: address(number),
        domain: domain.into(),
    }
}

/// Peers of balancer 1 in failure domain `a`.
fn peers(seeds: &[u8]) -> Peers {
    let seeds: Vec<SocketAddr> = seeds.iter().map(|n| address(*n)).collect();
    Peers::new(PeersConfig::default(), name(1, "a"), &seeds, 7)
}

/// Everybody asked within a time, in order; those that `answers` lists answer.
fn asked(
    peers: &mut Peers,
    from: Duration,
    time: Duration,
    urgent: bool,
    answers: &[PeerInfo],
) -> Vec<SocketAddr> {
    let mut all = Vec::new();
    for step in 0..time.as_millis() as u64 / 20 {
        let now = from + ms(20 * step);
        let Some(peer) = peers.next_to_query(now, urgent) else {
            continue;
        };
        all.push(peer);
        match answers.iter().find(|a| a.address == peer) {
            Some(name) => peers.record_response(name, true, &[]),
            None => peers.record_failure(now, peer, now),
        };
    }
    all
}

#[test]
fn a_starter_asks_each_seed_soon_and_other_domains_seldom() {
    let mut peers = peers(&[1, 2, 3]);
    let far = [name(2, "b"), name(3, "c")];
    let mut first = asked(&mut peers, ms(0), ms(900), false, &far);
    first.sort();
    first.dedup();
    assert_eq!(first, [address(2), address(3)], "itself is no peer");
    let later = asked(&mut peers, ms(900), ms(60_000), false, &far);
    assert!((8..=24).contains(&later.len()), "{}", later.len());
}

#[test]
fn without_the_store_all_are_asked_in_turn_and_those_that_answer_first() {
    let mut peers = peers(&[2, 3]);
    let named: Vec<_> = [4, 5, 1].map(|n| name(n, "b")).into();
    peers.record_response(&name(2, "b"), true, &named);
    for silent in [3, 3, 4] {
        peers.record_failure(ms(0), address(silent), ms(0));
    }
    let answers = [name(2, "b"), name(5, "b")];
    let urgent = asked(&mut peers, ms(0), ms(1_150), true, &answers);
    assert_eq!(urgent.len(), 4);
    assert!(!urgent.contains(&address(3)) && !urgent.contains(&address(4)));
    assert!(urgent.contains(&address(2)) && urgent.contains(&address(5)));
}

#[test]
fn a_peer_that_does_not_answer_for_long_is_forgotten_unless_it_is_a_seed() {
    let mut peers = peers(&[2]);
    assert_eq!(
        peers.record_response(&name(2, "b"), true, &[name(4, "b")]),
        None
    );
    let fails = |peers: &mut Peers, number, now| peers.record_failure(now, address(number), now);
    assert_eq!(fails(&mut peers, 4, ms(0)), Some(PeerChange::Lost));
    assert_eq!(fails(&mut peers, 4, ms(100)), None);
    assert_eq!(
        peers.record_response(&name(4, "b"), true, &[]),
        Some(PeerChange::Recovered)
    );
    for now in [ms(1_000), ms(10_000), ms(22_000)] {
        fails(&mut peers, 4, now);
        fails(&mut peers, 2, now);
    }
    assert_eq!(peers.len(), 1);
    assert_eq!(
        peers.sample("b"),
        [],
        "a failing peer is not named to others"
    );
    // A VM that stood still makes itself known again by asking.
    peers.record_contact(&name(4, "b"));
    assert_eq!(peers.sample("b"), [name(4, "b")]);
}

#[test]
fn the_number_of_peers_is_bounded_and_the_own_domain_goes_first() {
    let cfg = PeersConfig::default();
    let mut peers = peers(&[2]);
    let many: Vec<_> = (3..=250).map(|n| name(n, "b")).collect();
    peers.record_response(&name(2, "b"), true, &many);
    assert_eq!(peers.len(), cfg.most);
    peers.record_contact(&name(251, "a"));
    assert_eq!(peers.len(), cfg.most);
    let sample = peers.sample("a");
    assert!(sample.contains(&name(251, "a")));
    assert!(sample.len() <= 2 * cfg.told);
}

/// Balancers 1 to 3 in domain `a`, 4 and 5 in `b`; all have answered.
fn six() -> (Peers, Vec<PeerInfo>) {
    let mut peers = peers(&[2, 4]);
    let all = vec![name(2, "a"), name(3, "a"), name(4, "b"), name(5, "b")];
    for peer in &all {
        peers.record_response(peer, true, &all);
    }
    (peers, all)
}

#[test]
fn the_last_of_a_domain_steps_aside_until_another_is_back() {
    let (mut peers, all) = six();
    assert!(!peers.is_minority(ms(0)));
    asked(&mut peers, ms(0), ms(2_500), false, &all[2..]);
    assert!(peers.is_minority(ms(2_500)));
    peers.record_contact(&all[0]);
    peers.record_response(&all[0], true, &[]);
    assert!(!peers.is_minority(ms(2_600)), "two of three are there");
}

#[test]
fn nobody_steps_aside_while_no_other_domain_can_take_over() {
    let (mut peers, _) = six();
    asked(&mut peers, ms(0), ms(6_000), false, &[]);
    assert!(!peers.is_minority(ms(6_000)));
}

#[test]
fn one_of_two_one_lost_question_and_a_stopping_peer_are_no_reason_to_step_aside() {
    let (mut peers, all) = six();
    peers.record_failure(ms(0), all[0].address, ms(0));
    peers.record_failure(ms(0), all[1].address, ms(0));
    assert!(!peers.is_minority(ms(10)), "each failed once only");
    let mut two = self::peers(&[2, 4]);
    two.record_response(&name(2, "a"), true, &[]);
    two.record_response(&name(4, "b"), true, &[]);
    asked(&mut two, ms(0), ms(3_000), false, &all[2..]);
    assert!(!two.is_minority(ms(3_000)), "half are there");
    let (mut peers, all) = six();
    peers.record_response(&all[0], false, &[]);
    assert!(!peers.is_minority(ms(0)), "two of three serve");
}

#[test]
fn balancers_that_were_removed_are_not_waited_for() {
    let (mut peers, all) = six();
    asked(&mut peers, ms(0), ms(5_000), false, &all[2..]);
    assert!(peers.is_minority(ms(5_000)));
    asked(&mut peers, ms(5_000), ms(25_000), false, &all[2..]);
    assert!(!peers.is_minority(ms(30_000)));
}

#[test]
fn a_large_domain_is_not_watched() {
    let mut peers = peers(&[2]);
    let near: Vec<_> = (3..40).map(|n| name(n, "a")).collect();
    peers.record_response(&name(2, "a"), true, &near);
    peers.record_response(&name(100, "b"), true, &[]);
    let asked = asked(&mut peers, ms(0), ms(20_000), false, &[]);
    assert!(asked.len() <= 12, "{}", asked.len());
    assert!(!peers.is_minority(ms(20_000)));
}

#[test]
fn a_dead_peer_of_the_own_domain_is_asked_again_soon() {
    let (mut peers, all) = six();
    let asked = asked(&mut peers, ms(0), ms(3_000), false, &all[1..]);
    let dead = asked.iter().filter(|a| **a == address(2)).count();
    assert!(dead >= 10, "{dead}");
}

#[test]
fn all_balancers_restarted_in_turn_without_the_store_serve_on() {
    let mut worlds = vec![World::new(6, 2)];
    worlds.extend((0..5).map(|_| World::starting()));
    let target = worlds[0].open(1, REPEATABLE);
    for n in 1..worlds.len() {
        let snapshot = worlds[n - 1].balancer.snapshot_after(0, 0).unwrap();
        let world = &mut worlds[n];
        let taken = world.balancer.apply_snapshot(world.now, snapshot).unwrap();
        assert_eq!(taken.targets.len(), 8);
        assert!(world.balancer.is_ready());
        let seg = data(1, REPEATABLE, target.cookie(), 5, 9);
        assert_eq!(forwarded(world.decide(seg)).0, target);
    }
}

#[test]
fn a_balancer_that_is_cut_off_learns_of_targets_and_versions_only_rise() {
    let mut cut_off = World::new(3, 0);
    let mut other = World::new(3, 0);
    other.change(vec![TargetChange::Present(entry(9, "a"))], true);
    other.change(vec![TargetChange::Gone(TargetId(2))], true);
    let (version, revision) = (
        cut_off.balancer.routes().version(),
        cut_off.balancer.directory().revision(),
    );
    let snapshot = other.balancer.snapshot_after(version, revision).unwrap();
    let now = cut_off.now;
    let taken = cut_off.balancer.apply_snapshot(now, snapshot.clone());
    let taken = taken.unwrap();
    assert_eq!(taken.manifest, ManifestOutcome::Stale);
    assert!(taken.targets.contains(&(TargetId(9), TargetEvent::Added)));
    assert!(taken.targets.contains(&(TargetId(2), TargetEvent::Lapsed)));
    let again = cut_off.balancer.apply_snapshot(now, snapshot).unwrap();
    assert_eq!(again.targets, [], "what is known already changes nothing");
    let newer = cut_off.balancer.directory().revision();
    assert_eq!(cut_off.balancer.snapshot_after(version, newer), None);
    let old = World::new(1, 0).balancer.snapshot().unwrap();
    let old = cut_off.balancer.apply_snapshot(now, old).unwrap();
    assert_eq!(old.targets, [], "an older list takes nothing away");
}

#[test]
fn the_first_list_of_the_store_goes_before_a_peers() {
    let mut world = World::starting();
    let now = world.now;
    let mut snapshot = World::new(3, 0).balancer.snapshot().unwrap();
    snapshot.revision = 90_000;
    world.balancer.apply_snapshot(now, snapshot).unwrap();
    let list = vec![TargetChange::Present(entry(9, "a"))];
    let news = world.balancer.replace_targets(now, 20, list.clone(), true);
    assert_eq!(news.len(), 4, "one came, three are gone");
    assert_eq!(world.balancer.directory().revision(), 20);
    let older = world.balancer.replace_targets(now, 19, list, true);
    assert_eq!(older, []);
}

#[test]
fn an_entry_that_cannot_be_read_keeps_its_flows_where_a_peer_tells_of_it() {
    let mut first = World::new(2, 0);
    let target = first.open(1, REPEATABLE);
    first.change(vec![TargetChange::Unreadable(target)], true);
    let snapshot = first.balancer.snapshot().unwrap();
    let mut second = World::new(2, 0);
    let now = second.now;
    second.balancer.apply_snapshot(now, snapshot).unwrap();
    second.pass(ms(4_000));
    second.balancer.sweep(second.now);
    let seg = data(1, REPEATABLE, target.cookie(), 5, 9);
    assert_eq!(forwarded(second.decide(seg)).0, target);
}

#[test]
fn a_snapshot_that_cannot_be_used_changes_nothing() {
    let mut snapshot = World::new(3, 0).balancer.snapshot().unwrap();
    snapshot.targets[0].slots = 0;
    let id = snapshot.targets[0].id;
    let mut world = World::starting();
    let now = world.now;
    let error = world.balancer.apply_snapshot(now, snapshot.clone());
    assert_eq!(error, Err(SnapshotError::NoSlots { id }));
    snapshot.targets[0].slots = 1;
    let route = &mut snapshot.manifest.routes[0];
    route.shares.clear();
    let address = route.address;
    let error = world.balancer.apply_snapshot(now, snapshot);
    assert_eq!(error, Err(SnapshotError::NoService { address }));
    assert!(!world.balancer.is_ready());
}
