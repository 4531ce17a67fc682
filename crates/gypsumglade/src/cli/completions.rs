//! `gypsumglade completions`: prints shell completion scripts.

use clap::CommandFactory as _;

use super::{Cli, Failure};

#[derive(Debug, clap::Args)]
pub(super) struct CompletionArgs {
    /// Shell to generate the script for.
    #[arg(value_enum)]
    shell: clap_complete::Shell,
}

pub(super) fn run(args: CompletionArgs) -> Result<(), Failure> {
    let mut command = Cli::command();
    clap_complete::generate(args.shell, &mut command, "gypsumglade", &mut std::io::stdout());
    Ok(())
}
