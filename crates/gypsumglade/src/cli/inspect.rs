//! `gypsumglade inspect`: shows the content of a data folder and checks it for damage.

use std::fmt;
use std::path::PathBuf;

use gypsumglade_core::prelude::*;
use tabled::builder::Builder;
use tabled::settings::Style;

use super::failure::FailureKind;
use super::{Failure, Output};
use crate::disk::{self, Report};

#[derive(Debug, clap::Args)]
pub(super) struct InspectArgs {
    /// Data folder of a store; it is only read.
    folder: PathBuf,
}

#[derive(Serialize)]
#[serde(transparent)]
struct InspectReport(Report);

impl fmt::Display for InspectReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = &self.0;
        let owner = report.vm.map_or("no VM yet".to_owned(), |vm| vm.to_string());
        let used = if report.locked { ", in use now" } else { "" };
        let bytes: u64 = report.segments.iter().map(|s| s.bytes).sum();
        let count = report.segments.len();
        writeln!(f, "folder of {owner}{used}: {count} log file(s), {bytes} bytes")?;
        let mut table = Builder::default();
        table.push_record(["group", "term", "snapshot at", "entries after", "last"]);
        for group in &report.groups {
            table.push_record([
                group.group.to_string(),
                group.term.to_string(),
                group.snapshot.index.0.to_string(),
                group.entries.to_string(),
                group.last.index.0.to_string(),
            ]);
        }
        write!(f, "{}", table.build().with(Style::blank()))?;
        for finding in &report.findings {
            write!(f, "\n{} at byte {}: {}", finding.file, finding.offset, finding.text)?;
        }
        Ok(())
    }
}

pub(super) fn run(args: InspectArgs, output: Output) -> Result<(), Failure> {
    let report = InspectReport(disk::inspect(&args.folder)?);
    output.print(&report)?;
    if report.0.is_sound() {
        return Ok(());
    }
    let message = format!("{} has {} finding(s)", args.folder.display(), report.0.findings.len());
    let advice = "keep the folder, and don't start a store with the same VM number on an empty one; \
                  see docs/OPERATING.md, \"Lost disk\"";
    Err(Failure::new(FailureKind::Findings, message, advice))
}
