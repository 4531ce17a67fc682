//! Opens the folder of a text store, and starts its threads.

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
        .with_context(|| format!("the folder {} can't be created", folder.display()))?;
    sync_parent(folder, &options.faults)
        .with_context(|| format!("the parent folder of {} can't be synced", folder.display()))?;
    options.faults.sync_folder(folder)?;
    let lengths = segment::lengths(folder)?;
    // Newest first: recent turns are the most likely to be continued.
    let segments: Vec<u32> = lengths.keys().rev().copied().collect();
    let shared = Arc::new(Shared::new(options, Clock::start(), Index::new(lengths)));
    start(folder, shared, segments).context("the threads of the text store can't be started")
}

/// Syncs the parent folder, so that a power loss doesn't remove the new folder with its texts.
///
/// Also done for an existing folder: the process that created it may have ended before the sync.
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
