//! `gypsumglade serve`: entry and store in one process.

use std::path::{Path, PathBuf};

use anyhow::Context as _;
use gypsumglade_core::prelude::*;

use super::daemon::{self, Roles};
use super::{Failure, key};
use crate::settings::{OperatorSettings, Secret, Settings};

/// Default folder for a process without a settings file.
const DEFAULT_FOLDER: &str = "data";

#[derive(Debug, clap::Args)]
pub(super) struct ServeArgs {
    /// Settings file; without one, the process is the whole deployment, on free loopback ports.
    #[arg(long, value_name = "FILE", env = "GYPSUMGLADE_SETTINGS")]
    settings: Option<PathBuf>,
    /// Folder for state, tokens and an operator's key if there is no settings file.
    #[arg(long, value_name = "FOLDER", default_value = DEFAULT_FOLDER, conflicts_with = "settings")]
    folder: PathBuf,
}

pub(super) fn run(args: ServeArgs) -> Result<(), Failure> {
    let settings = match &args.settings {
        Some(file) => daemon::load(file)?,
        None => embedded(&args.folder)?,
    };
    let roles = if settings.store.is_some() { Roles::Both } else { Roles::Entry };
    daemon::run(roles, settings)
}

/// Returns settings for a deployment of one process. The admin and endpoint tokens and the
/// operator's key are kept in `folder`, so that they survive a restart.
fn embedded(folder: &Path) -> anyhow::Result<Settings> {
    let advice = "choose a writable folder with --folder";
    std::fs::create_dir_all(folder)
        .with_context(|| format!("can't create {}; {advice}", folder.display()))?;
    let mut settings = Settings::embedded(&folder.join("state"));
    settings.tokens.admin =
        load_or_create_token(&folder.join("admin.token"), &settings.tokens.admin)?;
    settings.tokens.endpoints =
        load_or_create_token(&folder.join("endpoints.token"), &settings.tokens.endpoints)?;
    let file = folder.join("operator.key");
    if !file.exists() {
        key::create(&file)?;
    }
    let public = key::read(&file)?.public();
    let keys = vec![public.to_compact_string()];
    settings.operators = OperatorSettings { keys, threshold: 1 };
    Ok(settings)
}

/// Reads the token in `file`, which is created with `initial` if it does not exist.
fn load_or_create_token(file: &Path, initial: &Secret) -> anyhow::Result<Secret> {
    if !file.exists() {
        key::write_secret(file, initial.reveal())?;
    }
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("can't read the token file {}", file.display()))?;
    Ok(Secret::new(text.trim()))
}
