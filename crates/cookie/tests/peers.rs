//! Peer polling, and snapshots exchanged between balancers while the store is down.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{IDEMPOTENT, Sim, data, entry, forwarded, known, ms};
use sequoiatrail_cookie::{
    KnownRevisions, ManifestOutcome, PeerChange, PeerInfo, Peers, PeersConfig, SnapshotError,
    TargetChange, TargetEvent, TargetId,
};

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8_166).into()
}

fn peer_info(number: u8, domain: &str) -> PeerInfo {
    PeerInfo {
        address: address(number),
        domain: domain.into(),
    }
}

/// Peers of balancer 1 in failure domain `a`.
fn peers(seeds: &[u8]) -> Peers {
    let seeds: Vec<SocketAddr> = seeds.iter().map(|n| address(*n)).collect();
    Peers::new(PeersConfig::default(), peer_info(1, "a"), &seeds, 7)
}

/// Peers queried during `time`, in order; those listed in `answers` respond.
fn queried(
    peers: &mut Peers,
    from: Duration,
    time: Duration,
    store_down: bool,
    answers: &[PeerInfo],
) -> Vec<SocketAddr> {
    let mut all = Vec::new();
    for step in 0..time.as_millis() as u64 / 20 {
        let now = from + ms(20 * step);
        let Some(peer) = peers.next_to_query(now, store_down) else {
            continue;
        };
        all.push(peer);
        match answers.iter().find(|a| a.address == peer) {
            Some(peer_info) => peers.record_response(peer_info, true, &[]),
            None => peers.record_failure(now, peer, now),
        };
    }
    all
}

#[test]
fn a_starting_balancer_queries_each_seed_soon_and_remote_domains_rarely() {
    let mut peers = peers(&[1, 2, 3]);
    let remote = [peer_info(2, "b"), peer_info(3, "c")];
    let mut first = queried(&mut peers, ms(0), ms(900), false, &remote);
    first.sort();
    first.dedup();
    assert_eq!(
        first,
        [address(2), address(3)],
        "a balancer is not its own peer"
    );
    let later = queried(&mut peers, ms(900), ms(60_000), false, &remote);
    assert!((8..=24).contains(&later.len()), "{}", later.len());
}

#[test]
fn without_the_store_peers_that_respond_are_queried_first_and_in_turn() {
    let mut peers = peers(&[2, 3]);
    let named: Vec<_> = [4, 5, 1].map(|n| peer_info(n, "b")).into();
    peers.record_response(&peer_info(2, "b"), true, &named);
    for unresponsive in [3, 3, 4] {
        peers.record_failure(ms(0), address(unresponsive), ms(0));
    }
    let answers = [peer_info(2, "b"), peer_info(5, "b")];
    let queried_peers = queried(&mut peers, ms(0), ms(1_150), true, &answers);
    assert_eq!(queried_peers.len(), 4);
    assert!(!queried_peers.contains(&address(3)) && !queried_peers.contains(&address(4)));
    assert!(queried_peers.contains(&address(2)) && queried_peers.contains(&address(5)));
}

#[test]
fn a_failing_peer_expires_unless_it_is_a_seed() {
    let mut peers = peers(&[2]);
    assert_eq!(
        peers.record_response(&peer_info(2, "b"), true, &[peer_info(4, "b")]),
        None
    );
    let fails = |peers: &mut Peers, number, now| peers.record_failure(now, address(number), now);
    assert_eq!(fails(&mut peers, 4, ms(0)), Some(PeerChange::Lost));
    assert_eq!(fails(&mut peers, 4, ms(100)), None);
    assert_eq!(
        peers.record_response(&peer_info(4, "b"), true, &[]),
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
        "a failing peer is not sent to others"
    );
    // A VM that was paused becomes known again when it queries this balancer.
    peers.record_contact(&peer_info(4, "b"));
    assert_eq!(peers.sample("b"), [peer_info(4, "b")]);
}

#[test]
fn the_number_of_peers_is_bounded_and_local_ones_take_precedence() {
    let cfg = PeersConfig::default();
    let mut peers = peers(&[2]);
    let many: Vec<_> = (3..=250).map(|n| peer_info(n, "b")).collect();
    peers.record_response(&peer_info(2, "b"), true, &many);
    assert_eq!(peers.len(), cfg.max_peers);
    peers.record_contact(&peer_info(251, "a"));
    assert_eq!(peers.len(), cfg.max_peers);
    let sample = peers.sample("a");
    assert!(sample.contains(&peer_info(251, "a")));
    assert!(sample.len() <= 2 * cfg.sample_size);
}

