//! Every message comes back as it was sent, and only under the same key.

mod builders;

use builders::{datagram, fixed, key};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use sequoiatrail_wire::{Error, Key, TAG_BYTES, decode, encode};

proptest! {
    #![proptest_config(fixed(2_000, 1))]

    #[test]
    fn a_message_comes_back_as_it_was_sent(datagram in datagram()) {
        let bytes = encode(&datagram, &key());
        prop_assert_eq!(decode(&bytes, &key()).unwrap(), datagram);
    }

    #[test]
    fn a_message_under_another_key_is_refused(datagram in datagram()) {
        let stranger = Key::new(b"a key of somebody else").unwrap();
        let bytes = encode(&datagram, &stranger);
        prop_assert!(matches!(decode(&bytes, &key()), Err(Error::TagMismatch)));
    }

    #[test]
    fn a_message_with_one_changed_byte_is_refused(
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
    fn a_message_cut_short_is_refused(
        datagram in datagram(),
        at in any::<prop::sample::Index>(),
    ) {
        let bytes = encode(&datagram, &key());
        let cut = &bytes[..at.index(bytes.len())];
        prop_assert!(decode(cut, &key()).is_err());
    }
}

#[test]
fn a_short_key_is_refused() {
    assert!(matches!(
        Key::new(b"too short"),
        Err(Error::ShortKey { len: 9, min: 16 })
    ));
}

#[test]
fn a_key_does_not_print_itself() {
    assert_eq!(format!("{:?}", key()), "Key(..)");
}

#[test]
fn bytes_after_the_message_are_refused() {
    let mut runner = proptest::test_runner::TestRunner::new(fixed(1, 2));
    let datagram = datagram().new_tree(&mut runner).unwrap().current();
    let mut bytes = encode(&datagram, &key());
    bytes.truncate(bytes.len() - TAG_BYTES);
    bytes.push(0xff);
    let tag = key().tag(&[&bytes]);
    bytes.extend_from_slice(&tag);
    assert!(decode(&bytes, &key()).is_err());
}
