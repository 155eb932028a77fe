//! Messages round-trip, and only unmodified and under the same key.

mod builders;

use builders::{datagram, key, seeded_config};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use sequoiatrail_wire::{Error, Key, TAG_BYTES, decode, encode};

proptest! {
    #![proptest_config(seeded_config(2_000, 1))]

    #[test]
    fn a_message_round_trips(datagram in datagram()) {
        let bytes = encode(&datagram, &key());
        prop_assert_eq!(decode(&bytes, &key()).unwrap(), datagram);
    }

    #[test]
    fn a_message_under_another_key_is_rejected(datagram in datagram()) {
        let other_key = Key::new(b"a key of somebody else").unwrap();
        let bytes = encode(&datagram, &other_key);
        prop_assert!(matches!(decode(&bytes, &key()), Err(Error::TagMismatch)));
    }

    #[test]
    fn a_message_with_one_changed_byte_is_rejected(
        datagram in datagram(),
        at in any::<prop::sample::Index>(),
        change in 1..=u8::MAX,
    ) {
        let mut bytes = encode(&datagram, &key());
        let at = at.index(bytes.len());
        bytes[at] ^= change;
        prop_assert!(matches!(decode(&bytes, &key()), Err(Error::TagMismatch)));
    }

    #[test]
    fn a_truncated_message_is_rejected(
        datagram in datagram(),
        at in any::<prop::sample::Index>(),
    ) {
        let bytes = encode(&datagram, &key());
        let truncated = &bytes[..at.index(bytes.len())];
        prop_assert!(decode(truncated, &key()).is_err());
    }
}

#[test]
fn a_short_key_is_rejected() {
    assert!(matches!(
        Key::new(b"too short"),
        Err(Error::ShortKey { len: 9, min: 16 })
    ));
}

#[test]
fn debug_output_does_not_reveal_the_key() {
    assert_eq!(format!("{:?}", key()), "Key(..)");
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut runner = proptest::test_runner::TestRunner::new(seeded_config(1, 2));
    let datagram = datagram().new_tree(&mut runner).unwrap().current();
    let mut bytes = encode(&datagram, &key());
    bytes.truncate(bytes.len() - TAG_BYTES);
    bytes.push(0xff);
    let tag = key().tag(&[&bytes]);
    bytes.extend_from_slice(&tag);
    assert!(decode(&bytes, &key()).is_err());
}
