//! Plots burn rates as SVG.

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::Epoch;
use crate::report::{Line, Report};

/// Width and height.
const SIZE_PIXELS: (u32, u32) = (960, 380);
/// Number of entries plotted, worst first; more curves could not be told apart.
const MAX_ENTRIES: usize = 6;
/// Time range of the plot: six hours.
const SPAN_SECONDS: u64 = 21_600;
const SECONDS_PER_HOUR: f64 = 3600.0;
/// Smallest upper end of the burn-rate axis, so that the usual alarm thresholds are visible.
const MIN_AXIS_TOP: f64 = 16.0;
/// Ratio of the upper end of the axis to the highest point.
const AXIS_HEADROOM: f64 = 1.1;

/// Colours distinguishable with most kinds of colour blindness (Okabe and Ito).
const COLOURS: [RGBColor; MAX_ENTRIES] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];

/// Draws the worst entries, or returns an HTML comment with the error if drawing fails.
pub(crate) fn render(report: &Report) -> String {
    let mut svg = String::new();
    // Drawing into a string should not fail, and the page is still useful without the plot.
    if let Err(error) = draw(report, &mut svg) {
        return format!("<!-- no plot: {error} -->");
    }
    svg
}

fn draw(report: &Report, svg: &mut String) -> Result<(), String> {
    let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
    draw_chart(report, &area)?;
    area.present().map_err(|error| error.to_string())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw_chart(report: &Report, area: &Area<'_>) -> Result<(), String> {
    let message = |error: DrawingAreaErrorKind<_>| error.to_string();
    area.fill(&WHITE).map_err(message)?;
    let worst: Vec<&Line> = report.lines.iter().take(MAX_ENTRIES).collect();
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(-6.0..0.0, 0.0..axis_top(&worst))
        .map_err(message)?;
    chart
        .configure_mesh()
        .x_desc("hours before the report")
        .y_desc("burn rate")
        .x_labels(7)
        .light_line_style(WHITE)
        .draw()
        .map_err(message)?;
    for (line, colour) in worst.iter().zip(COLOURS) {
        let points = points(report, line);
        let style = colour.stroke_width(2);
        let dots = points
            .iter()
            .map(|point| Circle::new(*point, 2, colour.filled()));
        chart.draw_series(dots).map_err(message)?;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), style))
            .map_err(message)?
            .label(line.entry.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    for threshold in thresholds(&worst) {
        let ends = [(-6.0, threshold), (0.0, threshold)];
        let dashed = DashedLineSeries::new(ends, 6, 4, RED.mix(0.6).stroke_width(1));
        chart.draw_series(dashed).map_err(message)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .draw()
        .map_err(message)
}

fn points(report: &Report, line: &Line) -> Vec<(f64, f64)> {
    let points = line.points.iter();
    points
        .map(|point| (hours(report.at, point.start), point.burn))
        .collect()
}

/// Position of a bucket on the time axis: hours relative to the report, at most 0.
fn hours(at: Epoch, start: Epoch) -> f64 {
    let age = at.saturating_sub(start).min(SPAN_SECONDS);
    -(age as f64) / SECONDS_PER_HOUR
}

fn axis_top(lines: &[&Line]) -> f64 {
    let burns = lines.iter().flat_map(|line| &line.points);
    let highest = burns.map(|point| point.burn).fold(MIN_AXIS_TOP, f64::max);
    highest * AXIS_HEADROOM
}

/// The distinct alarm thresholds of the plotted entries, ascending.
fn thresholds(lines: &[&Line]) -> Vec<f64> {
    let pairs = lines.iter().flat_map(|line| &line.pairs);
    let mut thresholds: Vec<f64> = pairs.map(|pair| pair.threshold).collect();
    thresholds.sort_by(f64::total_cmp);
    thresholds.dedup();
    thresholds
}
