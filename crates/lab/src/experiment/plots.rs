//! Plots as SVG: colours that the colour-blind can tell apart, and dashes for print.

use crate::experiment::measure::SERIES_STEP_S;
use crate::experiment::plan::EVENT_AT;
use crate::experiment::summary::Cell;
use eyre::{Result, eyre};
use plotters::prelude::*;
use plotters::style::RGBColor;
use std::collections::BTreeMap;

/// Palette of Okabe and Ito, without yellow.
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 0, 0),
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];
/// Length of a dash for each line, in pixels; the first is drawn through.
const DASHES: [u32; 7] = [1_000, 12, 6, 18, 3, 9, 24];
const SIZE: (u32, u32) = (860, 380);
/// Points of a distribution's line.
const POINTS: usize = 100;

/// A named line.
pub struct Line {
    /// Name.
    pub name: String,
    /// Points.
    pub points: Vec<(f64, f64)>,
}

/// Draws lines; `marks` are positions on the first axis.
///
/// # Errors
/// When the drawing library fails.
pub fn lines(title: &str, axes: (&str, &str), data: &[Line], marks: &[f64]) -> Result<String> {
    let points = || data.iter().flat_map(|line| line.points.iter());
    let most = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(1e-9, f64::max);
    let (right, top) = (most(|point| point.0), most(|point| point.1));
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right, 0.0..top * 1.02)
            .map_err(failed)?;
        chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw().map_err(failed)?;
        for mark in marks {
            let line = LineSeries::new([(*mark, 0.0), (*mark, top)], RGBColor(150, 150, 150));
            chart.draw_series(line).map_err(failed)?;
        }
        for (number, line) in data.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let dash = DASHES[number % DASHES.len()];
            let style = colour.stroke_width(2);
            let points = line.points.iter().copied();
            chart
                .draw_series(DashedLineSeries::new(points, dash, dash / 2 + 2, style))
                .map_err(failed)?
                .label(line.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(failed)?;
        root.present().map_err(failed)?;
    }
    Ok(svg)
}

fn failed(error: impl std::fmt::Display) -> eyre::Report {
    eyre!("drawing: {error}")
}

/// Distribution of times to the first token, for each class of a load.
///
/// # Errors
/// When the drawing library fails.
pub fn first_tokens(cells: &[&Cell]) -> Result<Vec<String>> {
    let mut by_class: BTreeMap<&str, Vec<Line>> = BTreeMap::new();
    for cell in cells {
        let mut values: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for run in &cell.runs {
            for (class, list) in &run.first_ms_by_class {
                values.entry(class).or_default().extend(list);
            }
        }
        for (class, mut list) in values {
            list.sort_unstable_by(f64::total_cmp);
            let line = Line { name: cell.policy.clone(), points: distribution(&list) };
            by_class.entry(class).or_default().push(line);
        }
    }
    let plot = |(class, data): (&str, Vec<Line>)| {
        let title = format!("Time to first token: {class}");
        lines(&title, ("milliseconds", "share of requests"), &data, &[])
    };
    by_class.into_iter().map(plot).collect()
}

/// Points of a distribution up to its 99.5 % point.
fn distribution(sorted: &[f64]) -> Vec<(f64, f64)> {
    let shares = (0..=POINTS).map(|number| 0.995 * number as f64 / POINTS as f64);
    let point = |share: f64| (crate::experiment::statistics::quantile(sorted, share), share);
    shares.map(point).collect()
}

/// Prefix hit rate over time, with the mark of what happened in mid-run.
///
/// # Errors
/// When the drawing library fails.
pub fn hits_over_time(cells: &[&Cell], has_event: bool) -> Result<String> {
    let line = |cell: &&Cell| {
        let steps = cell.runs.iter().map(|run| run.hits_over_time.len()).max().unwrap_or(0);
        let sum = |step: usize| {
            let parts = cell.runs.iter().filter_map(|run| run.hits_over_time.get(step));
            parts.fold((0, 0), |sum, part| (sum.0 + part.0, sum.1 + part.1))
        };
        let points = (0..steps).map(|step| {
            let (cached, prompt) = sum(step);
            (step as f64 * SERIES_STEP_S, cached as f64 / (prompt as f64).max(1.0))
        });
        Line { name: cell.policy.clone(), points: points.collect() }
    };
    let data: Vec<Line> = cells.iter().map(line).collect();
    let marks = if has_event { vec![EVENT_AT.0 as f64 / 1e6] } else { Vec::new() };
    lines("Prefix hit rate over time", ("seconds", "share of prompt tokens"), &data, &marks)
}

/// Prompt tokens computed by each replica, over their mean, replicas in falling order.
///
/// # Errors
/// When the drawing library fails.
pub fn load_spread(cells: &[&Cell]) -> Result<String> {
    let line = |cell: &&Cell| {
        let engines = cell.runs.first().map_or(0, |run| run.by_engine.len());
        let sum = |engine: usize| cell.runs.iter().map(|run| run.by_engine[engine]).sum::<u64>();
        let mut sums: Vec<f64> = (0..engines).map(|engine| sum(engine) as f64).collect();
        sums.sort_unstable_by(|left, right| right.total_cmp(left));
        let mean = sums.iter().sum::<f64>() / (engines as f64).max(1.0);
        let points = sums.iter().enumerate().map(|(rank, sum)| (rank as f64, sum / mean.max(1.0)));
        Line { name: cell.policy.clone(), points: points.collect() }
    };
    let data: Vec<Line> = cells.iter().map(line).collect();
    lines("Load spread", ("replica, busiest first", "computed tokens over the mean"), &data, &[])
}
