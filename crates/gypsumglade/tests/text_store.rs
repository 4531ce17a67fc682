//! Texts on a store's disk: durability, refusals and reclaimed space.

use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use gypsumglade::disk::Faults;
use gypsumglade::texts::{PutError, TextLimits, TextOptions, TextStatus, TextStore};
use gypsumglade_core::wire::turn::Text;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

const LONG: Duration = Duration::from_secs(3600);
/// Number of polls, one each millisecond, after which a test fails.
const LOOKS: usize = 60_000;
/// Limit of a large disk.
const ROOMY: u64 = 256 * 1024 * 1024;
/// Limit of a small disk; a segment is an eighth of it.
const SMALL: u64 = 1024 * 1024;
const SMALL_SEGMENT: u64 = SMALL / 8;
/// Overhead of a record, in bytes.
const OVERHEAD: u64 = 24;

struct Folder {
    root: tempfile::TempDir,
    faults: Faults,
    limit: u64,
    found: Duration,
    pause: Duration,
    /// Delay before a failed disk is retried.
    retry: Duration,
    /// How long to wait for a text that the scan may still find.
    patience: Duration,
    /// Number of critical messages.
    critical: Arc<AtomicUsize>,
    /// Number of warnings.
    warnings: Arc<AtomicUsize>,
}

/// Resumes syncs and scans when dropped, also after a panic, since dropping a store waits for them.
struct Held(Faults);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.release_syncs();
        self.0.release_scans();
    }
}

/// Counts critical messages and warnings.
struct Count(Arc<AtomicUsize>, Arc<AtomicUsize>);

impl slog::Drain for Count {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        match record.level() {
            slog::Level::Critical => drop(self.0.fetch_add(1, Ordering::Relaxed)),
            slog::Level::Warning => drop(self.1.fetch_add(1, Ordering::Relaxed)),
            _ => {}
        }
        Ok(())
    }
}

impl Folder {
    fn new(limit: u64) -> Folder {
        let root = tempfile::tempdir().expect("a folder");
        Folder {
            root,
            faults: Faults::default(),
            limit,
            found: LONG,
            pause: LONG,
            retry: Duration::from_millis(1),
            patience: LONG,
            critical: Arc::default(),
            warnings: Arc::default(),
        }
    }

