//! Queue of replication batches for another store.

use bytes::Bytes;
use gypsumglade::store::outbound::PeerQueue;
use gypsumglade_core::wire::replication::{Batch, Message, Pulse};
use prost::Message as _;

/// Memory limit for the queue of one peer, which may be down for good: a hundredth of a store's.
const MOST_BYTES: usize = 2 * 1024 * 1024;

fn batch(term: u64, sent: u64) -> Bytes {
    let message = Message { group: 0, term, body: None };
    let pulse = Pulse { sent, ..Pulse::default() };
    Batch { messages: vec![message], pulse: Some(pulse) }.encode_to_vec().into()
}

/// A leader produces batches faster than a long link acknowledges frames. With a frame for each, they
/// queued for seconds and followers deposed a healthy leader. Queued batches are joined: every message
/// in order, and the latest pulse.
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

/// A store exceeded its memory since one peer accepted nothing: 256 batches of up to a megabyte each
/// were queued for it.
#[test]
fn push_bounded_bytes() {
    for (bulk, size) in [(false, 100_000), (true, 250_000), (false, 1_000), (false, 3_000_000)] {
        let queue = PeerQueue::default();
        let accepted = (0..10_000).filter(|_| queue.push(Bytes::from(vec![0; size]), bulk));
        assert!(accepted.count() > 0, "one always fits");
        assert!(queue.bytes() <= MOST_BYTES.max(size), "{} bytes wait", queue.bytes());
    }
}

/// A leader was deposed while it brought a follower up to date: its heartbeats were dropped because
/// entries filled the queue.
#[test]
fn push_heartbeat_when_full() {
    let queue = PeerQueue::default();
    while queue.push(Bytes::from(vec![0; 100_000]), false) {}
    assert!(queue.push(batch(1, 10), false));
}

/// Commits and elections waited behind the snapshot of a new member.
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
