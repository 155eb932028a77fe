//! Arbitrary and corrupted bytes never cause a panic, and invalid packets are rejected.

mod common;

use etherparse::TcpHeader;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use sequoiatrail_packet::{Error, parse, reject_reply};

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(2),
        ..ProptestConfig::default()
    })
}

fn handle(bytes: &[u8]) {
    if let Ok(packet) = parse(bytes) {
        reject_reply(&packet, bytes);
    }
}

#[test]
fn a_hundred_thousand_arbitrary_inputs_cause_no_panic() {
    // Half of the inputs start like IPv4 or IPv6, to get past the version check.
    let first = prop_oneof![Just(0x45u8), Just(0x60u8), any::<u8>(), any::<u8>()];
    runner(100_000)
        .run(&(first, vec(any::<u8>(), 0..120)), |(first, mut bytes)| {
            bytes.insert(0, first);
            handle(&bytes);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_corrupted_or_truncated_packet_causes_no_panic() {
    let src = "198.51.100.1:4000".parse().unwrap();
    let dst = "192.0.2.1:443".parse().unwrap();
    let good = common::tcp(src, dst, TcpHeader::new(0, 0, 1, 1), &[1; 40]);
    let changes = vec((0..good.len(), any::<u8>()), 0..6);
    runner(20_000)
        .run(&(changes, 0..=good.len()), |(changes, length)| {
            let mut bytes = good.clone();
            for (at, byte) in changes {
                bytes[at] = byte;
            }
            bytes.truncate(length);
            handle(&bytes);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_fragment_is_rejected_as_a_fragment() {
    let src = "198.51.100.1:4000".parse().unwrap();
    let dst = "192.0.2.1:443".parse().unwrap();
    let mut bytes = common::udp(src, dst, &[1; 40]);
    bytes[6] |= 0x20;
    assert_eq!(parse(&bytes), Err(Error::Fragment));
}

#[test]
fn a_truncated_packet_is_rejected_as_malformed() {
    let src = "198.51.100.1:4000".parse().unwrap();
    let dst = "192.0.2.1:443".parse().unwrap();
    let bytes = common::udp(src, dst, &[1; 40]);
    for length in 0..bytes.len() {
        assert_eq!(parse(&bytes[..length]), Err(Error::Malformed), "{length}");
    }
}

#[test]
fn another_transport_is_rejected_as_such() {
    let mut bytes = common::udp(
        "198.51.100.1:4000".parse().unwrap(),
        "192.0.2.1:443".parse().unwrap(),
        &[1; 40],
    );
    bytes[9] = 47;
    assert_eq!(parse(&bytes), Err(Error::Transport));
}
