//! All metrics of the process. Each is counted in one place, by the component that owns its event, and rendered here.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The current count.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A gauge.
#[derive(Debug, Default)]
pub struct Gauge(AtomicI64);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: usize) {
        self.0.store(i64::try_from(value).unwrap_or(i64::MAX), Ordering::Relaxed);
    }

    /// The current value.
    #[must_use]
    pub fn get(&self) -> i64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Outcomes of the requests of one class.
#[derive(Debug, Default)]
pub struct ClassOutcomes {
    /// Served.
    pub served: Counter,
    /// Refused, by the decision module or at a limit.
    pub refused: Counter,
    /// Failed.
    pub failed: Counter,
}

/// The metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By class name. A class that was removed from the settings stays, as counters never decrease.
    classes: Mutex<BTreeMap<String, Arc<ClassOutcomes>>>,
    /// Attempts written completely to servers.
    pub attempts: Counter,
    in_progress: AtomicI64,
    /// Servers on the list.
    pub known_servers: Gauge,
    /// Listed servers that currently receive no new requests.
    pub skipped_servers: Gauge,
    /// Resident memory of the process, in bytes.
    pub resident_bytes: Gauge,
    /// Memory held for clients beside open requests, in bytes.
    pub client_bytes: Gauge,
    /// Configurations applied at SIGHUP.
    pub reloads: Counter,
    /// Configurations rejected at SIGHUP.
    pub reload_errors: Counter,
}

/// Guard that counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress(Arc<Metrics>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Metrics {
    /// The counters of a class; the same instance for the same name.
    #[must_use]
    pub fn class(&self, name: &str) -> Arc<ClassOutcomes> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        classes.entry(name.to_owned()).or_default().clone()
    }

    /// Counts a request as in progress until the guard is dropped.
    #[must_use]
    pub fn request_started(self: &Arc<Metrics>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// Renders all metrics as text, one per line.
    #[must_use]
    pub fn render(&self) -> String {
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut text = String::new();
        let mut line = |name: &str, class: Option<&str>, value: String| {
            // Writing to a string does not fail.
            let _ = match class {
                Some(class) => writeln!(text, "svc_{name}{{category=\"{}\"}} {value}", escape_label(class)),
                None => writeln!(text, "svc_{name} {value}"),
            };
        };
        type SelectCounter = fn(&ClassOutcomes) -> &Counter;
        let outcomes: [(&str, SelectCounter); 3] = [
            ("passed", |outcomes| &outcomes.served),
            ("dropped", |outcomes| &outcomes.refused),
            ("bad_gateway", |outcomes| &outcomes.failed),
        ];
        for (name, select) in outcomes {
            classes
                .iter()
                .for_each(|(class, outcomes)| line(name, Some(class), select(outcomes).get().to_string()));
        }
        line("upstream_tries", None, self.attempts.get().to_string());
        line("in_progress", None, self.in_progress.load(Ordering::Relaxed).max(0).to_string());
        line("known_endpoints", None, self.known_servers.get().to_string());
        line("skipped_endpoints", None, self.skipped_servers.get().to_string());
        line("resident_bytes", None, self.resident_bytes.get().to_string());
        line("client_bytes", None, self.client_bytes.get().to_string());
        line("loads", None, self.reloads.get().to_string());
        line("load_errors", None, self.reload_errors.get().to_string());
        text
    }
}

/// Escapes the characters that would end a label value.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
