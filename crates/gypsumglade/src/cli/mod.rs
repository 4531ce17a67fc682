//! The operators' command line.
//!
//! Each verb has its own file and returns what it found as a typed report, which is printed as text
//! or JSON; what went wrong comes back as a [`Failure`] with an exit code and advice.

mod admin_client;
mod bench;
mod bundle;
mod completions;
pub mod daemon;
mod demo;
mod dump;
mod failure;
mod inspect;
mod key;
mod orders;
mod output;
mod serve;
mod settings;

use std::ffi::OsString;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

pub use self::failure::{Failure, exit};
pub use self::output::Output;

/// Scheduler for agent programs, between callers and model engines or plain services.
///
/// Exit codes: 0 done; 1 failed; 2 wrong usage; 3 findings in a file; 4 refused; 5 not reachable;
/// 6 the answer was lost, send the same order again; 7 accepted, not yet in force everywhere.
#[derive(Debug, Parser)]
#[command(name = "gypsumglade", version, arg_required_else_help = true)]
pub struct Cli {
    /// How results and errors are printed.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    output: Output,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Run a real program through the whole system in this process, with stand-ins outside it.
    Demo(demo::DemoArgs),
    /// Run entry and store in one process.
    Serve(serve::ServeArgs),
    /// Check a settings file, or print an example of one.
    #[command(subcommand)]
    Settings(settings::SettingsVerb),
    /// Make operators' keys.
    #[command(subcommand)]
    Key(key::KeyVerb),
    /// Sign bundles, roll them out, roll back, and see what is in force.
    #[command(subcommand)]
    Bundle(bundle::BundleVerb),
    /// Print the whole state of a running process as JSON.
    Dump(dump::DumpArgs),
    /// Show what a store's data folder holds and whether it is sound.
    Inspect(inspect::InspectArgs),
    /// Measure.
    #[command(subcommand)]
    Bench(bench::BenchVerb),
    /// Print a completion script for a shell.
    Completions(completions::CompletionArgs),
}

/// Runs the command line of this process and returns its exit code.
pub fn main() -> ExitCode {
    run(std::env::args_os())
}

/// Runs one command line, the program's name first.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => {
            // Help goes to standard output, usage errors to standard error, and clap knows which.
            let _ = error.print();
            return ExitCode::from(if error.use_stderr() { exit::USAGE } else { exit::DONE });
        }
    };
    match dispatch(cli.verb, cli.output) {
        Ok(()) => ExitCode::from(exit::DONE),
        Err(failure) => {
            failure.print(cli.output);
            ExitCode::from(failure.code())
        }
    }
}

fn dispatch(verb: Verb, output: Output) -> Result<(), Failure> {
    match verb {
        Verb::Demo(args) => demo::run(args, output),
        Verb::Serve(args) => serve::run(args),
        Verb::Settings(verb) => settings::run(verb, output),
        Verb::Key(verb) => key::run(verb, output),
        Verb::Bundle(verb) => bundle::run(verb, output),
        Verb::Dump(args) => dump::run(args),
        Verb::Inspect(args) => inspect::run(args, output),
        Verb::Bench(verb) => bench::run(verb),
        Verb::Completions(args) => completions::run(args),
    }
}
