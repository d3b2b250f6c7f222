//! The log: one line a message on standard error, `time level part: message`.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::cell::Cell;
use std::fmt::Display;
use std::io::Write;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

struct Logger;

static LOGGER: Logger = Logger;

/// Crates whose warnings are of use; their finer levels are not.
const OTHERS_LEVEL: LevelFilter = LevelFilter::Warn;
/// Writes an error for each client that sends what can't be read; the front tells of those once a second.
const SILENCED: &str = "actix_http";

/// Starts logging of lines of this level and above.
pub fn start(level: LevelFilter) {
    // Fails only where a logger is set already, and then there is one.
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(level);
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let target = metadata.target();
        target.starts_with("dunlincleat")
            || (metadata.level() <= OTHERS_LEVEL && !target.starts_with(SILENCED))
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

/// Keeps a line that each request could bring to one a second: written for each, they could fill the pipe that
/// the log goes to, and the process would stand still until somebody reads it.
#[derive(Default)]
pub struct Seldom {
    last: Cell<Option<Instant>>,
    times: Cell<u64>,
}

impl Seldom {
    const PAUSE: Duration = Duration::from_secs(1);

    /// Writes the line with how often it was due since it was last written, or counts it.
    pub fn say(&self, part: &str, level: Level, line: impl Display) {
        self.times.set(self.times.get() + 1);
        if self.last.get().is_none_or(|last| last.elapsed() >= Seldom::PAUSE) {
            log::log!(target: part, level, "{line} (times: {})", self.times.replace(0));
            self.last.set(Some(Instant::now()));
        }
    }
}
