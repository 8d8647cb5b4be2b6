//! Draws each play's goodput and late first tokens for a person to look at.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use super::report::{PlayReport, PolicyFigures};

const CELL: (u32, u32) = (300, 220);
const COLUMNS: usize = 5;
const COLORS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(127, 127, 127),
];

/// Writes an SVG with a bar chart of the good share for each play: ours first, then the baselines.
pub(super) fn draw(path: &Path, reports: &[PlayReport]) -> anyhow::Result<()> {
    let rows = reports.len().div_ceil(COLUMNS);
    let size = (CELL.0 * COLUMNS as u32, CELL.1 * rows as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)
        .map_err(|error| anyhow!("plot: {error}"))?;
    for (cell, report) in area.split_evenly((rows, COLUMNS)).iter().zip(reports) {
        draw_play(cell, report).map_err(|error| anyhow!("plot {}: {error}", report.name()))?;
    }
    area.present()
        .map_err(|error| anyhow!("plot {}: {error}", path.display()))
}

fn draw_play<DB: DrawingBackend>(
    cell: &DrawingArea<DB, plotters::coord::Shift>,
    report: &PlayReport,
) -> Result<(), DrawingAreaErrorKind<DB::ErrorType>> {
    let policies: Vec<(&str, &PolicyFigures)> = std::iter::once(("ours", &report.ours))
        .chain(
            report
                .baselines
                .iter()
                .map(|(name, figures)| (name.as_str(), figures)),
        )
        .collect();
    let mut chart = ChartBuilder::on(cell)
        .caption(report.name(), ("sans-serif", 14))
        .margin(6)
        .x_label_area_size(22)
        .y_label_area_size(34)
        .build_cartesian_2d(0.0..policies.len() as f64, 0.0..1.0)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .y_desc("answered in time")
        .draw()?;
    for (index, (name, figures)) in policies.iter().enumerate() {
        let left = index as f64 + 0.1;
        let good = figures["good_share"];
        let bar = Rectangle::new(
            [(left, 0.0), (left + 0.8, good.mean)],
            COLORS[index].filled(),
        );
        let spread = [(left + 0.4, good.min()), (left + 0.4, good.max())];
        let label = Text::new((*name).to_owned(), (left, 0.05), ("sans-serif", 10));
        chart.draw_series([bar])?;
        chart.draw_series([PathElement::new(spread, BLACK)])?;
        chart.draw_series([label])?;
    }
    Ok(())
}
