//! Memory of the index of texts, in a separate process, since everything in it counts.

use std::time::Duration;

use bytes::Bytes;
use gypsumglade::texts::{TextLimits, TextStore};
use gypsumglade_core::wire::turn::Text;

const RETENTION: Duration = Duration::from_secs(3600);
const LIMITS: TextLimits = TextLimits { disk_bytes: 64 * 1024 * 1024 };
/// Number of texts in a batch, and number of batches.
const BATCH: usize = 4_000;
const BATCHES: usize = 10;
/// Memory limit for each stored text, with a name of 36 bytes.
const TEXT_BYTES: u64 = 400;

/// Returns the memory of this process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a process has a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("it has a size");
    let size: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    size * 1024
}

fn texts(batch: usize) -> Vec<Text> {
    let text = |number: usize| {
        let turn = format!("{:036x}", (batch * BATCH + number) as u128 * 0x9e37_79b9_7f4a_7c15);
        Text { turn, input: Bytes::from_static(b"in"), output: Bytes::from_static(b"out") }
    };
    (0..BATCH).map(text).collect()
}

/// The index entries of many short texts filled a store's memory.
#[tokio::test]
async fn index_takes_little_memory() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = TextStore::open(folder.path(), LIMITS).expect("the folder opens");
    // The buffers have their full size after the first batch.
    store.put(texts(0), RETENTION).await.expect("the texts are put");
    let before = resident();
    for batch in 1..=BATCHES {
        store.put(texts(batch), RETENTION).await.expect("the texts are put");
    }
    let each = (resident() - before) / (BATCH * BATCHES) as u64;
    println!("a text takes {each} bytes of memory");
    assert_eq!(store.status().texts, BATCH * (BATCHES + 1));
    assert!(each <= TEXT_BYTES, "a text takes {each} bytes of memory");
}
