//! The comparison as a table.

use tabled::{Table, Tabled, settings::Style};

use super::{Fleet, GOODPUT_FROM, GOODPUT_TO, Tally, quantile};

/// One policy at one load, over all seeds.
#[derive(Clone, Debug, Tabled)]
pub struct Row {
    /// The user.
    pub fleet: &'static str,
    /// Share of capacity asked for.
    pub load: f64,
    /// Whether endpoints failed.
    #[tabled(display = "faults")]
    pub faults: bool,
    /// The policy.
    pub policy: &'static str,
    /// Median whole-program seconds.
    #[tabled(rename = "p50 s", display("fixed", 1))]
    pub p50: f64,
    /// The 95th percentile.
    #[tabled(rename = "p95 s", display("fixed", 1))]
    pub p95: f64,
    /// The 99th percentile.
    #[tabled(rename = "p99 s", display("fixed", 1))]
    pub p99: f64,
    /// The 95th percentile of urgent programs.
    #[tabled(rename = "urgent p95 s", display("fixed", 1))]
    pub urgent: f64,
    /// Millions of tokens wasted in each run.
    #[tabled(rename = "wasted Mtok", display("fixed", 2))]
    pub wasted: f64,
    /// Millions of paid bytes in each run.
    #[tabled(rename = "paid MB", display("fixed", 0))]
    pub paid: f64,
    /// Percent of programs refused at their first call.
    #[tabled(rename = "shed %", display("fixed", 2))]
    pub shed: f64,
    /// Percent of programs whose caller gave up.
    #[tabled(rename = "lost %", display("fixed", 2))]
    pub lost: f64,
    /// Work of whole programs as percent of capacity.
    #[tabled(rename = "goodput %", display("fixed", 1))]
    pub goodput: f64,
}

fn fixed(value: &f64, digits: usize) -> String {
    format!("{value:.digits$}")
}

fn faults(value: &bool) -> String {
    if *value { "yes" } else { "" }.to_owned()
}

impl Row {
    /// Sums a tally of `runs` runs up.
    pub fn new(
        fleet: &Fleet,
        policy: &'static str,
        load: f64,
        faults: bool,
        runs: usize,
        tally: &Tally,
    ) -> Row {
        let each = 1.0 / (runs.max(1) as f64 * 1e6);
        let percent = |count: u32| 100.0 * f64::from(count) / f64::from(tally.offered.max(1));
        let window = GOODPUT_TO.since(GOODPUT_FROM).as_secs_f64();
        let capacity = f64::from(fleet.engines()) * window * runs.max(1) as f64;
        Row {
            fleet: fleet.name,
            load,
            faults,
            policy,
            p50: quantile(&tally.latency, 0.5),
            p95: quantile(&tally.latency, 0.95),
            p99: quantile(&tally.latency, 0.99),
            urgent: quantile(&tally.urgent, 0.95),
            wasted: tally.wasted() as f64 * each,
            paid: tally.paid as f64 * each,
            shed: percent(tally.shed),
            lost: percent(tally.lost),
            goodput: 100.0 * tally.work / capacity,
        }
    }
}

/// The whole comparison.
#[derive(Clone, Debug)]
pub struct PolicyReport {
    /// Seeds that were run.
    pub seeds: Vec<u64>,
    /// Rows in the order in which they were run.
    pub rows: Vec<Row>,
}

impl PolicyReport {
    /// Returns the table as Markdown.
    pub fn table(&self) -> String {
        Table::new(&self.rows).with(Style::markdown()).to_string()
    }
}
