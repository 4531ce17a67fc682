//! Finds what an earlier process left, and starts the threads.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::sync::{Arc, mpsc};
use std::thread;

use anyhow::Context;
use gypsumglade_core::prelude::*;

use super::index::{Index, Place};
use super::reader::Reader;
use super::segment::{self, Scanned};
use super::shared::Shared;
use super::writer::Writer;
use super::{Handle, TextOptions};
use crate::clock::Clock;
use crate::disk::Faults;

pub(super) fn open(folder: &Path, options: TextOptions) -> anyhow::Result<Handle> {
    fs::create_dir_all(folder)
        .with_context(|| format!("the folder {} can't be made", folder.display()))?;
    sync_name(folder, &options.faults)
        .with_context(|| format!("the name of {} can't be synced", folder.display()))?;
    let clock = Clock::start();
    let due = clock.now() + options.found_retention;
    let mut index = Index::default();
    let mut damaged = 0;
    let numbers = segment::numbers(folder)?;
    for &number in &numbers {
        let scanned = recover(folder, number, numbers.last() == Some(&number), |turn, place| {
            index.insert(turn, place, due);
        })?;
        index.grow(number, scanned.whole);
        damaged += scanned.damaged;
        if scanned.damaged > 0 || scanned.whole < scanned.length {
            slog::warn!(options.log, "a file of texts was damaged or cut short";
                "segment" => number, "damaged" => scanned.damaged,
                "cut" => scanned.length - scanned.whole);
        }
    }
    options.faults.sync_folder(folder)?;
    let next = numbers.last().map_or(1, |last| last + 1);
    let shared = Arc::new(Shared::new(options, clock, index, damaged));
    start(folder, shared, next).context("the threads for texts can't be started")
}

/// Makes the folder's own name stable: a power loss would else take it with all that was acknowledged.
///
/// It is done for a folder that was there too. Whoever made it may have ended before the sync.
fn sync_name(folder: &Path, faults: &Faults) -> io::Result<()> {
    match folder.canonicalize()?.parent() {
        Some(parent) => faults.sync_folder(parent),
        None => Ok(()),
    }
}

/// Reads a segment, and cuts off a last write that was cut short.
///
/// The last one is synced too: a process that was killed leaves writes that nobody has synced, and a
/// text that is found is acknowledged at its next put without a sync.
fn recover(
    folder: &Path,
    number: u32,
    last: bool,
    mut found: impl FnMut(CompactString, Place),
) -> anyhow::Result<Scanned> {
    let path = segment::path(folder, number);
    let reading = || format!("{} can't be read or cut", path.display());
    let file = File::options().read(true).write(true).open(&path).with_context(reading)?;
    let scanned = segment::scan(&file, |turn, offset, length| {
        found(turn, Place { segment: number, offset: offset as u32, length: length as u32 });
    });
    let scanned = scanned.with_context(reading)?;
    if scanned.whole < scanned.length {
        file.set_len(scanned.whole).with_context(reading)?;
    }
    if last || scanned.whole < scanned.length {
        file.sync_all().with_context(reading)?;
    }
    Ok(scanned)
}

fn start(folder: &Path, shared: Arc<Shared>, next: u32) -> anyhow::Result<Handle> {
    let (queries, asked) = mpsc::channel();
    let mut handle =
        Handle { shared: Arc::clone(&shared), queries: Some(queries), threads: Vec::new() };
    let reader = Reader { shared: Arc::clone(&shared), folder: folder.to_path_buf() };
    let writer = Writer::new(shared, folder.to_path_buf(), next);
    let named = |name: &str| thread::Builder::new().name(name.to_owned());
    handle.threads.push(named("texts-read").spawn(move || reader.run(&asked))?);
    handle.threads.push(named("texts-write").spawn(move || writer.run())?);
    Ok(handle)
}
