//! Renders results as one self-contained HTML page with inline SVG plots; the page loads no external resources.

use crate::results::Run;
use anyhow::{Result, anyhow, bail};
use dunlincleat_fleet::report::{Loss, Report, Second};
use plotters::prelude::*;
use std::fmt::Write;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 260);
const COLOURS: [RGBColor; 7] = [
    RGBColor(120, 60, 140),
    RGBColor(220, 130, 30),
    RGBColor(60, 140, 200),
    RGBColor(150, 150, 150),
    RGBColor(200, 50, 50),
    RGBColor(230, 200, 60),
    RGBColor(40, 90, 60),
];

/// Escapes text for HTML content and attribute values.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Renders the page of the given runs.
pub fn page(runs: &[Run]) -> Result<String> {
    if runs.iter().all(|run| run.days.is_empty()) {
        bail!("no results found; expected a directory of files written by `run --out FILE --seconds`");
    }
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>dunlincleat: simulated days</title><style>\
         body{font:15px sans-serif;max-width:960px;margin:2em auto;padding:0 1em}\
         table{border-collapse:collapse}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:right}\
         th:first-child,td:first-child{text-align:left}.bad{color:#b00;font-weight:bold}svg{max-width:100%;height:auto}\
         </style></head><body><h1>Simulated days</h1><p>All figures are simulated: stand-in nodes, callers and list around \
         the engine that serves.</p><table><tr><th>scenario</th><th>policy</th><th>seed</th><th>worth</th>\
         <th>largest loss</th><th>recovery, s</th><th>connections a request</th><th>probes a request</th><th>list calls a minute</th>\
         <th>worst cold</th><th>rules broken</th></tr>",
    );
    for day in runs.iter().flat_map(|run| &run.days) {
        let broken: u64 = day.broken.values().sum();
        let recovery = day.recovery_s.map_or("-".into(), |s| format!("{s:.1}"));
        let largest = day.losses.iter().max_by(|a, b| a.1.total_cmp(b.1));
        let largest = largest.map_or("-".into(), |(name, part)| format!("{name} {part:.3}"));
        let bad = if broken > 0 { " class=\"bad\"" } else { "" };
        write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{largest}</td><td>{recovery}</td><td>{:.3}</td><td>{:.3}</td>\
             <td>{:.2}</td><td>{:.2}</td><td{bad}>{broken}</td></tr>",
            escape(&day.scenario),
            escape(&day.policy),
            day.seed,
            day.worth,
            day.connections,
            day.probes,
            day.list_calls,
            day.worst_cold
        )?;
    }
    page.push_str("</table>");
    for run in runs {
        if run.partial() {
            write!(
                page,
                "<p class=\"bad\">Partial: {} of {} days of {} ({}) are here; the run was interrupted.</p>",
                run.days.len(),
                run.plan.seeds.len(),
                escape(&run.plan.plan),
                escape(&run.plan.policy)
            )?;
        }
        for day in run.days.iter().filter(|day| !day.seconds.is_empty()) {
            write!(page, "<h2>{}, {}, seed {}</h2>", escape(&day.scenario), escape(&day.policy), day.seed)?;
            for (title, plot) in [
                ("Goodput, as a part of what was wanted; faults are marked", goodput_chart(day)?),
                ("Worth lost by cause, as a part of what was wanted", losses_chart(day)?),
                (
                    "Connections opened and probes sent a second over the fleet, calls for lists",
                    costs_chart(day)?,
                ),
                (
                    "Attempts that arrived at each node: time to the right, nodes upwards",
                    load_heat_map(&day.seconds)?,
                ),
            ] {
                write!(page, "<h3>{title}</h3>{plot}")?;
            }
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn plot_error(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("a plot could not be drawn: {error}")
}

/// A line of a chart: one value per second.
struct Series<'a> {
    name: &'a str,
    colour: RGBColor,
    values: Vec<f64>,
}

/// Draws lines over the seconds of a run, with the faults shaded behind them.
fn line_chart(day: &Report, series: &[Series]) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let max = series.iter().flat_map(|line| &line.values).copied().fold(0.0, f64::max).max(1e-9);
        let duration_s = day.seconds.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..duration_s.max(1.0), 0.0..max * 1.05)
            .map_err(plot_error)?;
        chart.configure_mesh().disable_x_mesh().x_desc("s").draw().map_err(plot_error)?;
        for mark in &day.marks {
            let corners =
                [(mark.from_s, 0.0), (mark.to_s.max(mark.from_s + 0.1).min(duration_s), max * 1.05)];
            let style = RGBColor(200, 60, 60).mix(0.09).filled();
            chart.draw_series([Rectangle::new(corners, style)]).map_err(plot_error)?;
            let position = (mark.from_s, max * 1.04);
            let label = Text::new(mark.name.clone(), position, ("sans-serif", 11));
            chart.draw_series([label]).map_err(plot_error)?;
        }
        for Series { name, colour, values } in series {
            let points = values.iter().enumerate().map(|(n, value)| (n as f64 + 0.5, *value));
            let colour = *colour;
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(plot_error)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(RGBColor(200, 200, 200))
            .draw()
            .map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Plots the worth served as a fraction of the worth wanted.
fn goodput_chart(day: &Report) -> Result<String> {
    let served = day.seconds.iter().map(|s| s.served / s.wanted.max(1e-9)).collect();
    line_chart(day, &[Series { name: "served", colour: RGBColor(30, 110, 60), values: served }])
}

/// Plots the worth lost by cause as a fraction of the worth wanted.
fn losses_chart(day: &Report) -> Result<String> {
    let of = |name: &str| -> Vec<f64> {
        let lost = |s: &Second| s.lost.get(name).copied().unwrap_or(0.0) / s.wanted.max(1e-9);
        day.seconds.iter().map(lost).collect()
    };
    let series: Vec<Series> = Loss::ALL
        .iter()
        .zip(COLOURS)
        .map(|((_, name), colour)| Series { name, colour, values: of(name) })
        .collect();
    line_chart(day, &series)
}

/// Plots connections opened, probes sent and calls for lists.
fn costs_chart(day: &Report) -> Result<String> {
    let of = |figure: fn(&Second) -> u64| day.seconds.iter().map(|s| figure(s) as f64).collect();
    line_chart(
        day,
        &[
            Series { name: "connections opened", colour: COLOURS[1], values: of(|s| s.opened) },
            Series { name: "probes", colour: COLOURS[2], values: of(|s| s.probes) },
            Series { name: "calls for lists", colour: COLOURS[4], values: of(|s| s.calls) },
        ],
    )
}

/// Draws a heat map of the load: a cell for each node and second, darker where more attempts arrived.
fn load_heat_map(seconds: &[Second]) -> Result<String> {
    let nodes = seconds.iter().map(|s| s.arrived.len()).max().unwrap_or(0);
    let max = seconds.iter().flat_map(|s| &s.arrived).copied().max().unwrap_or(0).max(1);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0..seconds.len().max(1), 0..nodes.max(1))
            .map_err(plot_error)?;
        chart.configure_mesh().disable_mesh().x_desc("s").draw().map_err(plot_error)?;
        // Neighbouring nodes of the same shade share a rectangle: 200 nodes over a minute would otherwise need 12,000.
        let shade = |count: u32| (count * 9).div_ceil(max);
        for (at, second) in seconds.iter().enumerate() {
            let mut from = 0;
            for node in 1..=second.arrived.len() {
                if node < second.arrived.len() && shade(second.arrived[node]) == shade(second.arrived[from]) {
                    continue;
                }
                let level = shade(second.arrived[from]);
                if level > 0 {
                    let style = RGBColor(20, 60, 130).mix(f64::from(level) / 9.0).filled();
                    let cell = Rectangle::new([(at, from), (at + 1, node)], style);
                    chart.draw_series([cell]).map_err(plot_error)?;
                }
                from = node;
            }
        }
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

#[cfg(test)]
mod tests;
