//! `gypsumglade bench`: measurements that a person runs.

use std::path::PathBuf;

use anyhow::Context as _;

use super::Failure;
use super::output::line;
use crate::bench::path::{self, PathBench};
use crate::bench::policy::{self, Fleet, PolicyBench};

#[derive(Debug, clap::Subcommand)]
pub(super) enum BenchVerb {
    /// Compare the scheduling policy with the usual ones on a virtual clock, as a Markdown table.
    Policy(PolicyArgs),
    /// Measure what the system adds to a call, with stand-ins in this process.
    Path(PathArgs),
}

#[derive(Debug, clap::Args)]
pub(super) struct PathArgs {
    /// Calls of each series.
    #[arg(long, default_value_t = PathBench::default().calls)]
    calls: u64,
    /// Callers at one time in the loaded series.
    #[arg(long, default_value_t = PathBench::default().callers)]
    callers: u64,
    /// Streams open at one time.
    #[arg(long, default_value_t = PathBench::default().streams)]
    streams: u64,
    /// Folder for the run's data, on the disk to be measured.
    #[arg(long, value_name = "FOLDER", default_value = "bench-data")]
    folder: PathBuf,
}

#[derive(Debug, clap::Args)]
pub(super) struct PolicyArgs {
    /// Seeds of the runs; the standard ones if absent.
    #[arg(long, alias = "seed", value_delimiter = ',')]
    seeds: Vec<u64>,
    /// Loads as shares of capacity; the standard ones if absent.
    #[arg(long, value_delimiter = ',')]
    loads: Vec<f64>,
    /// Leave out the runs with a part of the policy switched off, and those with faults.
    #[arg(long)]
    brief: bool,
    /// Folder for one plot of each user as SVG.
    #[arg(long, value_name = "FOLDER")]
    plots: Option<PathBuf>,
}

pub(super) fn run(verb: BenchVerb) -> Result<(), Failure> {
    match verb {
        BenchVerb::Policy(args) => run_policy(args),
        BenchVerb::Path(args) => run_path(&args),
    }
}

fn run_path(args: &PathArgs) -> Result<(), Failure> {
    let bench = PathBench { calls: args.calls, callers: args.callers, streams: args.streams };
    let runtime = tokio::runtime::Runtime::new().context("can't start the runtime")?;
    let report = runtime.block_on(path::run(&args.folder, bench))?;
    line(&report.to_string())
}

fn run_policy(args: PolicyArgs) -> Result<(), Failure> {
    let standard = PolicyBench::default();
    let report = policy::run(PolicyBench {
        seeds: if args.seeds.is_empty() { standard.seeds } else { args.seeds },
        loads: if args.loads.is_empty() { standard.loads } else { args.loads },
        baselines: true,
        ablations: !args.brief,
        faults: !args.brief,
        roomy: !args.brief,
    });
    line(&report.table())?;
    let Some(folder) = args.plots else {
        return Ok(());
    };
    for fleet in [Fleet::fenyrekesz(), Fleet::velkaneuvo()] {
        let file = folder.join(format!("policy-{}.svg", fleet.slug()));
        let plot = policy::plot(&report, fleet.name)?;
        std::fs::write(&file, plot).with_context(|| format!("can't write {}", file.display()))?;
    }
    Ok(())
}