    /// Opens the folder and waits for the end of the scan.
    fn open(&self) -> TextStore {
        let store = self.open_at_once();
        for _ in 0..LOOKS {
            if !store.status().scanning {
                return store;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("the files were never read: {:?}", store.status());
    }

    fn open_at_once(&self) -> TextStore {
        let limits = TextLimits { disk_bytes: self.limit };
        let counts = Count(Arc::clone(&self.critical), Arc::clone(&self.warnings));
        let log = slog::Logger::root(counts, slog::o!());
        let mut options = TextOptions::new(limits, log);
        options.faults = self.faults.clone();
        options.recovered_retention = self.found;
        options.recheck_interval = self.pause;
        options.retry_delay = self.retry;
        options.scan_timeout = self.patience;
        TextStore::open_with(self.root.path(), options).expect("the folder opens")
    }

    /// Blocks syncs until the guard is dropped.
    fn hold(&self) -> Held {
        self.faults.hold_syncs();
        Held(self.faults.clone())
    }

    /// Blocks scans until the guard is dropped.
    fn hold_scans(&self) -> Held {
        self.faults.hold_scans();
        Held(self.faults.clone())
    }

    fn files(&self) -> Vec<PathBuf> {
        let entries = fs::read_dir(self.root.path()).expect("a folder");
        let mut files: Vec<_> = entries.map(|entry| entry.expect("an entry").path()).collect();
        files.sort();
        files
    }

    fn file_bytes(&self) -> u64 {
        self.files().iter().map(|file| fs::metadata(file).map_or(0, |data| data.len())).sum()
    }
}

fn name(i: usize) -> String {
    format!("turn-{i:06}")
}

/// Returns a text whose bytes depend on its number.
fn text(i: usize, length: usize) -> Text {
    let byte = |at: usize| (i * 31 + at * 7) as u8;
    let input = Bytes::from_iter((0..length / 3).map(byte));
    let output = Bytes::from_iter((length / 3..length).map(byte));
    Text { turn: name(i), input, output }
}

fn record_bytes(text: &Text) -> u64 {
    OVERHEAD + (text.turn.len() + text.input.len() + text.output.len()) as u64
}

async fn get(store: &TextStore, i: usize) -> Option<Text> {
    let mut texts = store.get(&[name(i)]).await;
    assert!(texts.len() <= 1);
    texts.pop()
}

async fn put(store: &TextStore, i: usize, length: usize) {
    store.put(vec![text(i, length)], LONG).await.expect("the text is put");
}

fn spawn_put(store: &TextStore, text: Text) -> JoinHandle<Result<(), PutError>> {
    let store = store.clone();
    tokio::spawn(async move { store.put(vec![text], LONG).await })
}

/// Waits for a background action of the writer.
async fn until(store: &TextStore, reached: impl Fn(TextStatus) -> bool) -> TextStatus {
    for _ in 0..LOOKS {
        let status = store.status();
        if reached(status) {
            return status;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("the writer never got there: {:?}", store.status());
}

/// Begins to put a text, and returns once it is written and its sync is blocked.
async fn put_held(
    folder: &Folder,
    store: &TextStore,
    number: usize,
) -> (Held, JoinHandle<Result<(), PutError>>) {
    let held = folder.hold();
    let put = spawn_put(store, text(number, 1000));
    queue_all().await;
    until(store, |_| folder.file_bytes() > 0).await;
    (held, put)
}

/// Lets spawned tasks run until each has queued its puts.
async fn queue_all() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn put_survives_restart() {
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    for i in 0..20 {
        put(&store, i, 18_000).await;
    }
    drop(store);
    let store = folder.open();
    for i in 0..20 {
        assert_eq!(get(&store, i).await, Some(text(i, 18_000)));
    }
    assert_eq!(get(&store, 20).await, None);
    let status = store.status();
    let bytes = record_bytes(&text(0, 18_000)) * 20;
    assert_eq!((status.texts, status.live_bytes, status.disk_bytes), (20, bytes, bytes));
    assert_eq!(folder.file_bytes(), bytes);
}

#[tokio::test]
async fn put_answers_after_sync() {
    // A text was acknowledged that a power loss would still lose.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    let held = folder.hold();
    let waiting = spawn_put(&store, text(1, 100));
    queue_all().await;
    until(&store, |_| folder.file_bytes() > 0).await;
    assert!(!waiting.is_finished());
    assert_eq!(get(&store, 1).await, None, "an unsynced text counts as absent");
    drop(held);
    assert_eq!(waiting.await.expect("no panic"), Ok(()));
    assert_eq!(get(&store, 1).await, Some(text(1, 100)));
}

#[tokio::test]
async fn put_in_new_segment_waits_for_folder_sync() {
    // A power loss removed a new file whose data was synced and whose name wasn't.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    let length = SMALL_SEGMENT as usize - 1000;
    put(&store, 1, length).await;
    folder.faults.fail_folders();
    put(&store, 2, 100).await;
    let refused = store.put(vec![text(3, length)], LONG).await;
    assert_eq!(refused, Err(PutError::Failed));
}

#[test]
fn open_syncs_name_of_folder() {
    // A power loss removed the new folder, since its name was never synced.
    let folder = Folder::new(ROOMY);
    let root = folder.root.path().canonicalize().expect("a folder");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let mut options = TextOptions::new(TextLimits { disk_bytes: ROOMY }, log);
    options.faults = folder.faults.clone();
    folder.faults.fail_folder(&root);
    // The second time, the folder exists, left by a process that could not sync its name.
    for _ in 0..2 {
        let opened = TextStore::open_with(&root.join("texts"), options.clone());
        assert!(opened.is_err(), "texts could be acknowledged in a folder that may go");
    }
}

#[tokio::test]
async fn open_cuts_torn_tail() {
    // Guards against a crash in the middle of a write that would hide what was written before or later.
    let record = record_bytes(&text(0, 1000));
    for cut in [1, 500, record - 30, record - 10, record - 1, record] {
        let folder = Folder::new(ROOMY);
        let store = folder.open();
        for i in 0..3 {
            put(&store, i, 1000).await;
        }
        drop(store);
        let file = &folder.files()[0];
        File::options()
            .write(true)
            .open(file)
            .and_then(|f| f.set_len(3 * record - cut))
            .expect("cut");
        let store = folder.open();
        assert_eq!((store.status().texts, store.status().damaged), (2, 0), "cut by {cut}");
        assert_eq!(folder.file_bytes(), 2 * record, "cut by {cut}");
        assert_eq!(get(&store, 2).await, None);
        put(&store, 2, 1000).await;
        drop(store);
        let store = folder.open();
        for i in 0..3 {
            assert_eq!(get(&store, i).await, Some(text(i, 1000)), "cut by {cut}");
        }
    }
}

#[tokio::test]
async fn open_cuts_unwritten_tail() {
    // Guards against a power loss that leaves a file's new length and none of its data.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    put(&store, 1, 1000).await;
    drop(store);
    let file = &folder.files()[0];
    let whole = fs::metadata(file).expect("a file").len();
    File::options().write(true).open(file).and_then(|f| f.set_len(whole + 90_000)).expect("grown");
    let store = folder.open();
    assert_eq!(get(&store, 1).await, Some(text(1, 1000)));
    assert_eq!(folder.file_bytes(), whole);
    assert_eq!(store.status().damaged, 0);
}

/// Flips a bit of a file.
fn flip(file: &PathBuf, at: u64) {
    let file = OpenOptions::new().read(true).write(true).open(file).expect("a file");
    let mut byte = [0];
    file.read_exact_at(&mut byte, at).expect("a byte");
    file.write_all_at(&[byte[0] ^ 4], at).expect("written");
}

#[tokio::test]
async fn open_skips_damaged_middle_record() {
    // Guards against a flipped bit at rest, in each part of a record, that hides the records after it.
    let record = record_bytes(&text(0, 100_000));
    for at in [0, 5, 9, 13, 17, 21, OVERHEAD + 1, OVERHEAD + 500, record - 1] {
        let folder = Folder::new(ROOMY);
        let store = folder.open();
        for i in 0..5 {
            put(&store, i, 100_000).await;
        }
        drop(store);
        flip(&folder.files()[0], 2 * record + at);
        let store = folder.open();
        let status = store.status();
        assert_eq!((status.texts, status.damaged), (4, 1), "bit at {at}");
        assert_eq!(status.disk_bytes, 5 * record);
        assert_eq!(status.live_bytes, 4 * record);
        for i in 0..5 {
            let expected = (i != 2).then(|| text(i, 100_000));
            assert_eq!(get(&store, i).await, expected, "bit at {at}");
        }
    }
}

#[tokio::test]
async fn open_finds_header_across_pieces() {
    // A search missed a header that spans two of its reads.
    let record = record_bytes(&text(0, 64 * 1024));
    for shift in 0..6 {
        let folder = Folder::new(ROOMY);
        let store = folder.open();
        // The search starts one byte after the first header; its pieces have 64 KiB.
        let first = 64 * 1024 + 1 + shift - 4 - OVERHEAD as usize - name(0).len();
        put(&store, 0, first).await;
        put(&store, 1, 64 * 1024).await;
        drop(store);
        flip(&folder.files()[0], 0);
        let store = folder.open();
        assert_eq!(get(&store, 1).await, Some(text(1, 64 * 1024)), "shift {shift}");
        assert_eq!((store.status().live_bytes, store.status().damaged), (record, 1));
    }
}

#[tokio::test]
async fn get_drops_damaged_text() {
    // Guards against damage at rest that is read out as if it were the text.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    put(&store, 1, 1000).await;
    put(&store, 2, 1000).await;
    flip(&folder.files()[0], 500);
    assert_eq!(get(&store, 1).await, None);
    assert_eq!(get(&store, 2).await, Some(text(2, 1000)));
    assert_eq!((store.status().texts, store.status().damaged), (1, 1));
    put(&store, 1, 1000).await;
    assert_eq!(get(&store, 1).await, Some(text(1, 1000)));
}

#[tokio::test]
async fn put_refuses_when_disk_full() {
    // Files exceeded the limit of the settings.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    let mut stored = 0;
    let refused = loop {
        match store.put(vec![text(stored, 10_000)], LONG).await {
            Ok(()) => stored += 1,
            Err(error) => break error,
        }
    };
    assert_eq!(refused, PutError::Full);
    let record = record_bytes(&text(0, 10_000));
    let reserve = SMALL_SEGMENT / 4;
    assert_eq!(stored as u64, (SMALL - reserve) / record);
    assert!(folder.file_bytes() <= SMALL);
    assert_eq!(get(&store, 0).await, Some(text(0, 10_000)));
    // A store that is full again takes texts once others were dropped.
    (0..20).for_each(|i| store.drop(&name(i)));
    until(&store, |status| status.disk_bytes + record + reserve <= SMALL).await;
    put(&store, stored, 10_000).await;
}

#[tokio::test]
async fn put_refuses_when_queue_full() {
    // Guards against memory that fills up with texts while a sync takes long.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    let held = folder.hold();
    let mut waiting = Vec::new();
    for i in 0..8 {
        waiting.push(spawn_put(&store, text(i, 1_000_000)));
    }
    queue_all().await;
    assert_eq!(store.status().queued_bytes, 8 * record_bytes(&text(0, 1_000_000)));
    let refused = store.put(vec![text(8, 1_000_000)], LONG).now_or_never();
    assert_eq!(refused, Some(Err(PutError::Full)), "it is refused while the others wait");
    drop(held);
    for put in waiting {
        assert_eq!(put.await.expect("no panic"), Ok(()));
    }
    assert_eq!(store.status().queued_bytes, 0);
    put(&store, 8, 1_000_000).await;
}

#[tokio::test]
async fn put_takes_one_longer_than_queue() {
    // Guards against a turn that can never be kept, because its text is longer than the whole queue.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    let long = |i| Text { output: Bytes::from(vec![7; 9_000_000]), ..text(i, 0) };
    store.put(vec![long(1)], LONG).await.expect("it is alone");
    assert!(get(&store, 1).await == Some(long(1)));
    let held = folder.hold();
    let first = spawn_put(&store, text(2, 100));
    queue_all().await;
    let refused = store.put(vec![long(3)], LONG).now_or_never();
    assert_eq!(refused, Some(Err(PutError::Full)), "it isn't alone");
    drop(held);
    assert_eq!(first.await.expect("no panic"), Ok(()));
    drop(store);
    let store = folder.open();
    assert_eq!((store.status().texts, store.status().damaged), (2, 0));
    let small = Folder::new(SMALL).open();
    let refused = small.put(vec![text(4, SMALL as usize)], LONG).now_or_never();
    assert_eq!(refused, Some(Err(PutError::Full)), "the disk has no room for it");
}

#[tokio::test]
async fn put_refuses_many_short_ones() {
    // The index entries of short texts filled the memory long before the texts filled the disk.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    let most = (SMALL - SMALL_SEGMENT / 4) / 1024;
    let fitting = (0..most as usize).map(|i| text(i, 10)).collect();
    store.put(fitting, LONG).await.expect("each counts as 1 KiB");
    assert_eq!(store.put(vec![text(5000, 10)], LONG).await, Err(PutError::Full));
    // A dropped text still has its bytes on the disk, so it makes no room for another.
    (0..2).for_each(|i| store.drop(&name(i)));
    put(&store, 5000, 10).await;
    assert_eq!(store.put(vec![text(5001, 10)], LONG).await, Err(PutError::Full));
    drop(store);
    let store = folder.open();
    assert_eq!(store.status().texts as u64, most + 1, "the dropped ones are back");
    assert_eq!(store.put(vec![text(5001, 10)], LONG).await, Err(PutError::Full));
    (0..3).for_each(|i| store.drop(&name(i)));
    put(&store, 5001, 10).await;
}

#[tokio::test]
async fn put_shares_syncs() {
    // Guards against a sync for each text, which a disk of 5 ms a sync can't keep up with.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    let (held, first) = put_held(&folder, &store, 0).await;
    let others: Vec<_> = (1..50).map(|i| spawn_put(&store, text(i, 1000))).collect();
    queue_all().await;
    drop(held);
    assert_eq!(first.await.expect("no panic"), Ok(()));
    for put in others {
        assert_eq!(put.await.expect("no panic"), Ok(()));
    }
    assert_eq!(store.status().syncs, 2);
}

#[tokio::test]
async fn put_twice_is_acknowledged_once_synced() {
    // Guards against a repeated put that is answered while the first one may still be lost.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    let (held, first) = put_held(&folder, &store, 1).await;
    let second = spawn_put(&store, text(1, 1000));
    let third = spawn_put(&store, text(1, 1000));
    queue_all().await;
    assert!(!second.is_finished() && !third.is_finished());
    drop(held);
    for put in [first, second, third] {
        assert_eq!(put.await.expect("no panic"), Ok(()));
    }
    let bytes = record_bytes(&text(1, 1000));
    put(&store, 1, 1000).await;
    assert_eq!(store.status().disk_bytes, bytes, "it is on the disk once");
    let twice = vec![text(2, 1000), text(1, 1000), text(2, 1000)];
    store.put(twice, LONG).await.expect("the text is put");
    assert_eq!(store.status().disk_bytes, 2 * bytes);
    assert_eq!((store.status().texts, store.status().syncs), (2, 2));
}

#[tokio::test]
async fn put_twice_takes_room_once() {
    // Guards against a queue that is filled by callers who ask again because the disk is slow.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    let (held, first) = put_held(&folder, &store, 0).await;
    // The first one is being written, the others wait in the queue.
    let mut waiting = vec![first, spawn_put(&store, text(1, 3_000_000))];
    queue_all().await;
    let queued = store.status().queued_bytes;
    waiting.extend((0..20).map(|i| spawn_put(&store, text(i % 2, 1000 + i % 2 * 2_999_000))));
    queue_all().await;
    assert_eq!(store.status().queued_bytes, queued);
    // One that holds a new text too takes room for that one only, and waits for all.
    let texts = vec![text(1, 3_000_000), text(2, 500), text(0, 1000)];
    let other = store.clone();
    let both = tokio::spawn(async move { other.put(texts, LONG).await });
    queue_all().await;
    assert_eq!(store.status().queued_bytes, queued + record_bytes(&text(2, 500)));
    assert!(!both.is_finished() && waiting.iter().all(|put| !put.is_finished()));
    drop(held);
    for put in waiting.into_iter().chain([both]) {
        assert_eq!(put.await.expect("no panic"), Ok(()));
    }
    assert_eq!((store.status().texts, store.status().queued_bytes), (3, 0));
    assert_eq!(get(&store, 1).await, Some(text(1, 3_000_000)));
    store.drop(&name(2));
    put(&store, 2, 500).await;
    assert_eq!(get(&store, 2).await, Some(text(2, 500)), "one that was dropped is put anew");
}

#[tokio::test]
async fn put_twice_fails_with_first() {
    // Guards against a repeated put that is answered although the first one's sync failed.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    let (held, first) = put_held(&folder, &store, 1).await;
    let second = spawn_put(&store, text(1, 1000));
    queue_all().await;
    folder.faults.fail_syncs();
    drop(held);
    assert_eq!(first.await.expect("no panic"), Err(PutError::Failed));
    assert_eq!(second.await.expect("no panic"), Err(PutError::Failed));
}

#[tokio::test]
async fn put_fails_after_failed_sync() {
    // Guards against texts acknowledged on a disk that has lost some, now or after a restart.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    put(&store, 1, 1000).await;
    folder.faults.fail_syncs();
    assert_eq!(store.put(vec![text(2, 1000)], LONG).await, Err(PutError::Failed));
    assert_eq!(store.put(vec![text(3, 1000)], LONG).await, Err(PutError::Failed));
    assert_eq!(store.put(vec![text(1, 1000)], LONG).await, Err(PutError::Failed));
    assert_eq!(get(&store, 1).await, Some(text(1, 1000)), "reads go on");
    assert_eq!(get(&store, 2).await, None);
    assert!(store.status().failed);
    drop(store);
    assert_eq!(folder.critical.load(Ordering::Relaxed), 1, "it is logged once");
    let healed = Folder { faults: Faults::default(), ..folder };
    let store = healed.open();
    assert_eq!(get(&store, 1).await, Some(text(1, 1000)));
    assert_eq!(get(&store, 2).await, None, "what no sync made stable isn't found again");
    put(&store, 2, 1000).await;
}

#[tokio::test]
async fn put_fails_after_short_write() {
    // Guards against a device without space that leaves half a record before later ones.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    put(&store, 1, 1000).await;
    folder.faults.fill_after(300);
    assert_eq!(store.put(vec![text(2, 1000)], LONG).await, Err(PutError::Failed));
    assert_eq!(store.put(vec![text(3, 10)], LONG).await, Err(PutError::Failed));
    assert_eq!(get(&store, 1).await, Some(text(1, 1000)));
    drop(store);
    let healed = Folder { faults: Faults::default(), ..folder };
    let store = healed.open();
    assert_eq!((store.status().texts, store.status().damaged), (1, 0));
}

/// Kinds of a disk's refusal.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    Sync,
    Folder,
    Room,
}

#[tokio::test]
async fn put_succeeds_after_recovery() {
    // Guards against a store that takes no text until a restart because its disk failed for a moment.
    for refusal in [Refusal::Sync, Refusal::Folder, Refusal::Room] {
        let folder = Folder::new(SMALL);
        let store = folder.open();
        let length = SMALL_SEGMENT as usize - 100;
        put(&store, 1, length).await;
        for round in 1..4 {
            match refusal {
                Refusal::Sync => folder.faults.fail_syncs(),
                Refusal::Folder => folder.faults.fail_folders(),
                Refusal::Room => folder.faults.fill_after(300),
            }
            let refused = store.put(vec![text(2, length)], LONG).await;
            assert_eq!(refused, Err(PutError::Failed), "{refusal:?}");
            until(&store, |status| status.failed).await;
            let waiting = store.put(vec![text(3, 10)], LONG).now_or_never();
            assert_eq!(waiting, Some(Err(PutError::Failed)), "it is refused at once");
            // Several attempts fail and leave nothing behind.
            tokio::time::sleep(10 * folder.retry).await;
            assert!(store.status().failed);
            folder.faults.clear();
            until(&store, |status| !status.failed).await;
            assert_eq!(get(&store, 2).await, None, "what wasn't synced doesn't come back");
            put(&store, 3 + round, 100).await;
            assert_eq!(folder.critical.load(Ordering::Relaxed), round, "each is logged once");
            assert_eq!(folder.warnings.load(Ordering::Relaxed), round, "each is logged once");
        }
        assert_eq!(folder.file_bytes(), store.status().disk_bytes, "{refusal:?}");
        drop(store);
        assert!(folder.files().iter().all(|file| fs::metadata(file).is_ok_and(|d| d.len() > 0)));
        let store = folder.open();
        assert_eq!((store.status().texts, store.status().damaged), (4, 0), "{refusal:?}");
        assert_eq!(get(&store, 1).await, Some(text(1, length)));
        assert_eq!(get(&store, 6).await, Some(text(6, 100)));
    }
}

#[tokio::test]
async fn put_after_recovery_goes_to_new_file() {
    // Texts were appended to a file whose content was unknown after a failed sync.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    put(&store, 1, 1000).await;
    let old = folder.files();
    let bytes = folder.file_bytes();
    folder.faults.fail_syncs();
    assert_eq!(store.put(vec![text(2, 1000)], LONG).await, Err(PutError::Failed));
    until(&store, |status| status.failed).await;
    folder.faults.clear();
    until(&store, |status| !status.failed).await;
    put(&store, 2, 1000).await;
    assert_eq!((old.len(), folder.files().len()), (1, 2));
    assert_eq!(fs::metadata(&old[0]).expect("a file").len(), bytes);
}

#[tokio::test]
async fn drop_frees_files() {
    let folder = Folder::new(SMALL);
    let store = folder.open();
    for i in 0..80 {
        put(&store, i, 10_000).await;
    }
    assert!(folder.files().len() >= 6);
    (0..80).for_each(|i| store.drop(&name(i)));
    let status = until(&store, |status| status.disk_bytes == 0).await;
    assert_eq!((status.texts, status.live_bytes), (0, 0));
    assert_eq!(folder.files(), Vec::<PathBuf>::new());
    assert_eq!(get(&store, 0).await, None);
    put(&store, 0, 10_000).await;
    assert_eq!(get(&store, 0).await, Some(text(0, 10_000)));
}

#[tokio::test]
async fn drop_compacts_and_keeps_live_ones() {
    // Guards against one long-lived text in each file that keeps them all, or is lost with its file.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    for i in 0..80 {
        put(&store, i, 10_000).await;
    }
    let kept = |i: usize| i.is_multiple_of(12);
    (0..80).filter(|i| !kept(*i)).for_each(|i| store.drop(&name(i)));
    until(&store, |status| status.disk_bytes <= 2 * SMALL_SEGMENT).await;
    for i in 0..80 {
        assert_eq!(get(&store, i).await, kept(i).then(|| text(i, 10_000)), "text {i}");
    }
    drop(store);
    assert!(folder.file_bytes() <= 2 * SMALL_SEGMENT);
    let store = folder.open();
    for i in (0..80).filter(|i| kept(*i)) {
        assert_eq!(get(&store, i).await, Some(text(i, 10_000)), "text {i}");
    }
    assert_eq!(store.status().damaged, 0);
}

#[tokio::test]
async fn drop_compacts_on_full_disk() {
    // Guards against a full disk whose space never comes back, for moving live texts needs room too.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    let mut stored = 0;
    while store.put(vec![text(stored, 5_000)], LONG).await.is_ok() {
        stored += 1;
    }
    for round in 0..5 {
        let kept = |i: usize| i.is_multiple_of(6);
        let begun = round * stored;
        (begun..begun + stored).filter(|i| !kept(*i)).for_each(|i| store.drop(&name(i)));
        until(&store, |status| status.disk_bytes <= SMALL / 2).await;
        assert!(folder.file_bytes() <= SMALL);
        (begun..begun + stored).filter(|i| kept(*i)).for_each(|i| store.drop(&name(i)));
        until(&store, |status| status.texts == 0 && status.disk_bytes == 0).await;
        let next = begun + stored;
        for i in next..next + stored {
            put(&store, i, 5_000).await;
            assert!(folder.file_bytes() <= SMALL);
        }
    }
}

#[tokio::test]
async fn drop_while_moved() {
    // Guards against a text that comes back because it was dropped while its move was being synced.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    for i in 0..30 {
        put(&store, i, 10_000).await;
    }
    let held = folder.hold();
    (1..30).for_each(|i| store.drop(&name(i)));
    // Only an unsynced move makes the files longer than what the store has noted.
    until(&store, |status| folder.file_bytes() > status.disk_bytes).await;
    assert_eq!(get(&store, 0).await, Some(text(0, 10_000)));
    store.drop(&name(0));
    drop(held);
    until(&store, |status| status.disk_bytes == 0).await;
    assert_eq!(get(&store, 0).await, None);
    assert_eq!(folder.files(), Vec::<PathBuf>::new());
}

#[tokio::test]
async fn drop_compacts_past_damaged_text() {
    // Guards against a damaged record that keeps its file from being compacted for ever.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    for i in 0..30 {
        put(&store, i, 10_000).await;
    }
    flip(&folder.files()[0], 500);
    (2..30).for_each(|i| store.drop(&name(i)));
    until(&store, |status| status.damaged == 1 && folder.files().len() == 1 && status.texts == 1)
        .await;
    assert_eq!(get(&store, 0).await, None);
    assert_eq!(get(&store, 1).await, Some(text(1, 10_000)));
}

