//! The `gypsumglade-store` daemon.

use std::process::ExitCode;

use gypsumglade::cli::daemon::{self, Roles};

fn main() -> ExitCode {
    daemon::main(Roles::Store)
}
