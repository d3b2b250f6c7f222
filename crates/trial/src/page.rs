//! A trial as an HTML page: who held the duty when according to the sidecars' logs, the injected faults, and the
//! effects that the receiver carried out. Pure: the page depends on the history alone.

use crate::history::{Event, EventKind};
use crate::schedule::{Fault, Impairment};
use std::collections::BTreeMap;
use std::fmt::Write;

const PAGE_WIDTH: f64 = 1200.0;
const LABEL_WIDTH: f64 = 70.0;
const ROW_HEIGHT: f64 = 34.0;

/// A stretch of time.
#[derive(Clone, Copy)]
struct Stretch {
    from: u64,
    until: u64,
}

impl Stretch {
    fn open(from: u64) -> Stretch {
        Stretch { from, until: u64::MAX }
    }
}

/// A stretch of time in which an instance held the duty.
struct Holding {
    stretch: Stretch,
    fence: u64,
}

/// Stretches of time in an instance's row, by kind.
#[derive(Default)]
struct Row {
    up: Vec<Stretch>,
    stopped: Vec<Stretch>,
    impaired: Vec<Stretch>,
    held: Vec<Holding>,
}

fn close(stretches: &mut [Stretch], at: u64) {
    if let Some(last) = stretches.last_mut() {
        last.until = last.until.min(at);
    }
}

impl Row {
    fn release(&mut self, at: u64) {
        if let Some(last) = self.held.last_mut() {
            last.stretch.until = last.stretch.until.min(at);
        }
    }
}

fn rows(history: &[Event]) -> BTreeMap<&str, Row> {
    let mut rows: BTreeMap<&str, Row> = BTreeMap::new();
    for Event { at, what } in history {
        match what {
            EventKind::Up { process, .. } => rows.entry(process).or_default().up.push(Stretch::open(*at)),
            EventKind::Down { process, .. } => {
                let row = rows.entry(process).or_default();
                close(&mut row.up, *at);
                close(&mut row.stopped, *at);
                row.release(*at);
            }
            EventKind::FaultInjected { fault: Fault::Stop { process } } => {
                rows.entry(process).or_default().stopped.push(Stretch::open(*at));
            }
            EventKind::FaultInjected { fault: Fault::Continue { process } } => {
                close(&mut rows.entry(process).or_default().stopped, *at)
            }
            EventKind::FaultInjected { fault: Fault::Link { from, impairment, .. } } => {
                let row = rows.entry(from).or_default();
                close(&mut row.impaired, *at);
                if *impairment != Impairment::default() {
                    row.impaired.push(Stretch::open(*at));
                }
            }
            EventKind::DutyAcquired { process, fence, .. } => rows
                .entry(process)
                .or_default()
                .held
                .push(Holding { stretch: Stretch::open(*at), fence: *fence }),
            EventKind::DutyReleased { process, .. } => rows.entry(process).or_default().release(*at),
            _ => {}
        }
    }
    rows
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page of a history that started at `start`.
#[must_use]
pub fn page(title: &str, verdict: &str, history: &[Event], start: u64) -> String {
    let end = history.last().map_or(start + 1, |event| event.at.max(start + 1));
    let x = |at: u64| {
        LABEL_WIDTH
            + (at.clamp(start, end) - start) as f64 / (end - start) as f64 * (PAGE_WIDTH - LABEL_WIDTH - 10.0)
    };
    let rows = rows(history);
    let height = ROW_HEIGHT * (rows.len() as f64 + 2.0);
    let mut svg = String::new();
    let bar = |svg: &mut String,
               Stretch { from, until }: Stretch,
               y: f64,
               bar_height: f64,
               colour: &str,
               title_text: &str| {
        let left = x(from);
        let right = x(until.min(end));
        // Writing to a string does not fail.
        let _ = write!(
            svg,
            "<rect x=\"{left:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{bar_height}\" fill=\"{colour}\"><title>{}</title></rect>",
            (right - left).max(1.0),
            escaped(title_text)
        );
    };
    for (n, (process, row)) in rows.iter().enumerate() {
        let y = ROW_HEIGHT * (n as f64 + 0.5);
        let _ = write!(svg, "<text x=\"4\" y=\"{:.1}\">{}</text>", y + 16.0, escaped(process));
        row.up.iter().for_each(|up| bar(&mut svg, *up, y, 24.0, "#e4e9f0", "serves"));
        row.impaired
            .iter()
            .for_each(|impaired| bar(&mut svg, *impaired, y + 20.0, 4.0, "#d08a2e", "a way from it is ill"));
        row.stopped.iter().for_each(|stopped| bar(&mut svg, *stopped, y, 24.0, "#9aa3ad", "stands still"));
        for Holding { stretch, fence } in &row.held {
            bar(&mut svg, *stretch, y + 4.0, 12.0, "#2f6fb7", &format!("holds it, fence {fence}"));
        }
    }
    let y = ROW_HEIGHT * (rows.len() as f64 + 0.5);
    let _ = write!(svg, "<text x=\"4\" y=\"{:.1}\">effects</text>", y + 16.0);
    for Event { at, what } in history {
        if let EventKind::DutyEffect { period, fence, accepted, .. } = what {
            let colour = if *accepted { "#2c8a4b" } else { "#c0392b" };
            let title_text =
                format!("period {period}, fence {fence}{}", if *accepted { "" } else { ", refused" });
            bar(&mut svg, Stretch { from: *at, until: *at }, y, 24.0, colour, &title_text);
        }
    }
    let mut lines = String::new();
    for Event { at, what } in history {
        let title_text = match what {
            EventKind::FaultInjected { fault } => fault.to_string(),
            EventKind::DutyAcquired { process, fence, .. } => format!("{process} holds it, fence {fence}"),
            EventKind::DutyReleased { process, .. } => format!("{process} let it go"),
            EventKind::Down { process, how, .. } => format!("{process} {how}"),
            _ => continue,
        };
        let at = (*at as f64 - start as f64) / 1e6;
        let _ = writeln!(lines, "{at:9.3} s  {}", escaped(&title_text));
    }
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\n<h1>{0}</h1><p>{1}</p>\n\
         <p>Blue: holds the duty by its own log. Grey: stands still. Orange: a way from it is ill. Green: an effect carried out; red: \
         one refused for its fence.</p>\n<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{PAGE_WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"13\">{svg}</svg>\n<pre>{lines}</pre>\n",
        escaped(title),
        escaped(verdict)
    )
}

#[cfg(test)]
mod tests;