#[tokio::test]
async fn drop_may_be_undone_by_restart() {
    // Guards against a dropped text that comes back after a restart and then stays for ever.
    let mut folder = Folder::new(ROOMY);
    folder.found = Duration::ZERO;
    let store = folder.open();
    put(&store, 1, 1000).await;
    put(&store, 2, 1000).await;
    store.drop(&name(1));
    drop(store);
    let store = folder.open();
    let mut expired = store.expired(10);
    expired.sort();
    assert_eq!(expired, [name(1), name(2)]);
    store.drop(&name(1));
    store.extend(&name(2), LONG);
    assert_eq!(get(&store, 1).await, None);
    assert_eq!(get(&store, 2).await, Some(text(2, 1000)));
}

#[tokio::test]
async fn due_after_retention() {
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    put(&store, 0, 100).await;
    for i in 1..4 {
        store.put(vec![text(i, 100)], Duration::ZERO).await.expect("the text is put");
    }
    let first = store.expired(2);
    assert_eq!(first, [name(1), name(2)], "the longest due comes first");
    assert_eq!(store.expired(10), [name(3)], "those returned come again only after the pause");
    assert_eq!(store.expired(10), Vec::<String>::new());
    store.extend(&name(1), Duration::ZERO);
    assert_eq!(store.expired(10), [name(1)], "an extended one is due at its new time");
    store.extend(&name(0), Duration::ZERO);
    store.drop(&name(0));
    store.extend(&name(0), Duration::ZERO);
    assert_eq!(store.expired(10), Vec::<String>::new(), "a dropped one is not due");
}

