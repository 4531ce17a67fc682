//! `gypsumglade demo`: runs a program through the whole system and checks the outcome.

use std::path::PathBuf;

use anyhow::Context as _;
use indicatif::ProgressBar;

use super::failure::FailureKind;
use super::{Failure, Output};
use crate::demo;
use crate::logs;
use crate::settings::LogSettings;

/// Interval between two frames of the spinner.
const SPINNER_TICK: std::time::Duration = std::time::Duration::from_millis(100);

#[derive(Debug, clap::Args)]
pub(super) struct DemoArgs {
    /// Folder for state and log; by default a temporary folder, which is removed after a success.
    #[arg(long, value_name = "FOLDER")]
    folder: Option<PathBuf>,
}

pub(super) fn run(args: DemoArgs, output: Output) -> Result<(), Failure> {
    let keep_folder = args.folder.is_some();
    let temporary =
        || std::env::temp_dir().join(format!("gypsumglade-demo-{}", std::process::id()));
    let folder = args.folder.unwrap_or_else(temporary);
    std::fs::create_dir_all(&folder).with_context(|| {
        format!("can't create {}; choose another with --folder", folder.display())
    })?;
    let settings = LogSettings { file: Some(folder.join("demo.jsonl")), ..LogSettings::default() };
    let (log, guard) = logs::start(&settings, 1, "demo")?;
    let spinner = ProgressBar::new_spinner();
    spinner.enable_steady_tick(SPINNER_TICK);
    let progress = |step: &str| spinner.set_message(step.to_owned());
    let runtime = tokio::runtime::Runtime::new().context("can't start the runtime")?;
    let outcome = runtime.block_on(demo::run(&folder.join("state"), log, &progress));
    spinner.finish_and_clear();
    drop(guard);
    let location = format!("state and log are in {}", folder.display());
    let report = outcome.with_context(|| location.clone())?;
    output.print(&report)?;
    if !report.passed() {
        let advice = "report the failure, with the log and the folder";
        return Err(Failure::new(
            FailureKind::Failed,
            format!("a check of the demo failed; {location}"),
            advice,
        ));
    }
    if !keep_folder {
        // Leftovers in the temporary folder are harmless.
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(())
}
