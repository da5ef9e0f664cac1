//! Plots goodput over time.

use std::path::Path;

use error_stack::{Report, ResultExt};
use plotters::prelude::*;

use crate::error::Error;
use crate::summary::CurvePoint;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 420);

/// A named curve.
#[derive(Clone, Debug)]
pub struct Curve {
    /// Its name in the legend.
    pub name: String,
    /// Its points, by time.
    pub points: Vec<(f64, f64)>,
}

impl Curve {
    /// The offered requests a second.
    pub fn offered(points: &[CurvePoint]) -> Self {
        Self::rate("offered", points, |point| point.offered)
    }

    /// The requests a second that were served within their contract, by arrival.
    pub fn good(name: &str, points: &[CurvePoint]) -> Self {
        Self::rate(name, points, |point| point.good)
    }

    fn rate(name: &str, points: &[CurvePoint], count: impl Fn(&CurvePoint) -> u64) -> Self {
        let width = match points {
            [first, second, ..] => second.at_s - first.at_s,
            _ => 1.0,
        };
        Self {
            name: name.to_owned(),
            points: points
                .iter()
                .map(|point| (point.at_s, count(point) as f64 / width))
                .collect(),
        }
    }
}

/// Draws curves over one time axis into an SVG file.
///
/// # Errors
/// The file cannot be written.
pub fn draw(path: &Path, title: &str, curves: &[Curve]) -> Result<(), Report<Error>> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let end = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).change_context(Error::Plot)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .change_context(Error::Plot)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the start")
        .y_desc("requests/s")
        .draw()
        .change_context(Error::Plot)?;
    for (index, curve) in curves.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(curve.points.iter().copied(), &colour))
            .change_context(Error::Plot)?
            .label(&curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .change_context(Error::Plot)?;
    area.present().change_context(Error::Plot)
}
