//! `gypsumglade settings`: checks a settings file, or prints an example.

use std::fmt;
use std::path::PathBuf;

use gypsumglade_core::prelude::*;

use super::output::line;
use super::{Failure, Output};
use crate::settings::{Role, Settings};

#[derive(Debug, clap::Subcommand)]
pub(super) enum SettingsVerb {
    /// Check a settings file and report every finding at once.
    Check {
        /// Settings file to check.
        file: PathBuf,
    },
    /// Print an annotated settings file.
    Example {
        /// Role of the VM.
        #[arg(value_enum, default_value_t = Role::Store)]
        role: Role,
    },
}

/// Result of a check without findings.
#[derive(Serialize)]
struct CheckReport {
    file: PathBuf,
    vm: u32,
    domain: CompactString,
    region: CompactString,
    role: Role,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.role {
            Role::Entry => "entry",
            Role::Store => "entry and store",
        };
        let CheckReport { file, vm, domain, region, .. } = self;
        write!(f, "{}: no findings; VM {vm} in {domain} ({region}), {role}", file.display())
    }
}

pub(super) fn run(verb: SettingsVerb, output: Output) -> Result<(), Failure> {
    match verb {
        SettingsVerb::Check { file } => check(file, output),
        SettingsVerb::Example { role } => line(&Settings::example(role).trim_end()),
    }
}

fn check(file: PathBuf, output: Output) -> Result<(), Failure> {
    let settings = Settings::load(&file).map_err(Failure::from_findings)?;
    let role = if settings.store.is_some() { Role::Store } else { Role::Entry };
    let vm = settings.vm;
    output.print(&CheckReport { file, vm: vm.id, domain: vm.domain, region: vm.region, role })
}
