//! `gypsumglade key`: operators' signing keys.

use std::fmt;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::{Path, PathBuf};

use anyhow::Context as _;
use gypsumglade_core::bundle::KeyPair;
use gypsumglade_core::prelude::*;

use super::{Failure, Output};

/// File mode of a secret: only the owner may read and write it.
const PRIVATE_MODE: u32 = 0o600;

#[derive(Debug, clap::Subcommand)]
pub(super) enum KeyVerb {
    /// Create a private key, and print the public key for `operators.keys` of the settings.
    New {
        /// File for the private key, which must not exist yet.
        file: PathBuf,
    },
    /// Print the public key of a private key.
    Show {
        /// File with the private key.
        file: PathBuf,
    },
}

#[derive(Serialize)]
struct KeyReport {
    file: PathBuf,
    public: CompactString,
}

impl fmt::Display for KeyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "private key in {}; keep it secret", self.file.display())?;
        write!(f, "public key for `operators.keys`: {}", self.public)
    }
}

pub(super) fn run(verb: KeyVerb, output: Output) -> Result<(), Failure> {
    let file = match verb {
        KeyVerb::New { file } => {
            create(&file)?;
            file
        }
        KeyVerb::Show { file } => file,
    };
    let public = read(&file)?.public().to_compact_string();
    output.print(&KeyReport { file, public })
}

/// Writes a new random private key to a new file.
pub(super) fn create(file: &Path) -> anyhow::Result<()> {
    write_secret(file, &hex::encode(rand::random::<[u8; 32]>()))
}

/// Writes a line with a secret to a new file that only its owner can read.
pub(super) fn write_secret(path: &Path, line: &str) -> anyhow::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(PRIVATE_MODE)
        .open(path)
        .with_context(|| {
            format!("can't create {}; choose a file that does not exist", path.display())
        })?;
    writeln!(file, "{line}")?;
    file.sync_all()?;
    Ok(())
}

/// Reads a private key that `key new` wrote.
pub(super) fn read(path: &Path) -> anyhow::Result<KeyPair> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("can't read the key file {}", path.display()))?;
    let seed = hex::decode(text.trim()).ok().and_then(|bytes| bytes.try_into().ok());
    let advice = "create one with `gypsumglade key new`";
    let seed = seed.with_context(|| {
        format!("{} is not a private key of 64 hexadecimal digits; {advice}", path.display())
    })?;
    Ok(KeyPair::from_seed(seed))
}
