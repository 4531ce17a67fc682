//! Runs the whole policy comparison and writes the table and the plots into a folder.
//!
//! `cargo run --release --example policy -- <folder> [seed,..]`

use std::path::PathBuf;

use anyhow::{Context, Result};
use gypsumglade::bench::policy::{PolicyBench, plot, run};

fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let folder = PathBuf::from(args.next().context("name the folder to write into")?);
    let mut settings = PolicyBench::default();
    if let Some(seeds) = args.next() {
        settings.seeds = seeds.split(',').filter_map(|seed| seed.parse().ok()).collect();
    }
    let report = run(settings);
    std::fs::write(folder.join("policy-table.md"), report.table() + "\n")?;
    for (fleet, file) in
        [("Fényrekesz", "policy-fenyrekesz.svg"), ("Velkaneuvo", "policy-velkaneuvo.svg")]
    {
        std::fs::write(folder.join(file), plot(&report, fleet)?)?;
    }
    Ok(())
}
