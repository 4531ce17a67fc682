//! Opens the folder, and starts the threads.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::{Arc, mpsc};
use std::thread;

use anyhow::Context;

use super::index::Index;
use super::reader::Reader;
use super::scanner::Scanner;
use super::segment;
use super::shared::Shared;
use super::writer::Writer;
use super::{Handle, TextOptions};
use crate::clock::Clock;
use crate::disk::Faults;

pub(super) fn open(folder: &Path, options: TextOptions) -> anyhow::Result<Handle> {
    fs::create_dir_all(folder)
        .with_context(|| format!("the folder {} can't be made", folder.display()))?;
    sync_parent(folder, &options.faults)
        .with_context(|| format!("the name of {} can't be synced", folder.display()))?;
    options.faults.sync_folder(folder)?;
    let lengths = segment::lengths(folder)?;
    // From the newest on: turns that go on soonest are there.
    let segments: Vec<u32> = lengths.keys().rev().copied().collect();
    let shared = Arc::new(Shared::new(options, Clock::start(), Index::new(lengths)));
    start(folder, shared, segments).context("the threads for texts can't be started")
}

/// Makes the folder's own name stable: a power loss would else take it with all that was acknowledged.
///
/// It is done for a folder that was there too. Whoever made it may have ended before the sync.
fn sync_parent(folder: &Path, faults: &Faults) -> io::Result<()> {
    match folder.canonicalize()?.parent() {
        Some(parent) => faults.sync_folder(parent),
        None => Ok(()),
    }
}

fn start(folder: &Path, shared: Arc<Shared>, segments: Vec<u32>) -> anyhow::Result<Handle> {
    let (queries, receiver) = mpsc::channel();
    let mut handle =
        Handle { shared: Arc::clone(&shared), queries: Some(queries), threads: Vec::new() };
    let next = segments.first().map_or(1, |newest| newest + 1);
    let scanner = Scanner::new(Arc::clone(&shared), folder.to_path_buf(), segments);
    let reader = Reader { shared: Arc::clone(&shared), folder: folder.to_path_buf() };
    let writer = Writer::new(shared, folder.to_path_buf(), next);
    let named = |name: &str| thread::Builder::new().name(name.to_owned());
    handle.threads.push(named("texts-scan").spawn(move || scanner.run())?);
    handle.threads.push(named("texts-read").spawn(move || reader.run(&receiver))?);
    handle.threads.push(named("texts-write").spawn(move || writer.run())?);
    Ok(handle)
}
