//! The comparison as a plot.

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use super::report::{PolicyReport, Row};

const SIZE: (u32, u32) = (1_100, 420);
/// Loads drawn, with room for the legend on the right.
const LOADS: std::ops::Range<f64> = 0.4..2.8;
const POLICIES: [&str; 5] =
    ["round robin", "least loaded", "sticky session", "prefix affinity", "gypsumglade"];
const COLOURS: [RGBColor; 5] = [
    RGBColor(150, 150, 150),
    RGBColor(214, 118, 24),
    RGBColor(58, 118, 190),
    RGBColor(130, 80, 160),
    RGBColor(24, 130, 70),
];

/// Draws p99 whole-program latency and wasted tokens over load, for one user, as SVG.
pub fn plot(report: &PolicyReport, fleet: &str) -> Result<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(failed)?;
        let (left, right) = root.split_horizontally(SIZE.0 / 2);
        let rows: Vec<&Row> =
            report.rows.iter().filter(|row| row.fleet == fleet && !row.faults).collect();
        panel(&left, &format!("{fleet}: p99 of whole programs, s"), &rows, |row| row.p99)?;
        panel(&right, &format!("{fleet}: wasted Mtok a run"), &rows, |row| row.wasted)?;
        root.present().map_err(failed)?;
    }
    Ok(svg)
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    rows: &[&Row],
    value: impl Fn(&Row) -> f64,
) -> Result<()> {
    let most = rows.iter().map(|row| value(row)).fold(1.0, f64::max);
    let least = rows.iter().map(|row| value(row)).filter(|v| *v > 0.0).fold(most, f64::min);
    let range = (least * 0.8..most * 1.3).log_scale();
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(LOADS, range)
        .map_err(failed)?;
    chart.configure_mesh().x_desc("load, share of capacity").draw().map_err(failed)?;
    for (policy, colour) in POLICIES.iter().zip(COLOURS) {
        let points: Vec<(f64, f64)> = rows
            .iter()
            .filter(|row| row.policy == *policy)
            .map(|row| (row.load, value(row).max(least * 0.8)))
            .collect();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)).point_size(3))
            .map_err(failed)?
            .label(*policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
        .map_err(failed)
}

fn failed(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("the plot could not be drawn: {error}")
}
