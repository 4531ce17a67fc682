//! Command line for operators.
//!
//! Each subcommand has its own module. Its result is a typed report, printed as text or JSON; errors
//! are [`Failure`]s with an exit code and advice.

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
/// Exit codes: 0 success; 1 failed; 2 wrong usage; 3 findings in a file; 4 refused; 5 unreachable;
/// 6 answer lost, send the same order again; 7 accepted, but not yet in force everywhere.
#[derive(Debug, Parser)]
#[command(name = "gypsumglade", version, arg_required_else_help = true)]
pub struct Cli {
    /// Format of results and errors.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    output: Output,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Run a program through the whole system in this process, with stand-ins for external services.
    Demo(demo::DemoArgs),
    /// Run entry and store in one process.
    Serve(serve::ServeArgs),
    /// Check a settings file, or print an example of one.
    #[command(subcommand)]
    Settings(settings::SettingsVerb),
    /// Create and show operators' keys.
    #[command(subcommand)]
    Key(key::KeyVerb),
    /// Sign bundles, roll them out, roll back, and show what is in force.
    #[command(subcommand)]
    Bundle(bundle::BundleVerb),
    /// Print the state of a running process as JSON.
    Dump(dump::DumpArgs),
    /// Show the content of a store's data folder and check it for damage.
    Inspect(inspect::InspectArgs),
    /// Run benchmarks.
    #[command(subcommand)]
    Bench(bench::BenchVerb),
    /// Print a shell completion script.
    Completions(completions::CompletionArgs),
}

/// Runs the command line of this process and returns its exit code.
pub fn main() -> ExitCode {
    run(std::env::args_os())
}

/// Runs a command line, whose first element is the program's name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => {
            // Prints help to standard output and usage errors to standard error.
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
