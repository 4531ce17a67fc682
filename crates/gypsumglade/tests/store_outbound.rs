//! Replication batches on their way to another store.

use bytes::Bytes;
use gypsumglade::store::outbound::PeerQueue;
use gypsumglade_core::wire::replication::{Batch, Message, Pulse};
use prost::Message as _;

/// Memory that may be held for one peer, which may be gone for good: a hundredth of a store's.
const MOST_BYTES: usize = 2 * 1024 * 1024;

fn batch(term: u64, sent: u64) -> Bytes {
    let message = Message { group: 0, term, body: None };
    let pulse = Pulse { sent, ..Pulse::default() };
    Batch { messages: vec![message], pulse: Some(pulse) }.encode_to_vec().into()
}

/// A leader makes batches faster than a long link answers frames. If each went out in a frame of its
/// own, they would queue for seconds and followers would depose a healthy leader. So what waits is
/// joined: every message in order, and the latest pulse.
#[test]
fn take_joins_waiting() {
    let queue = PeerQueue::default();
    for number in 1..=4 {
        assert!(queue.push(batch(number, number * 10), false), "room");
    }

    let frame = queue.take(true).expect("a frame");
    let joined = Batch::decode(frame.bytes).expect("a batch");

    let terms: Vec<u64> = joined.messages.iter().map(|message| message.term).collect();
    assert_eq!(terms, [1, 2, 3, 4]);
    assert_eq!(joined.pulse.expect("a pulse").sent, 40);
    assert_eq!(queue.take(true), None, "nothing is left behind");
    assert_eq!(queue.bytes(), 0);
}

#[test]
fn take_passes_single() {
    let queue = PeerQueue::default();
    assert!(queue.push(batch(1, 10), false));
    assert_eq!(queue.take(true).expect("a frame").bytes, batch(1, 10));
}

/// Guards against a store that dies for memory since one peer takes nothing: 256 batches waited for
/// it, each of up to a megabyte.
#[test]
fn push_bounded_bytes() {
    for (bulk, size) in [(false, 100_000), (true, 250_000), (false, 1_000), (false, 3_000_000)] {
        let queue = PeerQueue::default();
        let accepted = (0..10_000).filter(|_| queue.push(Bytes::from(vec![0; size]), bulk));
        assert!(accepted.count() > 0, "one always fits");
        assert!(queue.bytes() <= MOST_BYTES.max(size), "{} bytes wait", queue.bytes());
    }
}

/// Guards against a leader that is deposed while it brings a follower up to date: its heartbeats had
/// no place behind the entries.
#[test]
fn push_heartbeat_when_full() {
    let queue = PeerQueue::default();
    while queue.push(Bytes::from(vec![0; 100_000]), false) {}
    assert!(queue.push(batch(1, 10), false));
}

/// Guards against commits and elections that wait behind the snapshot of a newcomer.
#[test]
fn take_pieces_last() {
    let queue = PeerQueue::default();
    let piece = Bytes::from(vec![0; 250_000]);
    assert!(queue.push(piece.clone(), true));
    assert!(queue.push(batch(1, 10), false));

    let first = queue.take(true).expect("a frame");
    assert_eq!((first.bytes, first.bulk), (batch(1, 10), false));
    assert_eq!(queue.take(false), None, "a second piece waits until the first was taken");
    let second = queue.take(true).expect("a frame");
    assert_eq!((second.bytes, second.bulk), (piece, true));
}
