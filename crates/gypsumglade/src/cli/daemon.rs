//! The daemons: read settings, start a role, stop as planned at a signal.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context as _;
use clap::Parser;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{Failure, Output, exit};
use crate::directory::Directory;
use crate::embedded::Embedded;
use crate::entry::Entry;
use crate::logs;
use crate::settings::Settings;
use crate::store::Store;

/// What a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Roles {
    /// The data path.
    Entry,
    /// The durable role.
    Store,
    /// Both in one process.
    Both,
}

impl Roles {
    fn name(self) -> &'static str {
        match self {
            Roles::Entry => "entry",
            Roles::Store => "store",
            Roles::Both => "entry and store",
        }
    }
}

/// Command line of a daemon.
#[derive(Debug, Parser)]
#[command(version)]
struct DaemonArgs {
    /// Settings file; `gypsumglade settings check FILE` checks it.
    #[arg(long, value_name = "FILE", env = "GYPSUMGLADE_SETTINGS")]
    settings: PathBuf,
}

/// Runs a daemon of one role to its end.
///
/// The first SIGTERM or SIGINT is a planned stop, in which calls in flight finish; a second one
/// ends the process at once.
pub fn main(roles: Roles) -> ExitCode {
    let args = DaemonArgs::parse();
    let outcome = load(&args.settings).and_then(|settings| run(roles, settings));
    match outcome {
        Ok(()) => ExitCode::from(exit::DONE),
        Err(failure) => {
            failure.print(Output::Text);
            ExitCode::from(failure.code())
        }
    }
}

/// Loads settings, with the findings as the failure.
pub(super) fn load(file: &Path) -> Result<Settings, Failure> {
    Settings::load(file).map_err(Failure::of_settings)
}

/// Runs roles until a planned stop is over.
pub(super) fn run(roles: Roles, settings: Settings) -> Result<(), Failure> {
    let runtime = tokio::runtime::Runtime::new().context("can't start the runtime")?;
    // The guard writes the log's last lines, so it outlives the roles.
    let (log, _guard) = logs::start(&settings.log, settings.vm.id, roles.name())?;
    Ok(runtime.block_on(serve(roles, settings, log))?)
}

async fn serve(roles: Roles, settings: Settings, log: slog::Logger) -> anyhow::Result<()> {
    let mut signals = Signals::new()?;
    let directory = Arc::new(Directory::new(&settings));
    let running = match roles {
        Roles::Entry => Running::Entry(Entry::start(settings, directory, log).await?),
        Roles::Store => Running::Store(Store::start(settings, directory, log).await?),
        Roles::Both => Running::Both(Box::new(Embedded::start(settings, log).await?)),
    };
    running.tell();
    signals.next().await;
    tokio::select! {
        () = running.stop() => Ok(()),
        () = signals.next() => anyhow::bail!("stopped by a second signal; calls were cut off"),
    }
}

/// Roles under way.
enum Running {
    Entry(Entry),
    Store(Store),
    Both(Box<Embedded>),
}

impl Running {
    /// Prints the addresses in use as one line of JSON, for scripts that let the kernel choose.
    fn tell(&self) {
        let line = match self {
            Running::Entry(entry) => serde_json::to_string(&entry.addresses()),
            Running::Store(store) => serde_json::to_string(&store.addresses()),
            Running::Both(both) => serde_json::to_string(&both.entry.addresses()),
        };
        println!("{}", line.unwrap_or_default());
    }

    async fn stop(self) {
        match self {
            Running::Entry(entry) => entry.stop().await,
            Running::Store(store) => store.stop().await,
            Running::Both(both) => both.stop().await,
        }
    }
}

/// The signals that ask for a stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> anyhow::Result<Signals> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Signals { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
