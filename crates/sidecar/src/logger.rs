//! The log: one line a message on standard error, `time level part: message`.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Logger;

static LOGGER: Logger = Logger;

/// Crates whose warnings are of use; their finer levels are not.
const OTHERS_LEVEL: LevelFilter = LevelFilter::Warn;

/// Starts logging of lines of this level and above.
pub fn start(level: LevelFilter) {
    // Fails only where a logger is set already, and then there is one.
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(level);
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("dunlincleat") || metadata.level() <= OTHERS_LEVEL
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let part = match record.target() {
            env!("CARGO_CRATE_NAME") => "main",
            target => target.rsplit("::").next().unwrap_or(target),
        };
        // A log that cannot be written must not end the service.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{}.{:03} {} {part}: {}",
            now.as_secs(),
            now.subsec_millis(),
            record.level(),
            record.args()
        );
    }

    fn flush(&self) {}
}