#[tokio::test]
async fn due_again_after_pause() {
    // A text was never checked again after one query got no answer.
    let mut folder = Folder::new(ROOMY);
    folder.pause = Duration::ZERO;
    let store = folder.open();
    store.put(vec![text(1, 100)], Duration::ZERO).await.expect("the text is put");
    assert_eq!(store.expired(10), [name(1)]);
    assert_eq!(store.expired(10), [name(1)]);
    store.extend(&name(1), LONG);
    assert_eq!(store.expired(10), Vec::<String>::new());
}

#[tokio::test]
async fn due_waits_for_found_texts() {
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    store.put(vec![text(1, 100)], Duration::ZERO).await.expect("the text is put");
    drop(store);
    let store = folder.open();
    assert_eq!(store.expired(10), Vec::<String>::new(), "a found text is held for a while");
    assert_eq!(get(&store, 1).await, Some(text(1, 100)));
}

#[tokio::test]
async fn open_reads_many_segments() {
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    for batch in 0..20 {
        let texts = (0..50).map(|i| text(batch * 50 + i, 18_000)).collect();
        store.put(texts, LONG).await.expect("the texts are put");
    }
    drop(store);
    assert!(folder.files().len() > 2);
    let store = folder.open();
    assert_eq!(store.status().texts, 1000);
    let turns: Vec<_> = (0..1000).step_by(37).map(name).collect();
    let texts = store.get(&turns).await;
    let expected: Vec<_> = (0..1000).step_by(37).map(|i| text(i, 18_000)).collect();
    assert!(texts == expected, "all are read, in the order they were asked for");
}

