//! The `gypsumglade` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    gypsumglade::cli::main()
}
