//! Prints what a store of texts does on this machine's disk: puts a second, syncs, and memory.
//!
//! `text_puts FOLDER CALLERS SECONDS SYNC_MS` puts texts of 18 KB by so many callers, on a disk whose syncs
//! take so much longer, opens the folder again, and then notes many small texts to see what the index takes.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use gypsumglade::texts::{PutError, TextLimits, TextOptions, TextStore};
use gypsumglade_core::wire::turn::Text;

const TEXT_BYTES: usize = 18_000;
const DISK_BYTES: u64 = 512 * 1024 * 1024;
/// Texts of the index's measure.
const SMALL_TEXTS: usize = 100_000;
const SMALL_BATCH: usize = 500;
const RETENTION: Duration = Duration::from_secs(90);

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let mut words = std::env::args().skip(1);
    let mut word = || words.next().context("text_puts FOLDER CALLERS SECONDS SYNC_MS");
    let folder = PathBuf::from(word()?);
    let callers: usize = word()?.parse()?;
    let length = Duration::from_secs(word()?.parse()?);
    let sync = Duration::from_millis(word()?.parse()?);
    put(&folder.join("large"), callers, length, sync).await?;
    let begun = Instant::now();
    let before = memory("VmRSS")?;
    let store = open(&folder.join("large"))?;
    while store.status().scanning {
        std::thread::sleep(Duration::from_millis(1));
    }
    let (took, status) = (begun.elapsed(), store.status());
    println!("open took {took:?}, memory {before} kB before and {} kB after", memory("VmRSS")?);
    println!("{status:?}");
    println!("peak {} kB", memory("VmHWM")?);
    drop(store);
    index(&folder.join("small")).await
}

fn open(folder: &Path) -> anyhow::Result<TextStore> {
    TextStore::open(folder, TextLimits { disk_bytes: DISK_BYTES })
}

async fn put(
    folder: &Path,
    callers: usize,
    length: Duration,
    sync: Duration,
) -> anyhow::Result<()> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let options = TextOptions::new(TextLimits { disk_bytes: DISK_BYTES }, log);
    options.faults.slow_syncs(sync);
    let store = TextStore::open_with(folder, options)?;
    let part = Bytes::from(vec![7; TEXT_BYTES / 2]);
    let begun = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..callers {
        let (store, part) = (store.clone(), part.clone());
        tasks.spawn(async move {
            let mut waits = Vec::new();
            while begun.elapsed() < length {
                let turn = format!("turn-{caller:04}-{:08}", waits.len());
                let text = Text { turn, input: part.clone(), output: part.clone() };
                let sent = Instant::now();
                match store.put(vec![text], RETENTION).await {
                    Ok(()) => waits.push(sent.elapsed()),
                    Err(PutError::Full) => break,
                    Err(PutError::Failed) => panic!("the disk failed"),
                }
            }
            waits
        });
    }
    let mut waits = tasks.join_all().await.concat();
    let took = begun.elapsed();
    waits.sort_unstable();
    let rate = waits.len() as f64 / took.as_secs_f64();
    let at = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize];
    println!("{callers} callers: {rate:.0} puts/s, {} syncs in {took:?}", store.status().syncs);
    println!("wait: median {:?}, p99 {:?}, longest {:?}", at(0.5), at(0.99), at(1.0));
    println!("memory after {} kB, peak {} kB", memory("VmRSS")?, memory("VmHWM")?);
    Ok(())
}

async fn index(folder: &Path) -> anyhow::Result<()> {
    let store = open(folder)?;
    let before = memory("VmRSS")?;
    for first in (0..SMALL_TEXTS).step_by(SMALL_BATCH) {
        let texts = (first..first + SMALL_BATCH).map(|i| {
            let part = Bytes::from_static(b"text");
            Text { turn: format!("turn-{i:017}"), input: part.clone(), output: part }
        });
        store.put(texts.collect(), RETENTION).await?;
    }
    let grown = memory("VmRSS")?.saturating_sub(before) * 1024;
    println!("index: {} bytes a text, of {SMALL_TEXTS}", grown / SMALL_TEXTS as u64);
    Ok(())
}

/// Returns a line of this process's status, in kB.
fn memory(name: &str) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with(name)).context("no such line")?;
    Ok(line.split_whitespace().nth(1).context("no value")?.parse()?)
}
