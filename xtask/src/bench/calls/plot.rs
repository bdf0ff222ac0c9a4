//! Plots of the bench.

use std::path::Path;

use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::GREEN;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::RED;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::bench::calls::latency::Latency;
use crate::bench::calls::latency::PathTimes;
use crate::bench::calls::overload::Overload;
use crate::bench::calls::overload::Point;
use crate::errors::Error;
use crate::errors::Result;

const SIZE: (u32, u32) = (800, 500);
const COLOURS: [RGBColor; 4] = [RGBColor(0, 0, 0), GREEN, BLUE, RED];
const QUANTILES: [f64; 12] = [
    0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999,
];

/// Line of a plot.
struct Line {
    points: Vec<(f64, f64)>,
    colour: RGBColor,
}

/// Plots the total time of paced calls by quantile: direct (black), one hop (green), two hops
/// (blue), baseline (red).
pub fn latency(directory: &Path, latency: &Latency) -> Result<()> {
    let lines = latency.paced.iter().zip(COLOURS);
    let lines: Vec<Line> = lines
        .map(|(path, colour)| quantiles(path, colour))
        .collect();
    let caption = "paced calls: time in us (log) by quantile; direct black, one hop green, two hops blue, baseline red";
    draw(
        &directory.join("calls-latency.svg"),
        caption,
        &lines,
        1.0,
        10.0..100_000.0,
    )
}

fn quantiles(path: &PathTimes, colour: RGBColor) -> Line {
    let points = QUANTILES.map(|quantile| {
        let us = path.whole_us.value_at_quantile(quantile);
        (quantile, f64::from(u32::try_from(us).unwrap_or(u32::MAX)))
    });
    let points = points.to_vec();
    Line { points, colour }
}

/// Plots the goodput ratio over the offered load: nodes (blue), baseline (red).
pub fn goodput(directory: &Path, overload: &Overload) -> Result<()> {
    let lines = [loads(&overload.nodes, BLUE), loads(&overload.baseline, RED)];
    let caption =
        "answers in time per possible answer (log) over offered load; nodes blue, baseline red";
    draw(
        &directory.join("calls-goodput.svg"),
        caption,
        &lines,
        3.0,
        0.001..1.5,
    )
}

fn loads(points: &[Point], colour: RGBColor) -> Line {
    let points = points.iter().map(|point| {
        let load = f64::from(point.load_permille) / 1000.0;
        (load, point.goodput_ratio().max(0.001))
    });
    let points = points.collect();
    Line { points, colour }
}

fn draw(
    file: &Path,
    caption: &str,
    lines: &[Line],
    x_end: f64,
    y: std::ops::Range<f64>,
) -> Result<()> {
    let failed = |error: String| Error::resource(file.display().to_string(), error);
    if let Some(directory) = file.parent() {
        std::fs::create_dir_all(directory).map_err(|error| failed(error.to_string()))?;
    }
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)
        .map_err(|error| failed(error.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 14))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_end, y.log_scale())
        .map_err(|error| failed(error.to_string()))?;
    chart
        .configure_mesh()
        .draw()
        .map_err(|error| failed(error.to_string()))?;
    for line in lines {
        let series = LineSeries::new(line.points.iter().copied(), line.colour.stroke_width(2));
        chart
            .draw_series(series)
            .map_err(|error| failed(error.to_string()))?;
    }
    area.present().map_err(|error| failed(error.to_string()))
}