#[tokio::test]
async fn open_does_not_wait_for_scan() {
    // Guards against a restarted store that counts as lost, because it reads all its texts before it votes.
    let mut folder = Folder::new(SMALL);
    folder.patience = Duration::ZERO;
    let store = folder.open();
    for i in 0..20 {
        put(&store, i, 10_000).await;
    }
    drop(store);
    let (files, bytes) = (folder.files().len(), folder.file_bytes());
    let held = folder.hold_scans();
    let store = folder.open_at_once();
    let status = store.status();
    assert!(status.scanning);
    assert_eq!(
        (status.texts, status.disk_bytes),
        (0, bytes),
        "unread files count against the limit"
    );
    // It takes texts and gives them, and what is not found yet is absent.
    put(&store, 20, 10_000).await;
    put(&store, 7, 10_000).await;
    assert_eq!(get(&store, 20).await, Some(text(20, 10_000)));
    assert_eq!(get(&store, 1).await, None);
    assert_eq!(folder.files().len(), files + 1, "no file goes before it was read");
    drop(held);
    until(&store, |status| !status.scanning).await;
    for i in 0..21 {
        assert_eq!(get(&store, i).await, Some(text(i, 10_000)));
    }
    let record = record_bytes(&text(0, 10_000));
    let status = store.status();
    assert_eq!((status.texts, status.damaged), (21, 0));
    assert_eq!((status.live_bytes, status.disk_bytes), (21 * record, 22 * record));
}

