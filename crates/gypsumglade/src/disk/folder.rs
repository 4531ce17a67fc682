//! File names, format version and lock of a data folder.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use gypsumglade_core::prelude::*;

/// Supported format version of a data folder. Others are refused.
const FORMAT: u32 = 1;
const FORMAT_FILE: &str = "FORMAT";
const LOCK_FILE: &str = "LOCK";

/// Content of the format file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Format {
    /// Version of the format.
    format: u32,
    /// The VM that owns the folder.
    vm: VmId,
}

/// Locks the folder for this process. The lock ends when the returned file is closed, also by a crash.
pub(super) fn lock(folder: &Path) -> anyhow::Result<File> {
    let path = folder.join(LOCK_FILE);
    let file = File::options().create(true).truncate(false).write(true).open(&path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            bail!("another process uses it; stop that process, or configure another folder")
        }
        Err(TryLockError::Error(error)) => Err(error).context("its lock file can't be locked"),
    }
}

/// Returns whether a process has locked the folder.
pub(super) fn is_locked(folder: &Path) -> bool {
    let Ok(file) = File::open(folder.join(LOCK_FILE)) else {
        return false;
    };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

/// Checks the format version and the owner of the folder, and writes them to a new folder.
///
/// A replica on the folder of another VM could vote a second time in the same term.
pub(super) fn check_format(folder: &Path, vm: VmId) -> anyhow::Result<()> {
    let Some(found) = read_format(folder)? else {
        if !segments(folder)?.is_empty() {
            bail!("it holds a log but no {FORMAT_FILE} file; restore that file from a backup");
        }
        return write_format(folder, Format { format: FORMAT, vm });
    };
    if found.vm != vm {
        let owner = found.vm;
        bail!(
            "it belongs to {owner} and this is {vm}; check the folder and the VM number in the settings"
        );
    }
    Ok(())
}

/// Returns the VM that owns the folder, or `None` if the folder was never used.
///
/// # Errors
/// Fails if the format file can't be read, is damaged or has another version.
pub fn owner(folder: &Path) -> anyhow::Result<Option<VmId>> {
    Ok(read_format(folder)?.map(|format| format.vm))
}

fn read_format(folder: &Path) -> anyhow::Result<Option<Format>> {
    let text = match fs::read_to_string(folder.join(FORMAT_FILE)) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).context("its FORMAT file can't be read"),
    };
    let found: Format = serde_yaml_ng::from_str(&text)
        .with_context(|| format!("its {FORMAT_FILE} file is damaged; restore it from a backup"))?;
    if found.format != FORMAT {
        let format = found.format;
        bail!("its format is {format}, but this release reads {FORMAT}; use a matching release");
    }
    Ok(Some(found))
}

fn write_format(folder: &Path, format: Format) -> anyhow::Result<()> {
    let text = serde_yaml_ng::to_string(&format)?;
    write_atomically(folder, FORMAT_FILE, &[text.as_bytes()])?;
    Ok(())
}

/// Writes and syncs a file atomically: after a crash it is complete or absent.
pub(super) fn write_atomically(folder: &Path, name: &str, parts: &[&[u8]]) -> io::Result<()> {
    let temporary = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&temporary)?;
    for part in parts {
        io::Write::write_all(&mut file, part)?;
    }
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    sync_folder(folder)
}

/// Syncs a folder, so that created, renamed and removed names survive a power loss.
pub(super) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

pub(super) fn segment_path(folder: &Path, segment: u32) -> PathBuf {
    folder.join(format!("log-{segment:010}"))
}

/// Returns the numbers of the segment files in ascending order.
pub(super) fn segments(folder: &Path) -> io::Result<Vec<u32>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix("log-"));
        numbers.extend(number.and_then(|number| number.parse::<u32>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}
