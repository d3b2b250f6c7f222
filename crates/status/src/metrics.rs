//! Every figure of the process. Each is counted in one place, by the part that owns its event, and rendered here.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// A count that only rises.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// One more.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// How many.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A figure that is set as it is.
#[derive(Debug, Default)]
pub struct Gauge(AtomicI64);

impl Gauge {
    /// Sets it.
    pub fn set(&self, value: usize) {
        self.0.store(i64::try_from(value).unwrap_or(i64::MAX), Ordering::Relaxed);
    }

    /// Its value.
    #[must_use]
    pub fn get(&self) -> i64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// How the requests of one class ended.
#[derive(Debug, Default)]
pub struct ClassOutcomes {
    /// Served.
    pub served: Counter,
    /// Refused, by the rules or at a bound.
    pub refused: Counter,
    /// Failed.
    pub failed: Counter,
}

/// The figures.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By the name of the class; one that was dropped stays, as counts never fall.
    classes: Mutex<BTreeMap<String, Arc<ClassOutcomes>>>,
    /// Attempts written whole to servers.
    pub attempts: Counter,
    in_progress: AtomicI64,
    /// Servers in the list.
    pub known_servers: Gauge,
    /// Listed servers that get nothing new now.
    pub skipped_servers: Gauge,
    /// Files taken at SIGHUP.
    pub reloads: Counter,
    /// Files turned down at SIGHUP.
    pub reload_errors: Counter,
}

/// A request that was taken and has not ended, counted for as long as this lives.
#[derive(Debug)]
pub struct InProgress(Arc<Metrics>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Metrics {
    /// The counts of a class, the same ones for the same name.
    #[must_use]
    pub fn class(&self, name: &str) -> Arc<ClassOutcomes> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        classes.entry(name.to_owned()).or_default().clone()
    }

    /// A request was taken.
    #[must_use]
    pub fn request_started(self: &Arc<Metrics>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// The figures as text, one a line.
    #[must_use]
    pub fn render(&self) -> String {
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut text = String::new();
        let mut line = |name: &str, class: Option<&str>, value: String| {
            // A write to a string does not fail.
            let _ = match class {
                Some(class) => writeln!(text, "svc_{name}{{category=\"{}\"}} {value}", escaped(class)),
                None => writeln!(text, "svc_{name} {value}"),
            };
        };
        type Pick = fn(&ClassOutcomes) -> &Counter;
        let ends: [(&str, Pick); 3] =
            [("passed", |e| &e.served), ("dropped", |e| &e.refused), ("bad_gateway", |e| &e.failed)];
        for (name, pick) in ends {
            classes.iter().for_each(|(class, ends)| line(name, Some(class), pick(ends).get().to_string()));
        }
        line("upstream_tries", None, self.attempts.get().to_string());
        line("in_progress", None, self.in_progress.load(Ordering::Relaxed).max(0).to_string());
        line("known_endpoints", None, self.known_servers.get().to_string());
        line("skipped_endpoints", None, self.skipped_servers.get().to_string());
        line("loads", None, self.reloads.get().to_string());
        line("load_errors", None, self.reload_errors.get().to_string());
        text
    }
}

/// A label's value: what would end it is escaped.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
