//! Plot of the convergence times: share of the pairs of node and change by time.

use std::path::Path;

use plotters::prelude::*;

const SIZE: (u32, u32) = (900, 500);
const FILE: &str = "convergence.svg";

/// Writes the plot into a directory.
///
/// # Errors
/// A message if the plot cannot be drawn.
pub fn write(directory: &Path, product_ms: &[f64], baseline_ms: &[f64]) -> Result<(), String> {
    std::fs::create_dir_all(directory).map_err(|error| error.to_string())?;
    draw(&directory.join(FILE), product_ms, baseline_ms).map_err(|error| error.to_string())
}

fn draw(
    path: &Path,
    product_ms: &[f64],
    baseline_ms: &[f64],
) -> Result<(), Box<dyn std::error::Error>> {
    let longest_ms = product_ms.iter().chain(baseline_ms).copied();
    let longest_ms = longest_ms.fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..longest_ms, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("milliseconds from the change until it is in force")
        .y_desc("share of nodes and changes")
        .draw()?;
    chart.draw_series(LineSeries::new(shares(product_ms), &BLUE))?;
    chart.draw_series(LineSeries::new(shares(baseline_ms), &RED))?;
    root.present()?;
    Ok(())
}

fn shares(sorted_ms: &[f64]) -> Vec<(f64, f64)> {
    let step = 1.0 / f64::from(u32::try_from(sorted_ms.len().max(1)).unwrap_or(u32::MAX));
    let mut share = 0.0;
    let points = sorted_ms.iter().map(|time_ms| {
        share += step;
        (*time_ms, share)
    });
    points.collect()
}
