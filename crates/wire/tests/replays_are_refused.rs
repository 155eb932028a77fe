//! Every datagram is accepted at most once, including reordered ones within the window.

use std::collections::HashSet;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_types::NodeId;
use sequoiatrail_wire::{ReplayGuard, ReplayWindow};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_serial_is_accepted_twice(serials in vec(1_u64..4_000, 0..500)) {
        let mut window = ReplayWindow::default();
        let mut accepted = HashSet::new();
        let mut highest = 0;
        for serial in serials {
            let fresh = window.accept(serial);
            prop_assert!(!fresh || accepted.insert(serial));
            let inside = serial + 1_024 > highest;
            prop_assert_eq!(fresh || accepted.contains(&serial), inside || accepted.contains(&serial));
            highest = highest.max(serial);
        }
    }
}

#[test]
fn the_highest_serial_does_not_overflow() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(u64::MAX));
    assert!(!window.accept(u64::MAX));
    assert!(!window.accept(1));
    assert!(!window.accept(0));
}

#[test]
fn senders_do_not_share_a_window() {
    let mut guard = ReplayGuard::new(8);
    assert!(guard.accept(NodeId(1), 5_000));
    assert!(guard.accept(NodeId(2), 1));
    assert!(!guard.accept(NodeId(1), 5_000));
}

#[test]
fn the_guard_tracks_no_more_senders_than_its_capacity() {
    let mut guard = ReplayGuard::new(8);
    for node in 1..=1_000 {
        assert!(guard.accept(NodeId(node), 1));
    }
    assert_eq!(guard.len(), 8);
}