/// Load: a failure domain of more balancers than are remembered, so that none of the others'
/// is known and the load there can't be taken for 0.
#[test]
fn a_balancer_that_does_not_know_the_whole_fleet_tells_no_remote_peers() {
    let mut peers = peers(&[]);
    let max = PeersConfig::default().max_peers as u8;
    for number in 2..=max {
        peers.record_contact(&peer_info(number, "a"));
    }
    assert_eq!(peers.remote_peers(), Some(vec![]), "all are known");
    peers.record_contact(&peer_info(max + 1, "b"));
    assert_eq!(peers.len(), usize::from(max));
    assert_eq!(peers.remote_peers(), None);
    peers.record_contact(&peer_info(max + 2, "a"));
    assert_eq!(peers.remote_peers(), None);
}

/// Balancers 1 to 3 in domain `a`, 4 and 5 in `b`; all have responded.
fn peers_in_two_domains() -> (Peers, Vec<PeerInfo>) {
    let mut peers = peers(&[2, 4]);
    let all = vec![
        peer_info(2, "a"),
        peer_info(3, "a"),
        peer_info(4, "b"),
        peer_info(5, "b"),
    ];
    for peer in &all {
        peers.record_response(peer, true, &all);
    }
    (peers, all)
}

#[test]
fn the_last_balancer_of_a_domain_is_a_minority_until_another_recovers() {
    let (mut peers, all) = peers_in_two_domains();
    assert!(!peers.is_minority(ms(0)));
    queried(&mut peers, ms(0), ms(2_500), false, &all[2..]);
    assert!(peers.is_minority(ms(2_500)));
    peers.record_contact(&all[0]);
    peers.record_response(&all[0], true, &[]);
    assert!(!peers.is_minority(ms(2_600)), "two of three are up");
}

#[test]
fn there_is_no_minority_while_no_other_domain_can_take_over() {
    let (mut peers, _) = peers_in_two_domains();
    queried(&mut peers, ms(0), ms(6_000), false, &[]);
    assert!(!peers.is_minority(ms(6_000)));
}

#[test]
fn half_a_domain_a_lost_query_or_a_stopping_peer_make_no_minority() {
    let (mut peers, all) = peers_in_two_domains();
    peers.record_failure(ms(0), all[0].address, ms(0));
    peers.record_failure(ms(0), all[1].address, ms(0));
    assert!(!peers.is_minority(ms(10)), "each failed only once");
    let mut two = self::peers(&[2, 4]);
    two.record_response(&peer_info(2, "a"), true, &[]);
    two.record_response(&peer_info(4, "b"), true, &[]);
    queried(&mut two, ms(0), ms(3_000), false, &all[2..]);
    assert!(!two.is_minority(ms(3_000)), "half are up");
    let (mut peers, all) = peers_in_two_domains();
    peers.record_response(&all[0], false, &[]);
    assert!(!peers.is_minority(ms(0)), "two of three serve");
}

#[test]
fn removed_balancers_do_not_count_as_down() {
    let (mut peers, all) = peers_in_two_domains();
    queried(&mut peers, ms(0), ms(5_000), false, &all[2..]);
    assert!(peers.is_minority(ms(5_000)));
    queried(&mut peers, ms(5_000), ms(25_000), false, &all[2..]);
    assert!(!peers.is_minority(ms(30_000)));
}

#[test]
fn a_large_domain_is_not_monitored() {
    let mut peers = peers(&[2]);
    let local: Vec<_> = (3..40).map(|n| peer_info(n, "a")).collect();
    peers.record_response(&peer_info(2, "a"), true, &local);
    peers.record_response(&peer_info(100, "b"), true, &[]);
    let queried = queried(&mut peers, ms(0), ms(20_000), false, &[]);
    assert!(queried.len() <= 12, "{}", queried.len());
    assert!(!peers.is_minority(ms(20_000)));
}

#[test]
fn a_dead_local_peer_is_queried_more_often() {
    let (mut peers, all) = peers_in_two_domains();
    let queried = queried(&mut peers, ms(0), ms(3_000), false, &all[1..]);
    let dead = queried.iter().filter(|a| **a == address(2)).count();
    assert!(dead >= 10, "{dead}");
}

