//! `gypsumglade bench`: benchmarks for manual runs.

use std::path::PathBuf;

use anyhow::Context as _;

use super::Failure;
use super::output::line;
use crate::bench::path::{self, PathBench};
use crate::bench::policy::{self, Fleet, PolicyBench};

#[derive(Debug, clap::Subcommand)]
pub(super) enum BenchVerb {
    /// Compare the scheduling policy with common ones in simulated time, as a Markdown table.
    Policy(PolicyArgs),
    /// Measure the latency that the system adds to a call, with stand-ins in this process.
    Path(PathArgs),
}

#[derive(Debug, clap::Args)]
pub(super) struct PathArgs {
    /// Number of calls in each series.
    #[arg(long, default_value_t = PathBench::default().calls)]
    calls: u64,
    /// Number of concurrent callers in the series under load.
    #[arg(long, default_value_t = PathBench::default().callers)]
    callers: u64,
    /// Number of concurrent streams.
    #[arg(long, default_value_t = PathBench::default().streams)]
    streams: u64,
    /// Data folder, on the disk to be measured.
    #[arg(long, value_name = "FOLDER", default_value = "bench-data")]
    folder: PathBuf,
}

#[derive(Debug, clap::Args)]
pub(super) struct PolicyArgs {
    /// Random seeds of the runs; by default the standard ones.
    #[arg(long, alias = "seed", value_delimiter = ',')]
    seeds: Vec<u64>,
    /// Loads as fractions of capacity; by default the standard ones.
    #[arg(long, value_delimiter = ',')]
    loads: Vec<f64>,
    /// Skip the runs with parts of the policy switched off, with faults, and with a larger cache.
    #[arg(long)]
    brief: bool,
    /// Folder for the plots, one SVG file per user.
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