#[tokio::test]
async fn get_waits_for_scan() {
    // Turns couldn't be continued right after all stores had restarted.
    let folder = Folder::new(ROOMY);
    let store = folder.open();
    put(&store, 1, 1000).await;
    drop(store);
    let held = folder.hold_scans();
    let store = folder.open_at_once();
    let spawn_get = |i| {
        let reader = store.clone();
        tokio::spawn(async move { get(&reader, i).await })
    };
    let (found, absent) = (spawn_get(1), spawn_get(2));
    queue_all().await;
    assert!(!found.is_finished() && !absent.is_finished());
    drop(held);
    assert_eq!(found.await.expect("no panic"), Some(text(1, 1000)));
    assert_eq!(absent.await.expect("no panic"), None, "nobody waits once the scan is over");
}

#[tokio::test]
async fn open_finds_newer_of_two_records() {
    // An old record that was put again during a scan kept a removable file.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    put(&store, 1, 1000).await;
    drop(store);
    let old = folder.files();
    let held = folder.hold_scans();
    let store = folder.open_at_once();
    put(&store, 1, 1000).await;
    drop(held);
    until(&store, |status| !status.scanning).await;
    drop(store);
    let store = folder.open();
    until(&store, |status| status.disk_bytes == record_bytes(&text(1, 1000))).await;
    assert_eq!(get(&store, 1).await, Some(text(1, 1000)));
    assert!(!folder.files().contains(&old[0]));
}

