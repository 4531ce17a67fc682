//! Daemons: load the settings, start a role, and stop gracefully at a signal.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anyhow::Context as _;
use clap::Parser;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{Failure, Output, exit};
use crate::directory::Directory;
use crate::embedded::Embedded;
use crate::entry::Entry;
use crate::gateway::{Dialect, Gateway};
use crate::logs;
use crate::settings::Settings;
use crate::store::{Registrar, Store};

/// Roles that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Roles {
    /// Serves callers and routes their requests.
    Entry,
    /// Holds replicas on disk.
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
pub struct DaemonArgs {
    /// Settings file; `gypsumglade settings check FILE` checks it.
    #[arg(long, value_name = "FILE", env = "GYPSUMGLADE_SETTINGS")]
    settings: PathBuf,
}

/// Platform-specific protocols of the daemons.
pub struct Platform {
    /// Protocol of callers and endpoints.
    pub dialect: Arc<dyn Dialect>,
    /// HTTP routes of the registrar.
    pub registrar: fn(Registrar) -> axum::Router,
}

/// Runs a daemon until it is stopped.
///
/// At the first SIGTERM or SIGINT, calls in flight finish before the process ends; at the second,
/// it ends at once.
pub fn main(roles: Roles) -> ExitCode {
    let args = DaemonArgs::parse();
    exit_code(load(&args.settings).and_then(|settings| run(roles, settings)))
}

/// Runs a daemon with a platform's protocols until it is stopped: a store if the settings have a
/// `store` section, otherwise a gateway.
pub fn main_with_platform(platform: Platform) -> ExitCode {
    let args = DaemonArgs::parse();
    exit_code(run_platform(platform, &args.settings))
}

fn exit_code(outcome: Result<(), Failure>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::from(exit::DONE),
        Err(failure) => {
            failure.print(Output::Text);
            ExitCode::from(failure.code())
        }
    }
}

/// Loads settings and converts their findings to a failure.
pub(super) fn load(file: &Path) -> Result<Settings, Failure> {
    Settings::load(file).map_err(Failure::from_findings)
}

/// Runs the roles until they have stopped.
pub(super) fn run(roles: Roles, settings: Settings) -> Result<(), Failure> {
    let runtime = build_runtime(settings.threads).context("can't start the runtime")?;
    // Dropping the guard flushes the log, so it outlives the roles.
    let (log, _guard) = logs::start(&settings.log, settings.vm.id, roles.name())?;
    Ok(runtime.block_on(serve(roles, settings, log))?)
}

fn run_platform(platform: Platform, file: &Path) -> Result<(), Failure> {
    let settings = load(file)?;
    let runtime = build_runtime(settings.threads).context("can't start the runtime")?;
    let role = if settings.store.is_some() { "store" } else { "gateway" };
    let (log, _guard) = logs::start(&settings.log, settings.vm.id, role)?;
    Ok(runtime.block_on(serve_platform(platform, file.to_path_buf(), settings, log))?)
}

/// Builds the runtime. With one thread it has no worker threads, which avoids context switches on
/// a VM with less than one processor.
fn build_runtime(threads: u16) -> std::io::Result<tokio::runtime::Runtime> {
    match threads {
        0 => tokio::runtime::Runtime::new(),
        1 => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        threads => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads.into())
            .enable_all()
            .build(),
    }
}

async fn serve_platform(
    platform: Platform,
    file: PathBuf,
    settings: Settings,
    log: slog::Logger,
) -> anyhow::Result<()> {
    let mut signals = Signals::new()?;
    let running = if settings.store.is_some() {
        let directory = Arc::new(Directory::new(&settings));
        let mut store = Store::start(settings, directory, log.clone()).await?;
        let routes = (platform.registrar)(store.registrar());
        store.serve_registrar(routes).await?;
        Running::Store(store)
    } else {
        Running::Gateway(Box::new(Gateway::start(settings, platform.dialect, log.clone()).await?))
    };
    let mut watcher = SettingsWatcher::new(&file);
    let mut poll = tokio::time::interval(WATCH_INTERVAL);
    loop {
        let action = tokio::select! {
            action = signals.next() => Some(action),
            _ = poll.tick() => watcher.has_changed().then_some(SignalAction::Reload),
        };
        match action {
            Some(SignalAction::Stop) => break,
            Some(SignalAction::Reload) => watcher.reload(&running, &log),
            None => {}
        }
    }
    shut_down(running, signals).await
}

