//! Plots of the comparison.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use super::metrics::Metrics;
use super::report::Row;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 560);

/// A metric plotted against the load.
struct Figure {
    file: &'static str,
    title: &'static str,
    value: fn(&Metrics) -> f64,
}

const FIGURES: [Figure; 4] = [
    Figure {
        file: "mean-latency.svg",
        title: "Mean program latency (s)",
        value: |metrics| metrics.mean,
    },
    Figure {
        file: "p95-latency.svg",
        title: "95th percentile of program latency (s)",
        value: |metrics| metrics.p95,
    },
    Figure {
        file: "wasted-cache.svg",
        title: "Block-seconds held without reuse",
        value: |metrics| metrics.wasted_block_seconds,
    },
    Figure {
        file: "recomputed.svg",
        title: "Prefix tokens recomputed",
        value: |metrics| metrics.recomputed_tokens,
    },
];

/// Writes one SVG file per figure.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn draw(directory: &Path, rows: &[Row]) -> eyre::Result<()> {
    for figure in &FIGURES {
        let path = directory.join(figure.file);
        draw_figure(&path, figure, rows)
            .map_err(|error| eyre!("cannot draw {}: {error}", figure.file))?;
    }
    Ok(())
}

fn draw_figure(
    path: &Path,
    figure: &Figure,
    rows: &[Row],
) -> Result<(), Box<dyn std::error::Error>> {
    let value = |row: &Row| row.estimate(figure.value).mean;
    let max_value = rows.iter().map(value).fold(1e-3, f64::max);
    let loads = rows.iter().map(|row| row.load);
    let max_load = loads.clone().fold(f64::MIN, f64::max);
    let min_load = loads.fold(f64::MAX, f64::min).min(max_load - 0.05);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(figure.title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(80)
        .build_cartesian_2d(min_load..max_load, 0.0..max_value * 1.05)?;
    chart.configure_mesh().x_desc("load").draw()?;
    for (index, policy) in policies(rows).into_iter().enumerate() {
        let points: Vec<(f64, f64)> = rows
            .iter()
            .filter(|row| row.policy == policy)
            .map(|row| (row.load, value(row)))
            .collect();
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)).point_size(3))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn policies(rows: &[Row]) -> Vec<&'static str> {
    let mut names = Vec::new();
    for row in rows {
        if !names.contains(&row.policy) {
            names.push(row.policy);
        }
    }
    names
}
