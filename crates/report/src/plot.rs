//! The plot of burn rates as SVG.

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::Epoch;
use crate::report::{Line, Report};

/// Size in pixels.
const SIZE: (u32, u32) = (960, 380);
/// Entries shown, the worst first; more lines could not be told apart.
const SHOWN: usize = 6;
/// Six hours, in seconds.
const SPAN: u64 = 21_600;
/// Seconds in an hour.
const HOUR: f64 = 3600.0;
/// Least height of the axis, so that the usual alarm lines show.
const LEAST_TOP: f64 = 16.0;
/// Height of the axis over the highest point.
const HEADROOM: f64 = 1.1;

/// Colours that stay apart for most kinds of colour blindness (Okabe and Ito).
const COLOURS: [RGBColor; SHOWN] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];

/// Draws the worst entries, or an empty plot if drawing fails.
pub(crate) fn render(report: &Report) -> String {
    let mut svg = String::new();
    // The drawing library writes to a string, which can't fail; a page without its plot is still of use.
    if let Err(error) = draw(report, &mut svg) {
        return format!("<!-- no plot: {error} -->");
    }
    svg
}

fn draw(report: &Report, svg: &mut String) -> Result<(), String> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    fill(report, &area)?;
    area.present().map_err(|error| error.to_string())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn fill(report: &Report, area: &Area<'_>) -> Result<(), String> {
    let text = |error: DrawingAreaErrorKind<_>| error.to_string();
    area.fill(&WHITE).map_err(text)?;
    let worst: Vec<&Line> = report.lines.iter().take(SHOWN).collect();
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(-6.0..0.0, 0.0..top(&worst))
        .map_err(text)?;
    chart
        .configure_mesh()
        .x_desc("hours before the report")
        .y_desc("burn rate")
        .x_labels(7)
        .light_line_style(WHITE)
        .draw()
        .map_err(text)?;
    for (line, colour) in worst.iter().zip(COLOURS) {
        let points = points(report, line);
        let style = colour.stroke_width(2);
        let dots = points
            .iter()
            .map(|point| Circle::new(*point, 2, colour.filled()));
        chart.draw_series(dots).map_err(text)?;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), style))
            .map_err(text)?
            .label(line.entry.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    for threshold in thresholds(&worst) {
        let ends = [(-6.0, threshold), (0.0, threshold)];
        let dashed = DashedLineSeries::new(ends, 6, 4, RED.mix(0.6).stroke_width(1));
        chart.draw_series(dashed).map_err(text)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .draw()
        .map_err(text)
}

fn points(report: &Report, line: &Line) -> Vec<(f64, f64)> {
    let points = line.points.iter();
    points
        .map(|point| (hours(report.at, point.start), point.burn))
        .collect()
}

/// Start of ten minutes, in hours before the report.
fn hours(at: Epoch, start: Epoch) -> f64 {
    let back = at.saturating_sub(start).min(SPAN);
    -(back as f64) / HOUR
}

fn top(lines: &[&Line]) -> f64 {
    let burns = lines.iter().flat_map(|line| &line.points);
    let highest = burns.map(|point| point.burn).fold(LEAST_TOP, f64::max);
    highest * HEADROOM
}

/// The alarm lines of the entries shown, each once.
fn thresholds(lines: &[&Line]) -> Vec<f64> {
    let pairs = lines.iter().flat_map(|line| &line.pairs);
    let mut thresholds: Vec<f64> = pairs.map(|pair| pair.threshold).collect();
    thresholds.sort_by(f64::total_cmp);
    thresholds.dedup();
    thresholds
}