async fn serve(roles: Roles, settings: Settings, log: slog::Logger) -> anyhow::Result<()> {
    let signals = Signals::new()?;
    let directory = Arc::new(Directory::new(&settings));
    let running = match roles {
        Roles::Entry => Running::Entry(Entry::start(settings, directory, log).await?),
        Roles::Store => Running::Store(Store::start(settings, directory, log).await?),
        Roles::Both => Running::Both(Box::new(Embedded::start(settings, log).await?)),
    };
    running.print_addresses();
    stop_on_signal(running, signals).await
}

async fn stop_on_signal(running: Running, mut signals: Signals) -> anyhow::Result<()> {
    signals.wait_for_stop().await;
    shut_down(running, signals).await
}

async fn shut_down(running: Running, mut signals: Signals) -> anyhow::Result<()> {
    tokio::select! {
        () = running.stop() => Ok(()),
        () = signals.wait_for_stop() => {
            anyhow::bail!("stopped by a second signal; calls were cut off")
        }
    }
}

/// Running roles.
enum Running {
    Entry(Entry),
    Store(Store),
    Both(Box<Embedded>),
    Gateway(Box<Gateway>),
}

impl Running {
    /// Prints the bound addresses as one line of JSON, for scripts that let the kernel choose ports.
    fn print_addresses(&self) {
        let line = match self {
            Running::Entry(entry) => serde_json::to_string(&entry.addresses()),
            Running::Store(store) => serde_json::to_string(&store.addresses()),
            Running::Both(both) => serde_json::to_string(&both.entry.addresses()),
            Running::Gateway(gateway) => serde_json::to_string(&gateway.addresses()),
        };
        println!("{}", line.unwrap_or_default());
    }

    /// Applies the settings that can change while the process runs, which are the seeds.
    fn reload(&self, settings: &Settings) {
        let Some(discovery) = &settings.discovery else { return };
        match self {
            Running::Store(store) => store.reload(discovery),
            Running::Gateway(gateway) => gateway.reload(discovery),
            Running::Entry(_) | Running::Both(_) => {}
        }
    }

    async fn stop(self) {
        match self {
            Running::Entry(entry) => entry.stop().await,
            Running::Store(store) => store.stop().await,
            Running::Both(both) => both.stop().await,
            Running::Gateway(gateway) => gateway.stop().await,
        }
    }
}

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SignalAction {
    Stop,
    Reload,
}

/// Signals that a daemon handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> anyhow::Result<Signals> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Signals { terminate, interrupt, hangup: signal(SignalKind::hangup())? })
    }

    async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }

    async fn wait_for_stop(&mut self) {
        while self.next().await != SignalAction::Stop {}
    }
}

/// Detects changes of the settings file by its modification time.
struct SettingsWatcher {
    file: PathBuf,
    modified: Option<SystemTime>,
}

/// Interval between checks of the settings file, which may change without a signal.
const WATCH_INTERVAL: Duration = Duration::from_secs(3);

impl SettingsWatcher {
    fn new(file: &Path) -> SettingsWatcher {
        let mut watcher = SettingsWatcher { file: file.to_path_buf(), modified: None };
        watcher.has_changed();
        watcher
    }

    fn has_changed(&mut self) -> bool {
        let modified = std::fs::metadata(&self.file).and_then(|data| data.modified()).ok();
        let changed = modified.is_some() && modified != self.modified;
        self.modified = modified.or(self.modified);
        changed
    }

    /// Reloads the file. A file with findings is not applied.
    fn reload(&mut self, running: &Running, log: &slog::Logger) {
        self.has_changed();
        match Settings::load(&self.file) {
            Ok(settings) => {
                running.reload(&settings);
                slog::info!(log, "settings reloaded");
            }
            Err(findings) => slog::error!(log, "settings not reloaded; correct the file";
                "findings" => %findings),
        }
    }
}
