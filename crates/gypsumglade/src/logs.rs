//! Structured logs as JSON lines.
//!
//! A separate thread writes the lines, so that a slow disk doesn't delay calls. When its queue is
//! full, lines are dropped and their number is logged. docs/OPERATING.md lists the fields.

use std::fs::OpenOptions;
use std::io::{self, Write};

use anyhow::Context as _;
use slog::{Drain as _, Logger, o};

use crate::settings::{Level, LogSettings};

/// Log field: the program, within its organisation.
pub const PROGRAM: &str = "program";
/// Log field: the turn of the program.
pub const TURN: &str = "turn";
/// Log field: the dispatch of a call to an endpoint.
pub const DISPATCH: &str = "dispatch";
/// Log field: the endpoint's instance name.
pub const ENDPOINT: &str = "endpoint";
/// Log field: the VM that wrote the line.
pub const VM: &str = "vm";
/// Log field: the bundle revision that the process used.
pub const REVISION: &str = "revision";
/// Log field: the daemon that wrote the line.
pub const ROLE: &str = "role";

/// File name that means standard output.
const STANDARD_OUTPUT: &str = "-";
/// Capacity of the writing thread's queue, in lines.
const BUFFERED_LINES: usize = 4_096;

/// Owns the writing thread; dropping it writes the queued lines.
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// Creates the logger of a process; each line has the fields `vm` and `role`.
///
/// # Errors
///
/// Fails if the log file can't be opened for appending.
pub fn start(
    settings: &LogSettings,
    vm: u32,
    role: &'static str,
) -> anyhow::Result<(Logger, LogGuard)> {
    let target: Box<dyn Write + Send> = match &settings.file {
        None => Box::new(io::stderr()),
        Some(path) if path == STANDARD_OUTPUT => Box::new(io::stdout()),
        Some(path) => {
            let file = OpenOptions::new().create(true).append(true).open(path);
            let advice = "check `log.file` and the folder's permissions";
            Box::new(file.with_context(|| format!("can't append to {}; {advice}", path.display()))?)
        }
    };
    let json = slog_json::Json::default(target);
    let drain = std::sync::Mutex::new(json).ignore_res();
    let (writer, guard) =
        slog_async::Async::new(drain).chan_size(BUFFERED_LINES).build_with_guard();
    let filtered = slog::LevelFilter::new(writer, level(settings.level)).ignore_res();
    let logger = Logger::root(filtered, o!(VM => vm, ROLE => role));
    Ok((logger, LogGuard { _guard: guard }))
}

fn level(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
        Level::Trace => slog::Level::Trace,
    }
}
