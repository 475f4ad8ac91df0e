//! HTML report with plots for each placement policy of a bench.

use crate::process::{FleetStats, PlacementPolicy, StatsSample};
use agatecourse_types::Tier;
use plotters::coord::Shift;
use plotters::prelude::*;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 300);

/// Error of [`write_report`].
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// A plot could not be drawn.
    #[snafu(display("can't draw the plot {title:?}: {reason}"))]
    Draw {
        /// Title of the plot.
        title: String,
        /// Error message of the plotting library.
        reason: String,
    },
    /// The file could not be written.
    #[snafu(display("can't write {}: {source}", path.display()))]
    Write {
        /// Path of the report file.
        path: PathBuf,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
}

/// Lines of one plot: a label, and points with the time in seconds and a value.
type PlotLines = Vec<(String, Vec<(f64, f64)>)>;

/// Writes a self-contained HTML file with the table and three plots for each placement policy.
///
/// # Errors
///
/// Returns a [`ReportError`] when a plot can't be drawn or the file can't be written.
pub fn write_report(
    path: &Path,
    title: &str,
    table: &str,
    stats: &BTreeMap<PlacementPolicy, FleetStats>,
) -> Result<(), ReportError> {
    let mut plots = Vec::new();
    for (policy, stats) in stats {
        let name = policy.name();
        for (what, lines) in [
            ("on time per second", rate_lines(&stats.samples, |tier| tier.on_time)),
            (
                "shed or expired per second",
                rate_lines(&stats.samples, |tier| tier.shed + tier.expired),
            ),
            ("waiting requests", queue_lines(&stats.samples)),
        ] {
            plots.push((format!("{name}: {what}"), lines));
        }
    }
    write_page(path, title, table, &plots)
}

fn write_page(
    path: &Path,
    title: &str,
    table: &str,
    plots: &[(String, PlotLines)],
) -> Result<(), ReportError> {
    let mut html = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title></head>\n\
         <body style=\"font-family:sans-serif\"><h1>{title}</h1>\n<pre>{table}</pre>\n"
    );
    for (title, lines) in plots {
        // Writing to a `String` never fails.
        let _ = writeln!(html, "{}", render_plot(title, lines)?);
    }
    html.push_str("</body></html>\n");
    std::fs::write(path, html).context(WriteSnafu { path })
}

/// Returns the rate of a counter by tier, averaged over five seconds.
fn rate_lines(
    samples: &[StatsSample],
    counter: fn(&crate::request::TierOutcome) -> u64,
) -> PlotLines {
    const WINDOW: usize = 5;
    let count = |sample: &StatsSample, tier: Tier| {
        sample.tiers.iter().find(|outcome| outcome.tier == tier).map_or(0, counter) as f64
    };
    let rate = |tier: Tier| {
        let windows = samples.windows(WINDOW + 1);
        let points = windows.map(|window| {
            let (first, last) = (&window[0], &window[WINDOW]);
            let seconds = last.at_s - first.at_s;
            (last.at_s, (count(last, tier) - count(first, tier)) / seconds)
        });
        (format!("tier {tier}"), points.collect())
    };
    (0..tier_count(samples)).map(rate).collect()
}

/// Returns the number of waiting requests by tier.
fn queue_lines(samples: &[StatsSample]) -> PlotLines {
    let queue = |tier: Tier| {
        let value =
            |sample: &StatsSample| sample.waiting.get(usize::from(tier)).copied().unwrap_or(0);
        let points = samples.iter().map(|sample| (sample.at_s, value(sample) as f64));
        (format!("tier {tier}"), points.collect())
    };
    (0..tier_count(samples)).map(queue).collect()
}

fn tier_count(samples: &[StatsSample]) -> Tier {
    samples.last().map_or(0, |sample| sample.waiting.len() as Tier)
}

/// Renders a line plot as SVG text.
fn render_plot(title: &str, lines: &PlotLines) -> Result<String, ReportError> {
    let mut svg = String::new();
    let drawn = draw_plot(
        title,
        lines,
        &SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area(),
    );
    drawn.map_err(|reason| ReportError::Draw { title: title.to_string(), reason })?;
    Ok(svg)
}

fn draw_plot(
    title: &str,
    lines: &PlotLines,
    area: &DrawingArea<SVGBackend<'_>, Shift>,
) -> Result<(), String> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let end_s = points().map(|point| point.0).fold(1.0, f64::max);
    let highest = points().map(|point| point.1).fold(1.0, f64::max);
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end_s, 0.0..highest * 1.05)
        .map_err(|error| error.to_string())?;
    chart.configure_mesh().draw().map_err(|error| error.to_string())?;
    for (index, (label, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color))
            .map_err(|error| error.to_string())?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|error| error.to_string())?;
    area.present().map_err(|error| error.to_string())
}
