//! Plots the calls of each second, stacked by outcome.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::call::Outcome;
use crate::tally::Account;

/// Width and height of the plot.
const SIZE_PX: (u32, u32) = (1_100, 480);

/// Writes the plot to an SVG file.
///
/// # Errors
///
/// If the file cannot be written.
pub fn draw(account: &Account, file: &Path) -> Result<(), Box<dyn Error>> {
    let last_second = account.by_second().map(|(second, _)| second).max();
    let last_second = last_second.unwrap_or_default();
    let sums = account.by_second().map(|(_, counts)| counts.values().sum());
    let max_calls: u32 = sums.max().unwrap_or(1);
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0..last_second + 1, 0..max_calls)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("calls")
        .draw()?;
    for (number, outcome) in Outcome::ALL.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let bars = account.by_second().map(|(second, counts)| {
            let below = counts.range(..outcome).map(|(_, count)| count).sum::<u32>();
            let count = counts.get(&outcome).copied().unwrap_or_default();
            Rectangle::new(
                [(second, below), (second + 1, below + count)],
                colour.filled(),
            )
        });
        chart
            .draw_series(bars)?
            .label(outcome.column_name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
