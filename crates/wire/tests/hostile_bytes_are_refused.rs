//! Decoding arbitrary or corrupted bytes never panics or exceeds the limits.

mod builders;

use builders::{datagram, key, seeded_config};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use sequoiatrail_wire::message::{Body, Datagram, FlowMessage, Flows};
use sequoiatrail_wire::{TAG_BYTES, decode, encode, limits};

/// Appends a valid tag, so that the decoder parses the message.
fn with_tag(mut bytes: Vec<u8>) -> Vec<u8> {
    let tag = key().tag(&[&bytes]);
    bytes.extend_from_slice(&tag);
    bytes
}

fn flows_within_limits(flows: &Flows) -> bool {
    match flows {
        Flows::Hashes(hashes) => hashes.len() <= limits::HASHES,
        Flows::Filter(filter) => filter.fingerprints.len() <= limits::FINGERPRINTS,
        Flows::Buckets(buckets) => buckets.len() <= limits::BUCKETS,
    }
}

fn within_limits(datagram: &Datagram) -> bool {
    match &datagram.body {
        Body::Membership(m) => m.updates.len() <= limits::UPDATES && m.plans.len() <= limits::PLANS,
        Body::Flow(FlowMessage::Relay(header, packet)) => {
            (1..=limits::HOPS).contains(&header.hops) && packet.len() <= limits::PACKET_BYTES
        }
        Body::Flow(FlowMessage::Placed { .. }) => true,
        Body::Flow(
            FlowMessage::Offer(set)
            | FlowMessage::Report(set)
            | FlowMessage::Settled(set)
            | FlowMessage::Gathered(set),
        ) => set.part < set.parts && flows_within_limits(&set.flows),
        Body::Flow(FlowMessage::Missing(missing)) => missing.parts.len() <= limits::MISSING_PARTS,
        Body::Forward(m) => m.datagram.len() <= limits::FORWARD_BYTES,
        Body::Target(m) => {
            m.observations.len() <= limits::TARGETS && m.shares.len() <= limits::TARGETS
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(100_000, 3))]

    #[test]
    fn arbitrary_bytes_never_authenticate(bytes in vec(any::<u8>(), 0..64)) {
        prop_assert!(decode(&bytes, &key()).is_err());
    }

    #[test]
    fn arbitrary_authenticated_bytes_stay_within_the_limits(bytes in vec(any::<u8>(), 0..128)) {
        if let Ok(datagram) = decode(&with_tag(bytes), &key()) {
            prop_assert!(within_limits(&datagram));
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(10_000, 4))]

    #[test]
    fn corrupted_authenticated_messages_stay_within_the_limits(
        datagram in datagram(),
        changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let mut bytes = encode(&datagram, &key());
        bytes.truncate(bytes.len() - TAG_BYTES);
        for (at, value) in changes {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        if let Ok(datagram) = decode(&with_tag(bytes), &key()) {
            prop_assert!(within_limits(&datagram));
        }
    }
}

#[test]
fn packed_zero_words_do_not_expand_beyond_the_limit() {
    // In packed encoding, a zero byte stands for a zero word and the next byte counts further
    // zero words.
    let bomb = [0, 255].repeat(limits::DATAGRAM_BYTES / 2 - TAG_BYTES);
    assert!(decode(&with_tag(bomb), &key()).is_err());
}

#[test]
fn an_oversized_datagram_is_rejected() {
    let long = vec![1; limits::DATAGRAM_BYTES + 1];
    assert!(decode(&with_tag(long), &key()).is_err());
}

#[test]
fn a_list_longer_than_its_limit_is_rejected() {
    let mut runner = proptest::test_runner::TestRunner::new(seeded_config(1, 5));
    let mut datagram = datagram().new_tree(&mut runner).unwrap().current();
    let hash = sequoiatrail_types::FlowHash(7);
    let set = sequoiatrail_wire::message::FlowSet {
        service: sequoiatrail_types::ServiceId(1),
        plan: sequoiatrail_types::PlanVersion(1),
        view: 0,
        round: 0,
        target: sequoiatrail_types::TargetId(1),
        part: 0,
        parts: 1,
        flows: Flows::Hashes(vec![hash; limits::HASHES + 1]),
    };
    datagram.body = Body::Flow(FlowMessage::Report(set));
    assert!(decode(&encode(&datagram, &key()), &key()).is_err());
}
