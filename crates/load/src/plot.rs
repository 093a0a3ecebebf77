//! Plots the distribution of the time to the first event.

use crate::summary::Summary;
use plotters::prelude::*;
use std::{error, path::Path, result};

/// Result with any error of the drawing library.
pub type Result<T> = result::Result<T, Box<dyn error::Error>>;

/// Width and height in pixels: fits a page at its usual width.
const SIZE: (u32, u32) = (900, 520);
/// Longest time on the x axis, in seconds: callers give up after at most 12 s.
const LONGEST_S: f64 = 12.0;
/// Number of points of a curve.
const POINTS: usize = 200;

/// Draws an SVG with one curve per policy: the share of all requests whose first event came within
/// a given time.
///
/// # Errors
///
/// If the file can't be written.
pub fn plot_first_events(path: &Path, title: &str, summaries: &[Summary]) -> Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..LONGEST_S, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("time to the first event, s")
        .y_desc("share of all requests")
        .draw()?;
    for (i, summary) in summaries.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let requests: usize = summary.kinds.values().map(|result| result.requests).sum();
        let curve = (0..=POINTS).map(|point| {
            let s = LONGEST_S * point as f64 / POINTS as f64;
            let within = summary.first_event_times_ms.partition_point(|ms| *ms <= s * 1e3);
            (s, within as f64 / requests.max(1) as f64)
        });
        chart
            .draw_series(LineSeries::new(curve, color.stroke_width(2)))?
            .label(summary.policy)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
