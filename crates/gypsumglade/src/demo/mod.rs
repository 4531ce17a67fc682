//! The whole system in one process with stand-ins, running one real program.
//!
//! `gypsumglade demo` is what a newcomer runs first. It checks what it shows: a promise that does
//! not hold makes it fail.

pub mod caller;
mod report;
mod stage;
mod story;

use std::path::Path;

pub use report::{DemoReport, Promise};
pub use stage::Stage;

/// Runs the demo with its data in `folder`, telling each step to `progress`.
///
/// # Errors
/// Fails when a process of the system does not come up or an answer does not come; a promise that
/// does not hold is reported in the result.
pub async fn run(
    folder: &Path,
    log: slog::Logger,
    progress: &dyn Fn(&str),
) -> anyhow::Result<DemoReport> {
    progress("starting a store, an entry and stand-ins in this process");
    let stage = stage::Stage::start(folder, log).await?;
    let report = story::tell(&stage, progress).await;
    progress("stopping");
    stage.stop().await;
    report
}
