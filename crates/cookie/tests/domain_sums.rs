//! Placement with the sums of the failure domain; each test replays one load pattern.

mod common;

use common::Sim;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiatrail_cookie::{Candidate, Load, NeighborLoad, PlacementConfig, choose};

/// Candidates 0 to `local` are in the own failure domain, the next `remote` ones not.
fn candidates(local: usize, remote: usize) -> Vec<Candidate> {
    let sim = Sim::new((local + remote) as u64, 0);
    let keys = sim.balancer.directory().for_service("app");
    let candidate = |(number, key): (usize, &_)| Candidate {
        key: *key,
        local: number < local,
        cold: false,
        returning: 0.0,
        avoid: false,
        slots: 2,
        slowness: 1.0,
        load: Load::default(),
        neighbors: Some(NeighborLoad::default()),
    };
    keys.iter().enumerate().map(candidate).collect()
}

/// Flows of `flows` new ones that each candidate gets while the sums stay the same; the
/// balancer sees its own flows.
fn place(seed: u64, candidates: &[Candidate], others: f64, flows: u32) -> Vec<u32> {
    let mut candidates = candidates.to_vec();
    let mut placed = vec![0; candidates.len()];
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cfg = PlacementConfig::default();
    for _ in 0..flows {
        let key = choose(&cfg, &candidates, Some(others), &mut rng);
        let number = candidates.iter().position(|c| Some(c.key) == key).unwrap();
        candidates[number].load.flows += 1;
        placed[number] += 1;
    }
    placed
}

#[test]
fn a_target_with_a_queue_that_only_others_see_gets_fewer_flows() {
    let mut candidates = candidates(10, 0);
    candidates[0].neighbors = Some(NeighborLoad {
        flows: 12.0,
        in_flight: 12.0,
    });
    // Short flows: each has ended when the next one begins.
    let placed: u32 = (0..200)
        .map(|seed| place(seed, &candidates, 12.0, 1)[0])
        .sum();
    assert!(placed <= 10, "{placed} of 200");
}

#[test]
fn eight_balancers_with_the_same_old_sums_do_not_all_select_the_emptiest_target() {
    let mut candidates = candidates(10, 0);
    for c in &mut candidates[1..] {
        c.neighbors = Some(NeighborLoad {
            flows: 4.0,
            in_flight: 2.0,
        });
    }
    let placed: Vec<u32> = (0..8)
        .map(|seed| place(seed, &candidates, 18.0, 5)[0])
        .collect();
    assert!(placed.iter().sum::<u32>() <= 8, "{placed:?}");
}

#[test]
fn no_flow_leaves_the_failure_domain_while_it_has_room() {
    let mut candidates = candidates(4, 4);
    for c in &mut candidates[..4] {
        c.load.flows = 30;
    }
    let placed = place(2, &candidates, 7.0, 200);
    assert_eq!(placed[4..], [0; 4]);
}

#[test]
fn only_the_excess_over_the_local_room_leaves_the_failure_domain() {
    for (in_flight, share) in [(10.0, 0.2), (16.0, 0.5), (40.0, 0.8)] {
        let placed = place(3, &candidates(4, 4), in_flight, 1_000);
        let left = placed[4..].iter().sum::<u32>();
        let error = f64::from(left) / 1_000.0 - share;
        assert!(error.abs() < 0.05, "{in_flight}: {placed:?}");
    }
}

#[test]
fn flows_leave_while_long_requests_take_all_local_slots() {
    let mut candidates = candidates(4, 4);
    for c in &mut candidates[..4] {
        c.load.flows = 4;
        c.load.busy = 4;
    }
    let placed = place(5, &candidates, 0.0, 1_000);
    let left = placed[4..].iter().sum::<u32>();
    assert!((450..=550).contains(&left), "{placed:?}");
}

#[test]
fn flows_leave_a_failure_domain_whose_targets_are_slow_or_suspect() {
    let mut candidates = candidates(4, 4);
    candidates[0].slowness = 5.0;
    candidates[1].avoid = true;
    candidates[2].avoid = true;
    // 2.4 of 8 slots are usable.
    let placed = place(4, &candidates, 4.8, 1_000);
    let left = placed[4..].iter().sum::<u32>();
    assert!((450..=550).contains(&left), "{placed:?}");
    assert_eq!(placed[1..3], [0; 2]);
}
