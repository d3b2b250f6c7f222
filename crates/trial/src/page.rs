//! A trial as a page: who held the duty when, by the sidecars' own logs, with what was done to whom and what the receiver
//! carried out. Pure: the page follows from the history alone.

use crate::history::{Event, EventKind};
use crate::schedule::{Fault, Impairment};
use std::collections::BTreeMap;
use std::fmt::Write;

const WIDTH: f64 = 1200.0;
const LEFT: f64 = 70.0;
const ROW: f64 = 34.0;

/// Stretches of an instance's row, by kind.
#[derive(Default)]
struct Row {
    up: Vec<(u64, u64)>,
    still: Vec<(u64, u64)>,
    cut: Vec<(u64, u64)>,
    held: Vec<(u64, u64, u64)>,
}

fn close(stretches: &mut [(u64, u64)], at: u64) {
    if let Some(last) = stretches.last_mut() {
        last.1 = last.1.min(at);
    }
}

impl Row {
    fn lets_go(&mut self, at: u64) {
        if let Some(last) = self.held.last_mut() {
            last.1 = last.1.min(at);
        }
    }
}

fn rows(history: &[Event]) -> BTreeMap<&str, Row> {
    let mut rows: BTreeMap<&str, Row> = BTreeMap::new();
    for Event { at, what } in history {
        match what {
            EventKind::Up { process, .. } => rows.entry(process).or_default().up.push((*at, u64::MAX)),
            EventKind::Down { process, .. } => {
                let row = rows.entry(process).or_default();
                close(&mut row.up, *at);
                close(&mut row.still, *at);
                row.lets_go(*at);
            }
            EventKind::FaultInjected { fault: Fault::Stop { process } } => {
                rows.entry(process).or_default().still.push((*at, u64::MAX));
            }
            EventKind::FaultInjected { fault: Fault::Continue { process } } => {
                close(&mut rows.entry(process).or_default().still, *at)
            }
            EventKind::FaultInjected { fault: Fault::Link { from, impairment, .. } } => {
                let row = rows.entry(from).or_default();
                close(&mut row.cut, *at);
                if *impairment != Impairment::default() {
                    row.cut.push((*at, u64::MAX));
                }
            }
            EventKind::DutyAcquired { process, fence, .. } => {
                rows.entry(process).or_default().held.push((*at, u64::MAX, *fence))
            }
            EventKind::DutyReleased { process, .. } => rows.entry(process).or_default().lets_go(*at),
            _ => {}
        }
    }
    rows
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page of a history that began at `start`.
#[must_use]
pub fn page(title: &str, verdict: &str, history: &[Event], start: u64) -> String {
    let end = history.last().map_or(start + 1, |event| event.at.max(start + 1));
    let x =
        |at: u64| LEFT + (at.clamp(start, end) - start) as f64 / (end - start) as f64 * (WIDTH - LEFT - 10.0);
    let rows = rows(history);
    let height = ROW * (rows.len() as f64 + 2.0);
    let mut svg = String::new();
    let bar = |svg: &mut String, (from, until): (u64, u64), y: f64, tall: f64, colour: &str, told: &str| {
        let (left, right) = (x(from), x(until.min(end)));
        // A write to a string does not fail.
        let _ = write!(
            svg,
            "<rect x=\"{left:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{tall}\" fill=\"{colour}\"><title>{}</title></rect>",
            (right - left).max(1.0),
            escaped(told)
        );
    };
    for (n, (process, row)) in rows.iter().enumerate() {
        let y = ROW * (n as f64 + 0.5);
        let _ = write!(svg, "<text x=\"4\" y=\"{:.1}\">{}</text>", y + 16.0, escaped(process));
        row.up.iter().for_each(|up| bar(&mut svg, *up, y, 24.0, "#e4e9f0", "serves"));
        row.cut.iter().for_each(|cut| bar(&mut svg, *cut, y + 20.0, 4.0, "#d08a2e", "a way from it is ill"));
        row.still.iter().for_each(|still| bar(&mut svg, *still, y, 24.0, "#9aa3ad", "stands still"));
        for (from, until, fence) in &row.held {
            bar(&mut svg, (*from, *until), y + 4.0, 12.0, "#2f6fb7", &format!("holds it, fence {fence}"));
        }
    }
    let y = ROW * (rows.len() as f64 + 0.5);
    let _ = write!(svg, "<text x=\"4\" y=\"{:.1}\">effects</text>", y + 16.0);
    for Event { at, what } in history {
        if let EventKind::DutyEffect { period, fence, accepted, .. } = what {
            let colour = if *accepted { "#2c8a4b" } else { "#c0392b" };
            let told = format!("period {period}, fence {fence}{}", if *accepted { "" } else { ", refused" });
            bar(&mut svg, (*at, *at), y, 24.0, colour, &told);
        }
    }
    let mut lines = String::new();
    for Event { at, what } in history {
        let told = match what {
            EventKind::FaultInjected { fault } => fault.to_string(),
            EventKind::DutyAcquired { process, fence, .. } => format!("{process} holds it, fence {fence}"),
            EventKind::DutyReleased { process, .. } => format!("{process} let it go"),
            EventKind::Down { process, how, .. } => format!("{process} {how}"),
            _ => continue,
        };
        let at = (*at as f64 - start as f64) / 1e6;
        let _ = writeln!(lines, "{at:9.3} s  {}", escaped(&told));
    }
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\n<h1>{0}</h1><p>{1}</p>\n\
         <p>Blue: holds the duty by its own log. Grey: stands still. Orange: a way from it is ill. Green: an effect carried out; red: \
         one refused for its fence.</p>\n<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"13\">{svg}</svg>\n<pre>{lines}</pre>\n",
        escaped(title),
        escaped(verdict)
    )
}

#[cfg(test)]
mod tests;
