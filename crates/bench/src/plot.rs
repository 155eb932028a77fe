//! A plot of imbalance and control bytes over time.

use std::path::Path;

use plotters::prelude::*;

use crate::error::PlotSnafu;
use crate::{Report, Result};

/// Width and height of the image in pixels.
const SIZE: (u32, u32) = (1_000, 700);
/// Budget for the control traffic of a balancer, in bytes per second.
const CONTROL_BUDGET: f64 = 3_000.0;

/// Writes an SVG with two charts: imbalance and control bytes per second.
pub fn plot(report: &Report, path: &Path) -> Result<()> {
    draw(report, path).or_else(|e| {
        let reason = e.to_string();
        PlotSnafu { reason }.fail()
    })
}

type Series = Vec<(f64, f64)>;

fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    let imbalance = report
        .samples
        .iter()
        .map(|s| (s.at_s, s.imbalance.values().copied().fold(1.0, f64::max)))
        .collect();
    let title = format!("{}: largest share over weighted share", report.schedule);
    chart(&upper, &title, &imbalance, 1.0, 1.2)?;
    let control = report
        .samples
        .iter()
        .map(|s| (s.at_s, s.control_bytes_max as f64))
        .collect();
    let title = "control bytes a second, busiest balancer";
    chart(&lower, title, &control, 0.0, CONTROL_BUDGET)?;
    root.present()?;
    Ok(())
}

/// Draws a chart with a line at the limit.
fn chart(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    title: &str,
    series: &Series,
    low: f64,
    limit: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let end = series.last().map_or(1.0, |(at, _)| *at);
    let high = series.iter().map(|(_, y)| *y).fold(limit, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, low..high)?;
    chart.configure_mesh().x_desc("s").draw()?;
    chart.draw_series(LineSeries::new(series.iter().copied(), &BLUE))?;
    chart.draw_series(LineSeries::new([(0.0, limit), (end, limit)], &RED))?;
    Ok(())
}
