//! Replication batches on their way to another store.

use bytes::Bytes;
use gypsumglade::store::outbound::gather;
use gypsumglade_core::wire::replication::{Batch, Message, Pulse};
use prost::Message as _;
use tokio::sync::mpsc;

fn batch(term: u64, sent: u64) -> Bytes {
    let message = Message { group: 0, term, body: None };
    let pulse = Pulse { sent, ..Pulse::default() };
    Batch { messages: vec![message], pulse: Some(pulse) }.encode_to_vec().into()
}

/// A leader makes batches faster than a long link answers frames. If each went out in a frame of its
/// own, they would queue for seconds and followers would depose a healthy leader. So what waits is
/// joined: every message in order, and the latest pulse.
#[test]
fn gather_joins_waiting() {
    let (sender, mut waiting) = mpsc::channel(8);
    for number in 2..=4 {
        sender.try_send(batch(number, number * 10)).expect("room");
    }

    let joined = Batch::decode(gather(batch(1, 10), &mut waiting)).expect("a batch");

    let terms: Vec<u64> = joined.messages.iter().map(|message| message.term).collect();
    assert_eq!(terms, [1, 2, 3, 4]);
    assert_eq!(joined.pulse.expect("a pulse").sent, 40);
    assert!(waiting.try_recv().is_err(), "nothing is left behind");
}

#[test]
fn gather_passes_single() {
    let (_sender, mut waiting) = mpsc::channel(1);
    assert_eq!(gather(batch(1, 10), &mut waiting), batch(1, 10));
}
