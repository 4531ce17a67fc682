//! Detection of events in a forwarded stream.

use gypsumglade_core::stream::{EventScanner, MAX_EVENT_BYTES, MAX_STREAM_BYTES};
use proptest::prelude::*;

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nid: 2\nweight: 7\ndata: two\n\n: comment\n\nid: 3\r\ndata:three\r\n\r\n";

/// Feeds the pieces and returns the bytes of complete events, their number and their data.
fn feed_all(pieces: &[&[u8]]) -> (Vec<u8>, u64, Vec<u8>) {
    let mut scanner = EventScanner::default();
    let (mut passed, mut events) = (Vec::new(), 0);
    for piece in pieces {
        let completed = scanner.feed(piece);
        passed.extend_from_slice(&completed.bytes);
        events += completed.events;
    }
    (passed, events, scanner.into_data().to_vec())
}

#[test]
fn feed_whole() {
    let (passed, events, data) = feed_all(&[STREAM]);
    assert_eq!(passed, STREAM);
    assert_eq!(events, 3);
    assert_eq!(data, b"one\ntwo\nthree\n");
}

/// A partial event must not reach the caller, since another endpoint continues the stream after the
/// last complete event.
#[test]
fn feed_partial_event() {
    let mut scanner = EventScanner::default();
    let first = scanner.feed(b"id: 4\ndata: whole\n\nid: 5\ndata: ha");
    assert_eq!(&first.bytes[..], b"id: 4\ndata: whole\n\n");
    assert!(scanner.has_partial());
    assert_eq!(scanner.last_id(), Some(4));

    scanner.drop_partial();
    let next = scanner.feed(b"id: 5\ndata: half\n\n");
    assert_eq!(&next.bytes[..], b"id: 5\ndata: half\n\n");
    assert!(!scanner.has_partial());
    assert_eq!(&scanner.into_data()[..], b"whole\nhalf\n");
}

#[test]
fn feed_nothing() {
    assert_eq!(feed_all(&[]), (Vec::new(), 0, Vec::new()));
}

/// Returns how many bytes of a repeated piece are read until they are too many.
fn bytes_read(scanner: &mut EventScanner, piece: &[u8]) -> usize {
    let mut bytes = 0;
    while !scanner.is_too_large() {
        scanner.feed(piece);
        bytes += piece.len();
    }
    bytes
}

/// An event without end took memory until the time limit.
#[test]
fn feed_endless_event() {
    let mut scanner = EventScanner::default();
    let piece = [b'x'; 1_000];
    assert!(bytes_read(&mut scanner, &piece) <= MAX_EVENT_BYTES + piece.len());
    scanner.drop_partial();
    assert!(!scanner.is_too_large());
}

/// Events without end were passed on until the time limit.
#[test]
fn feed_endless_events() {
    let event = b"id: 1\ndata: more\n\n";
    let read = bytes_read(&mut EventScanner::default(), event);
    assert!(read <= MAX_STREAM_BYTES + event.len());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// The result does not depend on how the stream is split into pieces.
    #[test]
    fn feed_any_pieces(mut cuts in prop::collection::vec(0..STREAM.len(), 0..12)) {
        cuts.push(0);
        cuts.push(STREAM.len());
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|pair| &STREAM[pair[0]..pair[1]]).collect();
        prop_assert_eq!(feed_all(&pieces), feed_all(&[STREAM]));
    }
}
