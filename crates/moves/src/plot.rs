//! SVG plots of a move (rollout): share, failures and latency over time.

use plotters::prelude::*;

use crate::errors::Error;
use crate::errors::Result;
use crate::record::Point;
use crate::stats;

const SIZE_PX: (u32, u32) = (640, 420);

/// Renders the three panels of one move.
pub fn svg(points: &[Point]) -> Result<String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)
            .map_err(|error| Error::render_error(&error))?;
        let panels = area.split_evenly((3, 1));
        let share = |point: &Point| f64::from(point.share_permille);
        let failures = |point: &Point| f64::from(point.failure_permille);
        let latency = |point: &Point| f64::from(point.latency_ms);
        panel(&panels[0], "share, permille", points, &share, BLUE)?;
        panel(&panels[1], "failures, permille", points, &failures, RED)?;
        panel(&panels[2], "mean latency, ms", points, &latency, BLACK)?;
        area.present()
            .map_err(|error| Error::render_error(&error))?;
    }
    Ok(text)
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    points: &[Point],
    value: &dyn Fn(&Point) -> f64,
    color: RGBColor,
) -> Result<()> {
    let start_unix_ms = points.first().map_or(0, |point| point.at_unix_ms);
    let time_s =
        |point: &Point| stats::to_float(point.at_unix_ms.saturating_sub(start_unix_ms)) / 1000.0;
    let end_s = points.last().map_or(1.0, time_s).max(1.0);
    let top = points.iter().map(value).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 13))
        .margin(6)
        .x_label_area_size(22)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end_s, 0.0..top)
        .map_err(|error| Error::render_error(&error))?;
    chart
        .configure_mesh()
        .disable_mesh()
        .y_labels(4)
        .draw()
        .map_err(|error| Error::render_error(&error))?;
    let line = points.iter().map(|point| (time_s(point), value(point)));
    chart
        .draw_series(LineSeries::new(line, &color))
        .map_err(|error| Error::render_error(&error))?;
    Ok(())
}
