//! Packed text of kept turns.

use bytes::Bytes;
use gypsumglade::gateway::packing::{pack, unpack_all};
use proptest::prelude::*;

#[test]
fn unpack_all_in_order() {
    let pieces = [pack(b"one"), pack(b""), pack(b"two")];
    assert_eq!(unpack_all(&pieces).expect("sound"), "onetwo");
}

#[test]
fn unpack_all_nothing() {
    assert_eq!(unpack_all(&[]).expect("sound"), Bytes::new());
}

/// A piece that names a length beyond any turn's must not be believed: the entry would take that
/// much memory at once and be killed with all its callers.
#[test]
fn unpack_all_huge_length() {
    assert_eq!(unpack_all(&[Bytes::from_static(b"\xff\xff\xff\x7f\x00")]), None);
}

#[test]
fn unpack_all_cut() {
    let packed = pack(&[7; 1_000]);
    assert_eq!(unpack_all(&[packed.slice(..packed.len() - 1)]), None);
    assert_eq!(unpack_all(&[packed.slice(..2)]), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn unpack_all_any(texts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 0..6)) {
        let pieces: Vec<Bytes> = texts.iter().map(|text| pack(text)).collect();
        prop_assert_eq!(unpack_all(&pieces).expect("sound"), texts.concat());
    }
}