#[tokio::test]
async fn due_covers_found_texts() {
    // A text found by a scan was never checked, and stayed for ever.
    let mut folder = Folder::new(ROOMY);
    folder.found = Duration::ZERO;
    let store = folder.open();
    put(&store, 1, 100).await;
    drop(store);
    let held = folder.hold_scans();
    let store = folder.open_at_once();
    assert_eq!(store.expired(10), Vec::<String>::new());
    drop(held);
    until(&store, |status| !status.scanning).await;
    assert_eq!(store.expired(10), [name(1)]);
}

#[tokio::test]
async fn open_again_never_appends_to_old_file() {
    // Guards against two stores of one process, old and new, that write to one file.
    let folder = Folder::new(ROOMY);
    let old = folder.open();
    put(&old, 1, 1000).await;
    let new = folder.open();
    put(&old, 2, 1000).await;
    put(&new, 3, 1000).await;
    put(&old, 4, 1000).await;
    assert_eq!(get(&new, 1).await, Some(text(1, 1000)));
    assert_eq!(get(&new, 3).await, Some(text(3, 1000)));
    drop((old, new));
    let store = folder.open();
    for i in 1..5 {
        assert_eq!(get(&store, i).await, Some(text(i, 1000)));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn get_while_moved() {
    // Guards against a text that can't be read for a moment, because its file goes while it is moved.
    let folder = Folder::new(SMALL);
    let store = folder.open();
    let kept: Vec<_> = (0..4).map(name).collect();
    store.put((0..4).map(|i| text(i, 3000)).collect(), LONG).await.expect("the texts are put");
    let reader = store.clone();
    let reading = tokio::spawn(async move {
        let mut first = reader.status().syncs;
        let mut rounds = 0;
        while first < 600 {
            let texts = reader.get(&kept).await;
            assert_eq!(texts, (0..4).map(|i| text(i, 3000)).collect::<Vec<_>>());
            first = reader.status().syncs;
            rounds += 1;
        }
        rounds
    });
    let mut i = 4;
    while !reading.is_finished() {
        put(&store, i, 30_000).await;
        store.drop(&name(i));
        i += 1;
    }
    assert!(reading.await.expect("every text was read in every round") > 0);
    assert!(store.status().disk_bytes <= SMALL);
}

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

#[test]
fn open_after_any_damage() {
    // Guards against damage anywhere in a file that hides, or changes, a text which it doesn't touch.
    let length = |i: usize| 50 + i * 37;
    let whole = Folder::new(ROOMY);
    let runtime = runtime();
    let store = whole.open();
    let texts: Vec<_> = (0..12).map(|i| text(i, length(i))).collect();
    runtime.block_on(store.put(texts.clone(), LONG)).expect("the texts are put");
    drop(store);
    let bytes = fs::read(&whole.files()[0]).expect("a file");
    let strategy = (0..bytes.len(), 1..400usize, any::<bool>(), any::<u8>());
    let result = runner(300, 7).run(&strategy, |(at, count, cut, byte)| {
        let folder = Folder::new(ROOMY);
        let end = if cut { bytes.len() } else { (at + count).min(bytes.len()) };
        let mut damaged = bytes.clone();
        match cut {
            true => damaged.truncate(at),
            false => damaged[at..end].iter_mut().for_each(|old| *old ^= byte | 1),
        }
        fs::write(folder.root.path().join("texts-0000000001"), &damaged).expect("written");
        let store = folder.open();
        let mut start = 0;
        for (i, text) in texts.iter().enumerate() {
            let next = start + record_bytes(text) as usize;
            let touched = at < next && start < end;
            let expected = (!touched).then(|| text.clone());
            prop_assert_eq!(runtime.block_on(get(&store, i)), expected, "text {}", i);
            start = next;
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Put(usize),
    Drop(usize),
    Extend(usize),
    Reopen,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => (0..60usize).prop_map(Step::Put),
        8 => (0..60usize).prop_map(Step::Drop),
        2 => (0..60usize).prop_map(Step::Extend),
        1 => Just(Step::Reopen),
    ]
}

#[test]
fn get_after_any_steps() {
    // A text was lost, or was still there after it was dropped, after some sequence of operations.
    let runtime = runtime();
    let steps = proptest::collection::vec(step(), 1..250);
    let result = runner(40, 8).run(&steps, |steps| {
        let folder = Folder::new(SMALL);
        let mut store = folder.open();
        let mut live = BTreeSet::new();
        // Texts that a restart may have brought back.
        let mut maybe = BTreeSet::new();
        let length = |i: usize| 200 + i * 211;
        for step in steps {
            match step {
                Step::Put(i) => {
                    runtime.block_on(put(&store, i, length(i)));
                    live.insert(i);
                }
                Step::Drop(i) => {
                    store.drop(&name(i));
                    live.remove(&i);
                    maybe.remove(&i);
                }
                Step::Extend(i) => store.extend(&name(i), Duration::ZERO),
                Step::Reopen => {
                    drop(store);
                    store = folder.open();
                    maybe = (0..60).filter(|i| !live.contains(i)).collect();
                }
            }
            prop_assert!(folder.file_bytes() <= SMALL);
        }
        for i in 0..60 {
            match runtime.block_on(get(&store, i)) {
                Some(found) => {
                    prop_assert!(live.contains(&i) || maybe.contains(&i), "text {} is back", i);
                    prop_assert_eq!(found, text(i, length(i)));
                }
                None => prop_assert!(!live.contains(&i), "text {} is lost", i),
            }
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
