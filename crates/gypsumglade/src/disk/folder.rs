//! Names, format version and lock of a data folder.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use gypsumglade_core::prelude::*;

/// Version of the folder's format; another one is refused.
const FORMAT: u32 = 1;
const FORMAT_FILE: &str = "FORMAT";
const LOCK_FILE: &str = "LOCK";

/// What the format file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Format {
    /// Version of the format.
    format: u32,
    /// The VM whose folder it is.
    vm: VmId,
}

/// Locks the folder for this process. The lock goes when the file is closed, also by a crash.
pub(super) fn lock(folder: &Path) -> anyhow::Result<File> {
    let path = folder.join(LOCK_FILE);
    let file = File::options().create(true).truncate(false).write(true).open(&path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            bail!("another process uses it; stop that process first, or set another folder")
        }
        Err(TryLockError::Error(error)) => Err(error).context("its lock file can't be locked"),
    }
}

/// Tells whether a process holds the folder.
pub(super) fn is_locked(folder: &Path) -> bool {
    let Ok(file) = File::open(folder.join(LOCK_FILE)) else {
        return false;
    };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

/// Checks that the folder is of this format and this VM; marks a new one so.
///
/// A replica that starts on another VM's folder would vote in that VM's place a second time.
pub(super) fn check_format(folder: &Path, vm: VmId) -> anyhow::Result<()> {
    let Some(found) = read_format(folder)? else {
        if !segments(folder)?.is_empty() {
            bail!("it holds a log and no {FORMAT_FILE} file; restore that file from a copy");
        }
        return write_format(folder, Format { format: FORMAT, vm });
    };
    if found.vm != vm {
        let owner = found.vm;
        bail!("it belongs to {owner} and this is {vm}; check the settings' folder and VM number");
    }
    Ok(())
}

/// Returns the VM whose folder it is; nothing for a folder that was never used.
///
/// # Errors
/// Fails on a folder whose format file is damaged or of another version.
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
        .with_context(|| format!("its {FORMAT_FILE} file is damaged; restore it from a copy"))?;
    if found.format != FORMAT {
        let format = found.format;
        bail!("its format is {format} and this program reads {FORMAT}; use the matching release");
    }
    Ok(Some(found))
}

fn write_format(folder: &Path, format: Format) -> anyhow::Result<()> {
    let text = serde_yaml_ng::to_string(&format)?;
    write_atomically(folder, FORMAT_FILE, &[text.as_bytes()])?;
    Ok(())
}

/// Writes a file so that after a crash it is there whole or not at all.
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

/// Makes new, renamed and removed names stable.
pub(super) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

pub(super) fn segment_path(folder: &Path, segment: u32) -> PathBuf {
    folder.join(format!("log-{segment:010}"))
}

/// Returns the numbers of the segment files, in order.
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
