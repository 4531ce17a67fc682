//! The thread that reads texts, so that a slow disk doesn't block the callers' runtime.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, mpsc};

use gypsumglade_core::wire::turn::Text;
use tokio::sync::oneshot;

use super::segment;
use super::shared::Shared;

/// Attempts to read a text whose record is moved by the writer in the meantime.
const MAX_LOOKUPS: usize = 3;

/// A request for the texts of some turns.
#[derive(Debug)]
pub(super) struct Query {
    pub(super) turns: Vec<String>,
    pub(super) reply: oneshot::Sender<Vec<Text>>,
}

/// Answers queries from the segment files.
pub(super) struct Reader {
    pub(super) shared: Arc<Shared>,
    pub(super) folder: PathBuf,
}

/// Files opened for one query. Open files of deleted segments would still occupy disk space.
type Files = BTreeMap<u32, File>;

impl Reader {
    /// Answers queries until the store is dropped.
    pub(super) fn run(&self, queries: &mpsc::Receiver<Query>) {
        while let Ok(query) = queries.recv() {
            if query.reply.is_closed() {
                continue;
            }
            let mut files = Files::new();
            let texts = query.turns.iter().filter_map(|turn| self.read(&mut files, turn));
            // The caller may have stopped waiting.
            let _ = query.reply.send(texts.collect());
        }
    }

    fn read(&self, files: &mut Files, turn: &str) -> Option<Text> {
        for _ in 0..MAX_LOOKUPS {
            let location = self.shared.location(turn)?;
            match self.open(files, location.segment).and_then(|f| segment::read(f, location, turn))
            {
                Ok(Some(text)) => return Some(text),
                Ok(None) => self.shared.drop_damaged(turn, location),
                Err(error) if self.shared.location(turn) == Some(location) => {
                    slog::error!(self.shared.options.log, "failed to read a text from disk";
                        "turn" => turn, "segment" => location.segment, "error" => %error);
                    return None;
                }
                // The record was moved or dropped in the meantime.
                Err(_) => {}
            }
        }
        None
    }

    fn open<'a>(&self, files: &'a mut Files, segment: u32) -> io::Result<&'a File> {
        use std::collections::btree_map::Entry;
        match files.entry(segment) {
            Entry::Occupied(open) => Ok(open.into_mut()),
            Entry::Vacant(free) => {
                Ok(free.insert(File::open(segment::path(&self.folder, segment))?))
            }
        }
    }
}
