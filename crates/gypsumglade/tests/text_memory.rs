//! Memory of a store of texts, in a separate process, since the peak counts everything in it.

use std::time::Duration;

use bytes::Bytes;
use gypsumglade::texts::{TextLimits, TextStore};
use gypsumglade_core::wire::turn::Text;

const RETENTION: Duration = Duration::from_secs(3600);
const LIMITS: TextLimits = TextLimits { disk_bytes: 256 * 1024 * 1024 };
/// Memory that puts may use, in kB; the disk holds ten times as much.
const MOST: u64 = 10 * 1024;
/// Memory that opening may use beyond the peak of the puts, in kB.
const OPEN_MOST: u64 = 1024;

/// Returns the peak of this process's memory, in kB.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a process has a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

#[tokio::test]
async fn open_takes_little_memory() {
    // A store read all texts into memory, or kept those that it had written.
    let folder = tempfile::tempdir().expect("a folder");
    let store = TextStore::open(folder.path(), LIMITS).expect("the folder opens");
    let before = peak();
    for i in 0..400 {
        // One text is longer than the memory that opening may use.
        let length = if i == 200 { 3_000_000 } else { 250_000 };
        let (turn, part) = (format!("turn-{i}"), Bytes::from(vec![i as u8; length / 2]));
        let text = Text { turn, input: part.clone(), output: part };
        store.put(vec![text], RETENTION).await.expect("the text is put");
    }
    drop(store);
    let put = peak();
    let store = TextStore::open(folder.path(), LIMITS).expect("the folder opens");
    while store.status().scanning {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(store.status().texts, 400);
    assert!(store.status().disk_bytes > 10 * MOST * 1000);
    let open = peak();
    println!("putting took {} kB, opening {} kB beyond that", put - before, open - put);
    assert!(put - before < MOST, "putting took {} kB", put - before);
    assert!(open - put < OPEN_MOST, "opening took {} kB beyond that", open - put);
}
