//! An account as a picture: calls of each second, stacked by how they ended.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::call::End;
use crate::tally::Account;

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (1_100, 480);

/// Draws the account's seconds into an SVG file.
///
/// # Errors
///
/// If the file cannot be written.
pub fn draw(account: &Account, file: &Path) -> Result<(), Box<dyn Error>> {
    let last = account.by_second().map(|(second, _)| second).max();
    let last = last.unwrap_or_default();
    let sums = account.by_second().map(|(_, ends)| ends.values().sum());
    let most: u32 = sums.max().unwrap_or(1);
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0..last + 1, 0..most)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("calls")
        .draw()?;
    for (number, end) in End::ALL.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let bars = account.by_second().map(|(second, ends)| {
            let below = ends.range(..end).map(|(_, count)| count).sum::<u32>();
            let count = ends.get(&end).copied().unwrap_or_default();
            Rectangle::new(
                [(second, below), (second + 1, below + count)],
                colour.filled(),
            )
        });
        chart
            .draw_series(bars)?
            .label(end.name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