#[test]
fn a_rolling_restart_without_the_store_keeps_serving() {
    let mut sims = vec![Sim::new(6, 2)];
    sims.extend((0..5).map(|_| Sim::empty()));
    let target = sims[0].open(1, IDEMPOTENT);
    for n in 1..sims.len() {
        let snapshot = sims[n - 1]
            .balancer
            .snapshot_after(&KnownRevisions::default())
            .unwrap();
        let sim = &mut sims[n];
        let taken = sim.balancer.apply_snapshot(sim.now, snapshot).unwrap();
        assert_eq!(taken.targets.len(), 8);
        assert!(sim.balancer.is_ready());
        let seg = data(1, IDEMPOTENT, target.cookie(), 5, 9);
        assert_eq!(forwarded(sim.decide(seg)).0, target);
    }
}

#[test]
fn a_balancer_without_the_store_learns_targets_from_peers_and_versions_only_rise() {
    let mut cut_off = Sim::new(3, 0);
    let mut other = Sim::new(3, 0);
    other.apply_changes(vec![TargetChange::Present(entry(9, "a"))], true);
    other.apply_changes(vec![TargetChange::Gone(TargetId(2))], true);
    let before = known(&cut_off);
    let snapshot = other.balancer.snapshot_after(&before).unwrap();
    let now = cut_off.now;
    let taken = cut_off.balancer.apply_snapshot(now, snapshot.clone());
    let taken = taken.unwrap();
    assert_eq!(taken.manifest, ManifestOutcome::Stale);
    assert!(taken.targets.contains(&(TargetId(9), TargetEvent::Added)));
    assert!(taken.targets.contains(&(TargetId(2), TargetEvent::Lapsed)));
    let again = cut_off.balancer.apply_snapshot(now, snapshot).unwrap();
    assert_eq!(again.targets, [], "a known revision changes nothing");
    let after = known(&cut_off);
    assert_eq!(cut_off.balancer.snapshot_after(&after), None);
    let old = Sim::new(1, 0).balancer.snapshot().unwrap();
    let old = cut_off.balancer.apply_snapshot(now, old).unwrap();
    assert_eq!(old.targets, [], "an older list removes nothing");
}

#[test]
fn the_first_list_of_the_store_supersedes_a_peers() {
    let mut sim = Sim::empty();
    let now = sim.now;
    let mut snapshot = Sim::new(3, 0).balancer.snapshot().unwrap();
    snapshot.revision = 90_000.into();
    sim.balancer.apply_snapshot(now, snapshot).unwrap();
    let list = vec![TargetChange::Present(entry(9, "a"))];
    let events = sim
        .balancer
        .replace_targets(now, 20.into(), list.clone(), true);
    assert_eq!(events.len(), 4, "one added, three gone");
    assert_eq!(sim.balancer.directory().revision(), 20.into());
    let older = sim.balancer.replace_targets(now, 19.into(), list, true);
    assert_eq!(older, []);
}

#[test]
fn an_unreadable_entry_in_a_peers_snapshot_keeps_its_flows() {
    let mut first = Sim::new(2, 0);
    let target = first.open(1, IDEMPOTENT);
    first.apply_changes(vec![TargetChange::Unreadable(target)], true);
    let snapshot = first.balancer.snapshot().unwrap();
    let mut second = Sim::new(2, 0);
    let now = second.now;
    second.balancer.apply_snapshot(now, snapshot).unwrap();
    second.advance(ms(4_000));
    second.balancer.sweep(second.now);
    let seg = data(1, IDEMPOTENT, target.cookie(), 5, 9);
    assert_eq!(forwarded(second.decide(seg)).0, target);
}

#[test]
fn an_invalid_snapshot_changes_nothing() {
    let mut snapshot = Sim::new(3, 0).balancer.snapshot().unwrap();
    snapshot.targets[0].slots = 0;
    let id = snapshot.targets[0].id;
    let mut sim = Sim::empty();
    let now = sim.now;
    let error = sim.balancer.apply_snapshot(now, snapshot.clone());
    assert_eq!(error, Err(SnapshotError::NoSlots { id }));
    snapshot.targets[0].slots = 1;
    let route = &mut snapshot.manifest.routes[0];
    route.shares.clear();
    let address = route.address;
    let error = sim.balancer.apply_snapshot(now, snapshot);
    assert_eq!(error, Err(SnapshotError::NoService { address }));
    assert!(!sim.balancer.is_ready());
}
